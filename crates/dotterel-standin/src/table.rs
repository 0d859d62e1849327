//! An in-memory transactional table.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::Clock;
use dotterel_platform::{CallError, Commit, Row, Table, Version, Write};
use serde::{Deserialize, Serialize};

use crate::fault_injector::{FaultInjector, impl_faults, lock};

/// Usage counts of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Applied transactions.
    pub commits: u64,
    /// Transactions rejected because of a version conflict.
    pub conflicts: u64,
    /// Rows written by applied transactions.
    pub rows: u64,
    /// Reads and scans.
    pub reads: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<CompactString, (Version, Bytes)>,
    /// The last version assigned; shared by all keys, so that no key gets a version twice.
    last_version: Version,
    counts: TableCounts,
}

/// An in-memory [`Table`].
#[derive(Clone, Debug)]
pub struct FakeTable {
    injector: FaultInjector,
    state: Arc<Mutex<State>>,
}

impl_faults!(FakeTable);

impl FakeTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            injector: FaultInjector::new(clock),
            state: Arc::default(),
        }
    }

    /// Returns the usage counts.
    #[must_use]
    pub fn counts(&self) -> TableCounts {
        lock(&self.state).counts
    }

    /// Returns all rows whose keys start with `prefix`; ignores faults and isn't counted.
    #[must_use]
    pub fn peek(&self, prefix: &str) -> Vec<Row> {
        lock(&self.state).scan(prefix, "", usize::MAX)
    }
}

impl State {
    fn get(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(version, value)| Row {
            key: key.into(),
            version: *version,
            value: value.clone(),
        })
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.rows
            .range::<str, _>((Bound::Included(prefix.max(after)), Bound::Unbounded))
            .filter(|(key, _)| key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .filter_map(|(key, _)| self.get(key))
            .collect()
    }

    fn commit(&mut self, writes: &[Write]) -> Commit {
        for write in writes {
            let found = self.get(&write.key).map_or(Version::ABSENT, |r| r.version);
            if found != write.expect {
                self.counts.conflicts += 1;
                let key = write.key.clone();
                return Commit::Conflict { key, found };
            }
        }
        self.counts.commits += 1;
        self.counts.rows += writes.len() as u64;
        Commit::Applied(writes.iter().map(|write| self.apply(write)).collect())
    }

    fn apply(&mut self, write: &Write) -> Version {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return Version::ABSENT;
        };
        self.last_version = Version(self.last_version.0 + 1);
        let entry = (self.last_version, value.clone());
        self.rows.insert(write.key.clone(), entry);
        self.last_version
    }
}

#[async_trait]
impl Table for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError> {
        let (state, key) = (self.state.clone(), CompactString::from(key));
        let read = move || {
            let mut state = lock(&state);
            state.counts.reads += 1;
            state.get(&key)
        };
        self.injector.call(read).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError> {
        let state = self.state.clone();
        let (prefix, after) = (CompactString::from(prefix), CompactString::from(after));
        let read = move || {
            let mut state = lock(&state);
            state.counts.reads += 1;
            state.scan(&prefix, &after, limit)
        };
        self.injector.call(read).await
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        let (state, writes) = (self.state.clone(), writes.to_vec());
        self.injector
            .commit(move || lock(&state).commit(&writes))
            .await
    }
}
