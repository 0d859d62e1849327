//! Orders to a running engine.

use dotterel_kernel::JobId;
use dotterel_platform::Pressure;
use tokio::sync::mpsc;

/// Pressure on one task of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub(super) job: JobId,
    pub(super) index: u32,
    pub(super) pressure: Pressure,
}

/// Gives orders to a running [`Engine`](super::Engine).
#[derive(Clone, Debug)]
pub struct EngineHandle(mpsc::Sender<Order>);

impl EngineHandle {
    pub(super) const fn new(orders: mpsc::Sender<Order>) -> Self {
        Self(orders)
    }

    /// Throttles, restores or checkpoints a task; one that this engine does not run is left alone.
    ///
    /// A task that was checkpointed is placed again later and resumes.
    pub async fn press(&self, job: JobId, index: u32, pressure: Pressure) {
        let order = Order {
            job,
            index,
            pressure,
        };
        if self.0.send(order).await.is_err() {
            log::debug!(job:%; "pressure on a task of a stopped engine");
        }
    }
}
