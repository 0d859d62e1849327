//! Which shards this node owns.

use dotterel_kernel::Millis;
use dotterel_platform::{CallError, Commit, Owner, Table, Version, Write};
use uuid::Uuid;

use super::Config;
use super::record::{LEASES, LeaseRow, decode, encode, lease_key};
use crate::lease::with_timeout;

/// What this node has seen of a shard's lease row.
#[derive(Clone, Copy, Debug)]
struct Watch {
    version: Version,
    since: Millis,
}

/// A shard that this node may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Free {
    pub(super) shard: u32,
    version: Version,
}

/// The shards' leases as read from the table.
///
/// A holder counts as gone when its row has kept one version for a time to live and a margin, by
/// this node's clock alone, and the table answered all the while. No two clocks are compared.
#[derive(Debug)]
pub(super) struct Tenure {
    owner: Owner,
    watches: Vec<Option<Watch>>,
}

impl Tenure {
    pub(super) fn new(owner: Owner, shards: u32) -> Self {
        Self {
            owner,
            watches: vec![None; shards as usize],
        }
    }

    /// Reads all lease rows; returns the versions by shard and the shards that may be taken.
    pub(super) async fn read(
        &mut self,
        table: &dyn Table,
        config: &Config,
        now: Millis,
    ) -> Result<(Vec<Version>, Vec<Free>), CallError> {
        let scan = table.scan(LEASES, "", self.watches.len());
        let rows = match with_timeout(config.call_timeout, scan).await {
            Ok(rows) => rows,
            Err(fault) => {
                // A holder that could not renew either must not be taken for gone.
                self.watches.fill(None);
                return Err(fault);
            }
        };
        let mut versions = Vec::new();
        let mut free = Vec::new();
        for shard in 0..u32::try_from(self.watches.len()).unwrap_or(u32::MAX) {
            let key = lease_key(shard);
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map_or(Version::ABSENT, |row| row.version);
            let lease = row.and_then(|row| decode::<LeaseRow>(&row.value));
            versions.push(version);
            if self.takes(shard, version, lease.as_ref(), config, now) {
                free.push(Free { shard, version });
            }
        }
        Ok((versions, free))
    }

    /// Takes a shard; returns the lease row's version when this node owns it now.
    pub(super) async fn take(
        &self,
        table: &dyn Table,
        config: &Config,
        free: Free,
    ) -> Option<Version> {
        let lease = LeaseRow {
            holder: Some(self.owner.clone()),
            stamp: Uuid::now_v7(),
        };
        let write = Write {
            key: lease_key(free.shard),
            expect: free.version,
            value: Some(encode(&lease)),
        };
        match with_timeout(config.call_timeout, table.commit(&[write])).await {
            Ok(Commit::Applied(versions)) => versions.first().copied(),
            // If it took effect, the next read shows this node as the holder.
            Ok(Commit::Conflict { .. }) | Err(_) => None,
        }
    }

    fn takes(
        &mut self,
        shard: u32,
        version: Version,
        lease: Option<&LeaseRow>,
        config: &Config,
        now: Millis,
    ) -> bool {
        let holder = lease.and_then(|lease| lease.holder.as_ref());
        if holder.is_none_or(|holder| *holder == self.owner) {
            return true;
        }
        let watch = &mut self.watches[shard as usize];
        match watch {
            Some(seen) if seen.version == version => {
                now.since(seen.since) > config.lease_ttl + config.clock_margin
            }
            _ => {
                let since = now;
                *watch = Some(Watch { version, since });
                false
            }
        }
    }
}
