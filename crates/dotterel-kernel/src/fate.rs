//! Outcome of a request.

mod codec;

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request, as far as the system can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fate {
    /// The request ran to its end on a VM.
    Ran,
    /// No part of the request ran, for the given reason.
    NotRun(Reason),
    /// The request may have run; its outcome cannot be determined at present.
    Unknown,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It could not start before its deadline.
    Deadline,
    /// The queue was full.
    QueueFull,
    /// Less urgent work was shed because demand exceeded capacity.
    Shed,
    /// It exceeds the team's quota.
    Quota,
    /// It is larger than any VM.
    TooLarge,
    /// No VM with free capacity could be reached.
    NoCapacity,
    /// Its claim could not be made durable in time.
    ClaimUnavailable,
    /// A request with the same idempotency key already exists.
    Duplicate,
    /// The VM refused to start it.
    Refused,
    /// The caller cancelled it before it started.
    Cancelled,
    /// The node was shutting down.
    Stopping,
}

impl Fate {
    /// Returns the fate as it appears in headers and logs.
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
    /// Returns the reason as it appears in responses and logs.
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
