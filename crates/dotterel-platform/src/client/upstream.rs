//! The HTTP client of a VM that runs tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_kernel::{Epoch, Millis, NodeId, TaskId};

use super::traffic::Traffic;
use super::wire::{Limits, Wire};
use crate::api;
use crate::error::CallError;
use crate::upstream::{
    AcquireRequest, AcquireResponse, Refusal, RenewRequest, RenewResponse, StartRequest,
    StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};

/// How many connections are kept apart for calls that do not run tasks.
const CONTROL_CONNECTIONS: usize = 4;

/// How long a run stays unobserved before the VM is first asked about it.
const FIRST_PROBE: Millis = Millis(1000);

/// The longest pause between two questions about a run.
const LAST_PROBE: Millis = Millis(8000);

/// How many probes in a row may fail before the run's outcome is given up as unknown.
const FAILED_PROBES: u32 = 3;

/// How many probes in a row may find the task unseen before its start is given up as lost.
const UNSEEN_PROBES: u32 = 2;

/// An [`Upstream`] over HTTP.
///
/// While a run waits for its answer, the VM is asked about the task over other connections. The
/// outcome is therefore found in bounded time even when the run's own connection has gone silent.
#[derive(Clone, Debug)]
pub struct HttpUpstream {
    runs: Arc<Wire>,
    control: Arc<Wire>,
}

impl HttpUpstream {
    /// Returns a client that opens connections when they are needed.
    #[must_use]
    pub fn new(addr: SocketAddr, caller: &NodeId, limits: Limits) -> Self {
        let control = Limits {
            max_connections: CONTROL_CONNECTIONS,
            ..limits
        };
        Self {
            runs: Arc::new(Wire::new(addr, caller, limits)),
            control: Arc::new(Wire::new(addr, caller, control)),
        }
    }

    /// Counts the bytes of runs and those of all other calls apart.
    #[must_use]
    pub fn with_traffic(self, runs: &Arc<Traffic>, control: &Arc<Traffic>) -> Self {
        Self {
            runs: Arc::new(self.runs.with_traffic(runs)),
            control: Arc::new(self.control.with_traffic(control)),
        }
    }

    /// Asks about a task until its run is over or its outcome can no longer be expected.
    async fn watch(&self, task: TaskId) -> Result<StartResponse, CallError> {
        let mut pause = FIRST_PROBE;
        let mut failed = 0;
        let mut unseen = 0;
        loop {
            tokio::time::sleep(pause.duration()).await;
            match self.state(task).await {
                Ok(TaskState::Running) => (failed, unseen) = (0, 0),
                Ok(TaskState::Finished(answer)) => return Ok(StartResponse::Finished(answer)),
                Ok(TaskState::Cut) => return Ok(StartResponse::Cut),
                Ok(TaskState::Barred) => return Ok(StartResponse::Refused(Refusal::Stopped)),
                Ok(TaskState::Unseen) => (failed, unseen) = (0, unseen + 1),
                Err(_) => failed += 1,
            }
            if unseen >= UNSEEN_PROBES {
                return Err(CallError::Unknown("the VM has not seen the task".into()));
            }
            if failed >= FAILED_PROBES {
                return Err(CallError::Unknown("the VM has gone silent".into()));
            }
            pause = Millis(pause.0 * 2).min(LAST_PROBE);
        }
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn acquire(&self, ask: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        self.control.call(api::ACQUIRE, ask).await
    }

    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError> {
        self.control.call(api::RENEW, renewal).await
    }

    async fn release(&self, epoch: Epoch, heir: Option<&NodeId>) -> Result<(), CallError> {
        self.control.call(api::RELEASE, &(epoch, heir)).await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let ask = (start, body);
        tokio::select! {
            biased;
            outcome = self.runs.call_unbounded(api::RUN, &ask) => outcome,
            found = self.watch(start.task) => {
                self.runs.replace_connections();
                found
            }
        }
    }

    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        self.runs.call(api::LAUNCH, &(start, body)).await
    }

    async fn state(&self, task: TaskId) -> Result<TaskState, CallError> {
        self.control.call(api::STATE, &task).await
    }

    async fn stop(&self, task: TaskId) -> Result<StopResponse, CallError> {
        self.control.call(api::STOP, &task).await
    }

    async fn signal(
        &self,
        epoch: Epoch,
        task: TaskId,
        signal: TaskSignal,
    ) -> Result<(), CallError> {
        self.control.call(api::SIGNAL, &(epoch, task, signal)).await
    }
}
