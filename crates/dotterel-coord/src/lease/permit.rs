//! The right to start tasks on a VM.

use dotterel_kernel::{Epoch, Millis};

/// The right to start tasks on a VM until a moment on this node's clock.
///
/// It comes from [`WorkerLease::permit`](super::WorkerLease::permit) alone and cannot be made up,
/// so a start that names its epoch rests on a lease that the VM granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: Epoch,
    until: Millis,
}

impl Permit {
    pub(super) const fn new(epoch: Epoch, until: Millis) -> Self {
        Self { epoch, until }
    }

    /// Returns the epoch to start under, or none when the lease may have lapsed by `now`.
    #[must_use]
    pub fn epoch(&self, now: Millis) -> Option<Epoch> {
        (now < self.until).then_some(self.epoch)
    }

    /// Returns when the right ends unless the lease is renewed.
    #[must_use]
    pub const fn until(&self) -> Millis {
        self.until
    }
}
