//! The row that names the latest changes of all documents.

use bytes::Bytes;
use dotterel_kernel::Service;
use dotterel_platform::{CallError, Table, Version};
use serde::{Deserialize, Serialize};

/// The key of the head row, outside of the documents' prefix.
pub(super) const KEY: &str = "documents-head";

/// The number of changes that the head row names.
const RECENT: usize = 32;

/// The number of changes since the first document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Sequence(u64);

/// The content of the head row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    sequence: Sequence,
    /// The services of the latest changes, the oldest first.
    recent: Vec<Service>,
}

/// The head row as read.
pub(super) struct StoredHead {
    pub(super) version: Version,
    pub(super) head: Head,
}

impl Head {
    /// Reads the head row.
    pub(super) async fn read(table: &dyn Table) -> Result<StoredHead, CallError> {
        let Some(raw) = table.get(KEY).await? else {
            return Ok(StoredHead {
                version: Version::ABSENT,
                head: Self::default(),
            });
        };
        let head = postcard::from_bytes(&raw.value)
            .map_err(|_| CallError::Unavailable("unknown encoding of the head row".into()))?;
        Ok(StoredHead {
            version: raw.version,
            head,
        })
    }

    /// Returns the number of changes so far.
    pub(super) const fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the services that changed after `seen`; none when that is too long ago to tell.
    pub(super) fn changed_since(&self, seen: Sequence) -> Option<Vec<Service>> {
        let behind = self.sequence.0.checked_sub(seen.0)?;
        let count = usize::try_from(behind).ok()?;
        let first = self.recent.len().checked_sub(count)?;
        let mut services = self.recent[first..].to_vec();
        services.sort();
        services.dedup();
        Some(services)
    }

    /// Returns the head that follows a change of a service.
    pub(super) fn successor(&self, service: &Service) -> Self {
        let mut recent = self.recent.clone();
        if recent.len() == RECENT {
            recent.remove(0);
        }
        recent.push(service.clone());
        Self {
            sequence: Sequence(self.sequence.0 + 1),
            recent,
        }
    }

    /// Encodes the head.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a row of plain values can be encoded")
            .into()
    }
}
