//! Commands to a running engine.

use dotterel_kernel::JobId;
use dotterel_platform::TaskSignal;
use tokio::sync::mpsc;

/// Signals one task of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Command {
    pub(super) job: JobId,
    pub(super) index: u32,
    pub(super) signal: TaskSignal,
}

/// Sends commands to a running [`Engine`](super::Engine).
#[derive(Clone, Debug)]
pub struct EngineHandle(mpsc::Sender<Command>);

impl EngineHandle {
    pub(super) const fn new(sender: mpsc::Sender<Command>) -> Self {
        Self(sender)
    }

    /// Throttles, restores or checkpoints a task; no effect on a task that this engine doesn't run.
    ///
    /// A checkpointed task is placed again later and resumes.
    pub async fn signal(&self, job: JobId, index: u32, signal: TaskSignal) {
        let command = Command { job, index, signal };
        if self.0.send(command).await.is_err() {
            log::debug!(job:%; "task not signalled: engine has stopped");
        }
    }
}
