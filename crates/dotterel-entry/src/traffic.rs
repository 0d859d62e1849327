//! What the node's calls to workers and to the platform cost in bytes, by purpose.

use std::sync::Arc;

use dotterel_platform::Traffic as Counts;

/// Counters by purpose.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Runs of tasks, with their bodies and answers.
    pub runs: Arc<Counts>,
    /// Leases and questions about tasks.
    pub leases: Arc<Counts>,
    /// The platform's list of VMs.
    pub list: Arc<Counts>,
    /// The platform's table.
    pub table: Arc<Counts>,
    /// The platform's object store.
    pub store: Arc<Counts>,
}

impl Traffic {
    /// Returns the counters with their names.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &Counts)> {
        [
            ("runs", &*self.runs),
            ("leases", &*self.leases),
            ("list", &*self.list),
            ("table", &*self.table),
            ("store", &*self.store),
        ]
        .into_iter()
    }
}
