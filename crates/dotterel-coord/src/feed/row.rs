//! The row of one document.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Row, Table, Version};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// What the keys of all documents start with.
pub(super) const PREFIX: &str = "documents/";

/// The number of earlier writes whose marks a row keeps.
const MARKS: usize = 16;

/// The mark of one write of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Mark {
    /// Chosen by the writer, used once.
    pub(super) id: Uuid,
    /// The revision that the write made.
    pub(super) revision: Revision,
    /// The node that wrote.
    pub(super) by: NodeId,
    /// When it wrote.
    pub(super) at: Millis,
}

/// The content of a document's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DocumentRow {
    /// The current revision.
    pub(super) revision: Revision,
    /// The TOML as accepted.
    pub(super) text: CompactString,
    /// The latest writes, the oldest first.
    pub(super) marks: Vec<Mark>,
}

/// A document's row as read; none when there is no document.
pub(super) struct Stored {
    pub(super) version: Version,
    pub(super) row: Option<DocumentRow>,
}

impl DocumentRow {
    /// Reads the row of a service.
    pub(super) async fn read(table: &dyn Table, service: &Service) -> Result<Stored, CallError> {
        let Some(raw) = table.get(&key(service)).await? else {
            return Ok(Stored {
                version: Version::ABSENT,
                row: None,
            });
        };
        let Some((_, row)) = Self::decode(&raw) else {
            return Err(CallError::Unavailable(
                "unknown encoding of a document".into(),
            ));
        };
        Ok(Stored {
            version: raw.version,
            row: Some(row),
        })
    }

    /// Decodes a row; none when it is not a document.
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

    /// Returns the row that follows with a new text.
    pub(super) fn successor(&self, text: &str, mark: Mark) -> Self {
        let mut marks = self.marks.clone();
        if marks.len() == MARKS {
            marks.remove(0);
        }
        let revision = mark.revision;
        marks.push(mark);
        Self {
            revision,
            text: text.into(),
            marks,
        }
    }

    /// Returns the revision that a write made, if it took effect.
    pub(super) fn made_by(&self, id: Uuid) -> Option<Revision> {
        let mark = self.marks.iter().find(|mark| mark.id == id)?;
        Some(mark.revision)
    }
}

/// Returns the key of a service's row.
pub(super) fn key(service: &Service) -> CompactString {
    format_compact!("{PREFIX}{service}")
}
