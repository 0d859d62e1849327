//! The platform's table and object store.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// The version of a row; zero means that the row does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of a row that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: CompactString,
    /// The version, which increases with every write and is never reused for the same key.
    pub version: Version,
    /// The content.
    pub value: Bytes,
}

/// A conditional write of one row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: CompactString,
    /// The version that the row must have for the transaction to commit.
    pub expect: Version,
    /// The new content; `None` deletes the row.
    pub value: Option<Bytes>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// All writes took effect. Holds the new versions, in the order of the writes.
    Applied(Vec<Version>),
    /// No write took effect because this row did not have the expected version.
    Conflict {
        /// The key of the row.
        key: CompactString,
        /// The version that the row has.
        found: Version,
    },
}

/// The platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError>;

    /// Reads up to `limit` rows in key order whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError>;

    /// Applies all writes atomically, if every row has its expected version.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`] means that the writes may have taken effect.
    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError>;
}

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object and replaces an existing one of the same name.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`] means that the object may have been written.
    async fn put(&self, name: &str, value: Bytes) -> Result<(), CallError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, CallError>;

    /// Lists up to `limit` names that start with `prefix` and sort after `after`, in order.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<CompactString>, CallError>;
}
