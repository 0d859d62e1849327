//! Counts the bytes and calls to workers and to the platform, by purpose.

use std::sync::Arc;

use dotterel_platform::Traffic as Counts;

/// Traffic counters by purpose.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Runs of tasks, including bodies and answers.
    pub runs: Arc<Counts>,
    /// Leases and queries about tasks.
    pub leases: Arc<Counts>,
    /// The platform's VM list.
    pub list: Arc<Counts>,
    /// The platform's table.
    pub table: Arc<Counts>,
    /// The platform's object store.
    pub store: Arc<Counts>,
}

impl Traffic {
    /// Returns the counters and their metric label values.
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
