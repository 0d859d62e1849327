//! Permits to start tasks on a VM.

use dotterel_kernel::{Epoch, Millis};

/// The right to start tasks on a VM until a deadline on this node's clock.
///
/// Only [`WorkerLease::permit`](super::WorkerLease::permit) creates one, so every start that uses
/// its epoch is covered by a lease that the VM granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: Epoch,
    until: Millis,
}

impl Permit {
    pub(super) const fn new(epoch: Epoch, until: Millis) -> Self {
        Self { epoch, until }
    }

    /// Returns the epoch to start under, or `None` if the lease may have expired by `now`.
    #[must_use]
    pub fn epoch(&self, now: Millis) -> Option<Epoch> {
        (now < self.until).then_some(self.epoch)
    }

    /// Returns when the permit expires.
    #[must_use]
    pub const fn until(&self) -> Millis {
        self.until
    }
}
