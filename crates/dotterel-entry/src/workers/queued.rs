//! A handle to a queued task.

use dotterel_kernel::{Millis, PendingKey};
use tokio::sync::oneshot;

use super::{Slot, Workers};

/// A queued task; dropping it removes the task from the queue.
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

    /// Waits for the task's placement, at most until `until`; returns `None` on timeout.
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
        // The task may have been placed already. Its slot is dropped here, after the lock is
        // released, because dropping it locks the state.
        self.receiver.close();
        drop(self.receiver.try_recv());
    }
}
