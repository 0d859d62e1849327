//! The recorded outcome of a claimed request.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The response of a finished request, stored for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The HTTP status code.
    pub status: u16,
    /// The content type of the body.
    pub content_type: CompactString,
    /// The body, or what is stored of it.
    pub body: Body,
}

/// A recorded body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The complete body.
    Inline(Bytes),
    /// The name of the object that holds the complete body.
    Object(CompactString),
    /// The body was too large for the entry and could not be written to an object store.
    Omitted {
        /// Its length in bytes.
        length: u64,
        /// Its hash.
        digest: u64,
    },
}

impl RecordedOutcome {
    /// Creates an outcome with an inline body.
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
    /// Returns the length and hash of a body that is not stored.
    pub(super) fn omitted(bytes: &Bytes) -> Self {
        Self::Omitted {
            length: bytes.len() as u64,
            digest: xxh3_64(bytes),
        }
    }
}
