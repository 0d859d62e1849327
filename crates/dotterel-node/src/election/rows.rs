//! The store rows that record the leader of a cell.

use compact_str::CompactString;
use dotterel_cell::fitness::{Fitness, Vacancy};
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::platform::Row;

/// Key of the leader row.
pub const LEADER_KEY: &str = "owner";
/// Key of the renewal row, which each transaction of a lane rewrites.
pub const RENEWAL_KEY: &str = "renewal";
/// Write lanes, each with its own partition of the store. A partition executes transactions one
/// after the other, and a slow store needs most of half a second for each.
pub const LANES: u8 = 8;

/// Names the leader of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// The node's name.
    pub node: CompactString,
    /// The incarnation of the node.
    pub incarnation: u64,
    /// The address on which it accepts fronts.
    pub address: CompactString,
    /// Incremented by each takeover.
    pub term: u32,
    /// When its takeover was first sent. It tells the takeovers of a node apart that try for the same
    /// term.
    pub acquired_at: Millis,
    /// Set when the leader has released its leadership.
    pub released: bool,
    /// Fitness of the fittest node that has led the cell or was linked to a leader that has released its
    /// leadership, in thousandths of a core. Takeovers that wait for such a node in vain lower it.
    pub largest_node: u32,
}

/// Rewritten by each of the leader's transactions in a lane. Each transaction expects the row as
/// the previous one left it, so none takes effect out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRow {
    /// The leader's term.
    pub term: u32,
    /// Number of the transaction within the term and lane.
    pub count: u64,
    /// Set once no lease of an earlier term can be in force any more.
    pub settled: bool,
}

/// A process that led the cell and may still be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// The node's name.
    pub node: CompactString,
    /// The incarnation of the node.
    pub incarnation: u64,
}

/// The leader row and the renewal row, each with its version.
#[derive(Clone, Debug, Default)]
pub(super) struct RoleRows {
    pub(super) leader: Option<(LeaderRow, u64)>,
    pub(super) renewal: Option<(RenewalRow, u64)>,
    /// Version of a leader row that can't be decoded, so that it can be replaced.
    unreadable: u64,
}

impl RoleRows {
    pub(super) fn read(rows: &[Row]) -> Self {
        let mut parsed = Self::default();
        for row in rows {
            match row.key.as_str() {
                LEADER_KEY => match dotterel_cell::record::decode(&row.value) {
                    Some(leader) => parsed.leader = Some((leader, row.version)),
                    None => parsed.unreadable = row.version,
                },
                _ => {
                    let renewal: RenewalRow =
                        dotterel_cell::record::decode(&row.value).unwrap_or_default();
                    if parsed
                        .renewal
                        .is_none_or(|(_, version)| version < row.version)
                    {
                        parsed.renewal = Some((renewal, row.version));
                    }
                }
            }
        }
        parsed
    }

    pub(super) fn leader_version(&self) -> u64 {
        self.leader
            .as_ref()
            .map_or(self.unreadable, |(_, version)| *version)
    }

    pub(super) fn renewal_version(&self) -> u64 {
        self.renewal.map_or(0, |(_, version)| version)
    }

    /// Returns the process that led the cell, if its return shows that no lease is extended any more.
    pub(super) fn predecessor(&self) -> Option<Predecessor> {
        let (leader, _) = self.leader.as_ref()?;
        let (renewal, _) = self.renewal?;
        let is_settled = renewal.settled && renewal.term == leader.term;
        is_settled.then(|| Predecessor {
            node: leader.node.clone(),
            incarnation: leader.incarnation,
        })
    }

    /// Returns what the rows show about the leadership that a takeover would acquire.
    pub(super) fn vacancy(&self) -> Vacancy {
        match &self.leader {
            None => Vacancy::FirstStart,
            Some((leader, _)) if leader.released => Vacancy::Released(Fitness(leader.largest_node)),
            Some((leader, _)) => Vacancy::Lost(Fitness(leader.largest_node)),
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.renewal_version().max(self.leader_version())
    }
}
