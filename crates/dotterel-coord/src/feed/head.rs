//! The head row, which lists the latest changes of all documents.

use bytes::Bytes;
use dotterel_kernel::Service;
use dotterel_platform::{CallError, Table, Version};
use serde::{Deserialize, Serialize};

/// The key of the head row, outside the prefix of the document rows.
pub(super) const KEY: &str = "documents-head";

/// The maximum number of changes listed in the head row.
const MAX_RECENT: usize = 32;

/// The total number of changes to documents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Sequence(u64);

/// The contents of the head row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    sequence: Sequence,
    /// The services of the latest changes, the oldest first.
    recent: Vec<Service>,
}

/// The head row with its version in the table.
pub(super) struct VersionedHead {
    pub(super) version: Version,
    pub(super) head: Head,
}

impl Head {
    /// Reads the head row.
    pub(super) async fn read(table: &dyn Table) -> Result<VersionedHead, CallError> {
        let Some(raw) = table.get(KEY).await? else {
            return Ok(VersionedHead {
                version: Version::ABSENT,
                head: Self::default(),
            });
        };
        let head = postcard::from_bytes(&raw.value)
            .map_err(|_| CallError::Unavailable("head row cannot be decoded".into()))?;
        Ok(VersionedHead {
            version: raw.version,
            head,
        })
    }

    /// Returns the number of changes so far.
    pub(super) const fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the services that changed after `seen`, or `None` if the list does not reach back
    /// that far.
    pub(super) fn changed_since(&self, seen: Sequence) -> Option<Vec<Service>> {
        let behind = self.sequence.0.checked_sub(seen.0)?;
        let count = usize::try_from(behind).ok()?;
        let first = self.recent.len().checked_sub(count)?;
        let mut services = self.recent[first..].to_vec();
        services.sort();
        services.dedup();
        Some(services)
    }

    /// Returns the head row after a change to a service's document.
    pub(super) fn with_change(&self, service: &Service) -> Self {
        let mut recent = self.recent.clone();
        if recent.len() == MAX_RECENT {
            recent.remove(0);
        }
        recent.push(service.clone());
        Self {
            sequence: Sequence(self.sequence.0 + 1),
            recent,
        }
    }

    /// Encodes the head row.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a row of plain values can be encoded")
            .into()
    }
}
