//! The recorded outcome of a claimed request.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// What a finished request answered, as kept for its repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: CompactString,
    /// The body, as far as it is kept.
    pub body: Body,
}

/// A recorded body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The whole body.
    Inline(Bytes),
    /// The whole body stands in the object store under this name.
    Object(CompactString),
    /// The body was too large for the entry, and no object store took it.
    Omitted {
        /// Its length in bytes.
        length: u64,
        /// Its hash.
        digest: u64,
    },
}

impl RecordedOutcome {
    /// Returns an outcome with its whole body.
    #[must_use]
    pub const fn inline(status: u16, content_type: CompactString, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body: Body::Inline(body),
        }
    }
}

impl Body {
    /// Returns what is kept of a body that is too large.
    pub(super) fn omitted(bytes: &Bytes) -> Self {
        Self::Omitted {
            length: bytes.len() as u64,
            digest: xxh3_64(bytes),
        }
    }
}
