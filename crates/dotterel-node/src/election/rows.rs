//! The rows of the role.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::platform::Row;

/// The key of the row that names the holder.
pub const OWNER: &str = "owner";
/// The key of the row that each transaction of a lane rewrites.
pub const RENEWAL: &str = "renewal";
/// Lanes to the store, each with a part of its own: a part carries out one transaction after the
/// other, and a slow one needs most of half a second for each.
pub const LANES: u8 = 8;

/// Says who holds the role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: CompactString,
    /// One life of it.
    pub life: u64,
    /// Where its peers reach it.
    pub address: CompactString,
    /// Counts holders.
    pub term: u32,
    /// Set when it has given the role back.
    pub released: bool,
    /// Thousandths of a core of the largest node that has held the role.
    pub largest: u32,
}

/// Returns true when a node is so much smaller than another that the role belongs there.
#[must_use]
pub const fn is_small(milli_cores: u32, largest: u32) -> bool {
    milli_cores * 5 < largest * 3
}

/// Rewritten with each of the holder's transactions in a lane, which all expect it as the last one
/// left it, so that none is carried out after a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The holder's term.
    pub term: u32,
    /// Counts its transactions.
    pub count: u64,
    /// VMs that run something but have gone from the registry: a successor can't know of them.
    pub unlisted: u32,
    /// The holder's wall time.
    pub at: Millis,
    /// Tells which VMs the holder knew: see `Scheduler::roll`. One that has gone from the registry
    /// since then may be cut off from it and run on.
    pub roll: u64,
}

/// The role's rows as read.
#[derive(Clone, Debug, Default)]
pub(super) struct Role {
    pub(super) owner: Option<(Owner, u64)>,
    pub(super) renewal: Option<(Renewal, u64)>,
    /// Version of a row that can't be read, so that it can be replaced.
    unreadable: u64,
}

impl Role {
    pub(super) fn read(rows: &[Row]) -> Self {
        let mut role = Self::default();
        for row in rows {
            match row.key.as_str() {
                OWNER => match dotterel_cell::record::decode(&row.value) {
                    Some(owner) => role.owner = Some((owner, row.version)),
                    None => role.unreadable = row.version,
                },
                _ => {
                    let renewal: Renewal =
                        dotterel_cell::record::decode(&row.value).unwrap_or_default();
                    if role
                        .renewal
                        .is_none_or(|(_, version)| version < row.version)
                    {
                        role.renewal = Some((renewal, row.version));
                    }
                }
            }
        }
        role
    }

    pub(super) fn owner_version(&self) -> u64 {
        self.owner
            .as_ref()
            .map_or(self.unreadable, |(_, version)| *version)
    }

    pub(super) fn version(&self) -> u64 {
        let renewal = self.renewal.map_or(0, |(_, version)| version);
        renewal.max(self.owner_version())
    }
}
