//! What became of a request.

mod codec;

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request as the system can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// The request ran to its end on a VM.
    Ran,
    /// No part of the request ran, for this reason.
    NotRun(Reason),
    /// The request may have run; nobody can tell at present.
    Unknown,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It could not have started before its deadline.
    Deadline,
    /// The queue of its class was full.
    QueueFull,
    /// Lower classes were shed while demand exceeded capacity.
    Shed,
    /// The team's quota has no room.
    Quota,
    /// No VM could ever hold it.
    TooLarge,
    /// No VM with room could be reached.
    NoCapacity,
    /// Its claim could not be made durable in time.
    ClaimUnavailable,
    /// A request with the same idempotency key already exists.
    Duplicate,
    /// The VM refused the start.
    Refused,
    /// The caller cancelled it before it started.
    Cancelled,
    /// The node was stopping.
    Stopping,
}

impl Fate {
    /// Returns the fate as the word used in headers and logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun(_) => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Reason {
    /// Returns the reason as the word used in answers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::Shed => "shed",
            Self::Quota => "quota",
            Self::TooLarge => "too-large",
            Self::NoCapacity => "no-capacity",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::Duplicate => "duplicate",
            Self::Refused => "refused",
            Self::Cancelled => "cancelled",
            Self::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Fate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "not-run ({reason})"),
            other => f.write_str(other.as_str()),
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
