//! Up to when this leader is known to have had no successor.
//!
//! The lease that a leader has requested bounds the runs on a VM only as long as nobody else extends it.
//! A leader that is cut off from the store may have been replaced without noticing: its successor
//! reaches the VM, extends the lease and counts the ends of the runs. Therefore a lease counts as
//! expired only once a renewal of the leadership that was sent after its expiry has succeeded. Until the
//! expiry nobody else had extended the lease then, and afterwards there was nothing left to extend.

use dotterel_kernel::Millis;

use super::Cell;

/// The last confirmation of the leadership, and whether another one is awaited.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmation {
    /// When the last renewal that succeeded was sent.
    sent_at: Millis,
    is_awaited: bool,
}

impl Confirmation {
    /// Returns true if `expiry` has passed and no other leader can have extended the lease before. Notes
    /// that a confirmation is awaited if only that is missing.
    pub(super) fn covers(&mut self, expiry: Millis, now: Millis) -> bool {
        self.is_awaited |= now >= expiry && self.sent_at < expiry;
        self.sent_at >= expiry
    }
}

impl Cell {
    /// Records that a renewal of the leadership has succeeded that was sent at `sent_at`.
    pub fn leadership_confirmed(&mut self, sent_at: Millis) {
        let confirmation = &mut self.confirmation;
        confirmation.sent_at = confirmation.sent_at.max(sent_at);
        confirmation.is_awaited = false;
    }

    /// Returns true if runs of lost VMs can be released once the leadership is renewed.
    #[must_use]
    pub const fn needs_confirmation(&self) -> bool {
        self.confirmation.is_awaited
    }
}
