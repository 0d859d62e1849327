//! The error of a call to the platform or to a VM.

use std::fmt;

use compact_str::CompactString;

/// The error of a failed call, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call certainly had no effect: no byte of it was sent.
    NotSent(CompactString),
    /// The call may have had an effect: it was sent, but no complete response was received.
    Unknown(CompactString),
    /// The server responded that it cannot serve the call, which had no effect.
    Unavailable(CompactString),
}

impl CallError {
    /// Returns true when the call certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
            Self::Unavailable(cause) => write!(f, "unavailable: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}
