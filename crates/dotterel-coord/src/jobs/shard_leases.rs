//! The leases of the shards in the table.

use dotterel_kernel::Millis;
use dotterel_platform::{CallError, Commit, Owner, Table, Version, Write};
use uuid::Uuid;

use super::Config;
use super::record::{LEASES, LeaseRow, decode, encode, lease_key};
use crate::lease::with_timeout;

/// The last version of a shard's lease row that this node has read.
#[derive(Clone, Copy, Debug)]
struct Observation {
    version: Version,
    since: Millis,
}

/// A shard that this node may acquire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FreeShard {
    pub(super) shard: u32,
    version: Version,
}

/// The shard leases as read from the table.
///
/// A lease counts as expired if its row has kept one version for the TTL plus a margin by this
/// node's clock, and the table was readable throughout. Clocks of different nodes are not compared.
#[derive(Debug)]
pub(super) struct ShardLeases {
    owner: Owner,
    observations: Vec<Option<Observation>>,
}

impl ShardLeases {
    pub(super) fn new(owner: Owner, shards: u32) -> Self {
        Self {
            owner,
            observations: vec![None; shards as usize],
        }
    }

    /// Reads all lease rows; returns the versions by shard and the shards that may be acquired.
    pub(super) async fn read(
        &mut self,
        table: &dyn Table,
        config: &Config,
        now: Millis,
    ) -> Result<(Vec<Version>, Vec<FreeShard>), CallError> {
        let scan = table.scan(LEASES, "", self.observations.len());
        let rows = match with_timeout(config.call_timeout, scan).await {
            Ok(rows) => rows,
            Err(err) => {
                // The holders may have been unable to renew as well, so restart the observation.
                self.observations.fill(None);
                return Err(err);
            }
        };
        let mut versions = Vec::new();
        let mut free = Vec::new();
        for shard in 0..u32::try_from(self.observations.len()).unwrap_or(u32::MAX) {
            let key = lease_key(shard);
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map_or(Version::ABSENT, |row| row.version);
            let lease = row.and_then(|row| decode::<LeaseRow>(&row.value));
            versions.push(version);
            if self.is_free(shard, version, lease.as_ref(), config, now) {
                free.push(FreeShard { shard, version });
            }
        }
        Ok((versions, free))
    }

    /// Acquires a shard; returns the lease row's version if the write was committed.
    pub(super) async fn acquire(
        &self,
        table: &dyn Table,
        config: &Config,
        free: FreeShard,
    ) -> Option<Version> {
        let lease = LeaseRow {
            holder: Some(self.owner.clone()),
            write_id: Uuid::now_v7(),
        };
        let write = Write {
            key: lease_key(free.shard),
            expect: free.version,
            value: Some(encode(&lease)),
        };
        match with_timeout(config.call_timeout, table.commit(&[write])).await {
            Ok(Commit::Applied(versions)) => versions.first().copied(),
            // If the write was committed after all, the next read shows this node as the holder.
            Ok(Commit::Conflict { .. }) | Err(_) => None,
        }
    }

    /// Returns true if the shard is unowned, owned by this node, or its lease has expired.
    fn is_free(
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
        let observation = &mut self.observations[shard as usize];
        match observation {
            Some(seen) if seen.version == version => {
                now.since(seen.since) > config.lease_ttl + config.clock_margin
            }
            _ => {
                let since = now;
                *observation = Some(Observation { version, since });
                false
            }
        }
    }
}
