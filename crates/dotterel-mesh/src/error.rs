//! The error of a call to a peer.

use std::fmt;

use compact_str::CompactString;

/// The error of a failed call, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MeshError {
    /// The peer cannot have acted on the call: it did not receive the complete message.
    NotSent(CompactString),
    /// The peer may have acted on the call, but no complete reply was received.
    Unknown(CompactString),
}

impl MeshError {
    /// Returns true when the peer cannot have acted on the call.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    pub(crate) fn not_sent(cause: impl fmt::Display) -> Self {
        Self::NotSent(compact_str::format_compact!("{cause}"))
    }

    pub(crate) fn unknown(cause: impl fmt::Display) -> Self {
        Self::Unknown(compact_str::format_compact!("{cause}"))
    }
}

impl fmt::Display for MeshError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
        }
    }
}

impl std::error::Error for MeshError {}
