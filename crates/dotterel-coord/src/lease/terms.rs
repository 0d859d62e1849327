//! TTLs, margin and call timeout of leases.

use std::fmt;

use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

/// The lease terms as read from the settings, not validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawTerms {
    /// The TTL of a worker lease, in milliseconds.
    pub ttl_ms: u64,
    /// The TTL of a task lease, in milliseconds.
    pub task_ttl_ms: u64,
    /// What the holder subtracts from the TTL of a worker lease for clock drift, in milliseconds.
    pub margin_ms: u64,
    /// The timeout of a call to the VM, in milliseconds.
    pub call_ms: u64,
}

impl Default for RawTerms {
    fn default() -> Self {
        Self {
            ttl_ms: 3_000,
            task_ttl_ms: 15_000,
            margin_ms: 150,
            call_ms: 600,
        }
    }
}

/// Validated terms of worker leases and task leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    pub(super) ttl: Millis,
    pub(super) task_ttl: Millis,
    pub(super) margin: Millis,
    pub(super) call_timeout: Millis,
}

/// A lease setting is outside its allowed range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermsError {
    /// The name of the setting.
    pub field: &'static str,
    /// Its value in milliseconds.
    pub value: u64,
    /// The lowest allowed value in milliseconds.
    pub min: u64,
    /// The highest allowed value in milliseconds.
    pub max: u64,
}

/// The minimum TTL of a worker lease, in milliseconds.
const MIN_TTL_MS: u64 = 300;

/// The maximum TTL of a worker lease, in milliseconds.
const MAX_TTL_MS: u64 = 60_000;

/// The maximum TTL of a task lease, in milliseconds.
const MAX_TASK_TTL_MS: u64 = 600_000;

impl Terms {
    /// Returns the TTL of a worker lease.
    #[must_use]
    pub const fn ttl(&self) -> Millis {
        self.ttl
    }

    /// Returns the TTL of a task lease.
    #[must_use]
    pub const fn task_ttl(&self) -> Millis {
        self.task_ttl
    }

    /// Returns the timeout of a call to the VM.
    #[must_use]
    pub const fn call_timeout(&self) -> Millis {
        self.call_timeout
    }

    /// Returns the interval between renewals.
    #[must_use]
    pub const fn renew_interval(&self) -> Millis {
        Millis(self.ttl.0 / 3)
    }

    /// Returns when a lease expires for its holder, whose call was sent at `sent`.
    pub(super) fn expiry(&self, sent: Millis, granted: Millis) -> Millis {
        sent + self.ttl.min(granted) - self.margin
    }
}

impl Default for Terms {
    fn default() -> Self {
        let raw = RawTerms::default();
        Self {
            ttl: Millis(raw.ttl_ms),
            task_ttl: Millis(raw.task_ttl_ms),
            margin: Millis(raw.margin_ms),
            call_timeout: Millis(raw.call_ms),
        }
    }
}

impl TryFrom<RawTerms> for Terms {
    type Error = TermsError;

    fn try_from(raw: RawTerms) -> Result<Self, TermsError> {
        let ttl = raw.ttl_ms;
        check_range("ttl_ms", ttl, MIN_TTL_MS, MAX_TTL_MS)?;
        // A task lease must outlast the owner's lease, the acquisition by a successor and one
        // renewal.
        check_range("task_ttl_ms", raw.task_ttl_ms, 3 * ttl, MAX_TASK_TTL_MS)?;
        check_range("margin_ms", raw.margin_ms, 1, ttl / 3)?;
        // Two renewals must fit into what is left of the lease after one renewal interval.
        check_range("call_ms", raw.call_ms, 1, ttl / 4)?;
        Ok(Self {
            ttl: Millis(ttl),
            task_ttl: Millis(raw.task_ttl_ms),
            margin: Millis(raw.margin_ms),
            call_timeout: Millis(raw.call_ms),
        })
    }
}

fn check_range(field: &'static str, value: u64, min: u64, max: u64) -> Result<(), TermsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(TermsError {
        field,
        value,
        min,
        max,
    })
}

impl fmt::Display for TermsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            min,
            max,
        } = self;
        write!(f, "{field} is {value}, allowed is {min} to {max}")
    }
}

impl std::error::Error for TermsError {}
