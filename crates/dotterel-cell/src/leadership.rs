//! How long a leader may extend leases without renewing its leadership, and how long its successor
//! has to wait for them.
//!
//! A takeover makes every later renewal of the predecessor fail, so the last renewal that succeeded was
//! sent before the takeover. The predecessor requests no lease beyond `leadership_ttl` after it sent
//! that renewal. A successor that counts the same time from its own takeover, or from when it first saw
//! the renewal row that its takeover expects unchanged, therefore waits for every lease. Messages may
//! be lost or late. VMs that have restarted may hold longer leases, for which a successor waits longer.

use dotterel_kernel::Millis;

use crate::cell::Limits;
use crate::vm::{LEASE_EXPIRY_MARGIN, longest_duration};

/// Added to the successor's wait: the steady clocks of two nodes may differ in rate.
const NODE_CLOCK_MARGIN: Millis = Millis(200);

/// A leader's own lease, which each renewal in the store extends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    confirmed_at: Millis,
}

impl Leadership {
    /// Returns the leadership that a takeover sent at `sent_at` has acquired. Times count those during
    /// which the machine was suspended.
    #[must_use]
    pub const fn acquired(sent_at: Millis) -> Self {
        Self {
            confirmed_at: sent_at,
        }
    }

    /// Records that a renewal sent at `sent_at` has succeeded.
    pub fn renew(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns the time since the last renewal that succeeded was sent.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.confirmed_at)
    }

    /// Returns for how long leases on VMs may last; zero if they may not be extended any more.
    #[must_use]
    pub fn remaining(&self, limits: &Limits, now: Millis) -> Millis {
        limits.leadership_ttl - now.since(self.confirmed_at)
    }
}

/// Returns how long a successor waits, from its takeover on, for VMs that don't reply to it.
#[must_use]
pub fn recovery_wait(limits: &Limits) -> Millis {
    longest_duration(limits.leadership_ttl) + LEASE_EXPIRY_MARGIN + NODE_CLOCK_MARGIN
}
