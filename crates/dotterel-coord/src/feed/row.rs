//! The row of one document.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Row, Table, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// The prefix of the keys of all document rows.
pub(super) const PREFIX: &str = "documents/";

/// The maximum number of writes recorded in a row.
const MAX_WRITES: usize = 16;

/// Identifies one write of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WriteRecord {
    /// The unique id chosen by the writer.
    pub(super) id: Uuid,
    /// The revision created by the write.
    pub(super) revision: Revision,
    /// The node that made the write.
    pub(super) by: NodeId,
    /// The time of the write, by the node's clock.
    pub(super) at: Millis,
}

/// The contents of a document's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DocumentRow {
    /// The current revision.
    pub(super) revision: Revision,
    /// The TOML source.
    pub(super) text: CompactString,
    /// The latest writes, the oldest first.
    pub(super) writes: Vec<WriteRecord>,
}

/// A document's row, if there is one, with its version in the table.
pub(super) struct VersionedRow {
    pub(super) version: Version,
    pub(super) row: Option<DocumentRow>,
}

impl DocumentRow {
    /// Reads the row of a service.
    pub(super) async fn read(
        table: &dyn Table,
        service: &Service,
    ) -> Result<VersionedRow, CallError> {
        let Some(raw) = table.get(&key(service)).await? else {
            return Ok(VersionedRow {
                version: Version::ABSENT,
                row: None,
            });
        };
        let Some((_, row)) = Self::decode(&raw) else {
            return Err(CallError::Unavailable(
                "document row cannot be decoded".into(),
            ));
        };
        Ok(VersionedRow {
            version: raw.version,
            row: Some(row),
        })
    }

    /// Decodes a row; returns `None` if it is not a valid document row.
    pub(super) fn decode(raw: &Row) -> Option<(Service, Self)> {
        let service = raw.key.strip_prefix(PREFIX)?;
        let row = postcard::from_bytes(&raw.value).ok()?;
        Some((service.into(), row))
    }

    /// Encodes the row.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a row of plain values can be encoded")
            .into()
    }

    /// Returns the row after a write of a new text.
    pub(super) fn with_write(&self, text: &str, write: WriteRecord) -> Self {
        let mut writes = self.writes.clone();
        if writes.len() == MAX_WRITES {
            writes.remove(0);
        }
        let revision = write.revision;
        writes.push(write);
        Self {
            revision,
            text: text.into(),
            writes,
        }
    }

    /// Returns the revision created by a write, if the write is recorded in the row.
    pub(super) fn revision_of(&self, id: Uuid) -> Option<Revision> {
        let write = self.writes.iter().find(|write| write.id == id)?;
        Some(write.revision)
    }
}

/// Returns the key of a service's row.
pub(super) fn key(service: &Service) -> CompactString {
    format_compact!("{PREFIX}{service}")
}
