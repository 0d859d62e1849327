//! A place in the queue.

use dotterel_kernel::{Millis, PendingKey};
use tokio::sync::oneshot;

use super::{Slot, Workers};

/// A waiting task; dropping it takes the task out of the queue.
pub struct QueuedTask {
    workers: Workers,
    key: PendingKey,
    receiver: oneshot::Receiver<Slot>,
}

impl QueuedTask {
    pub(super) const fn new(
        workers: Workers,
        key: PendingKey,
        receiver: oneshot::Receiver<Slot>,
    ) -> Self {
        Self {
            workers,
            key,
            receiver,
        }
    }

    /// Waits for capacity, at most until `until`.
    pub async fn wait(&mut self, until: Millis) -> Option<Slot> {
        let at = self.workers.inner.clock.instant(until);
        tokio::time::timeout_at(at, &mut self.receiver)
            .await
            .ok()?
            .ok()
    }
}

impl Drop for QueuedTask {
    fn drop(&mut self) {
        self.workers.state().withdraw(self.key);
        // A slot that was handed over in the meantime is dropped with the receiver, after the lock
        // is free again.
        self.receiver.close();
        drop(self.receiver.try_recv());
    }
}
