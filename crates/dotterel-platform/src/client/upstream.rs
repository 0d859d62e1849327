//! The HTTP client for a VM that runs tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_kernel::{Epoch, Millis, NodeId, TaskId};

use super::endpoint::{Endpoint, Limits};
use super::traffic::Traffic;
use crate::api;
use crate::error::CallError;
use crate::upstream::{
    AcquireRequest, AcquireResponse, Refusal, RenewRequest, RenewResponse, StartRequest,
    StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};

/// The maximum number of connections for calls other than [`Upstream::run`] and [`Upstream::launch`].
const MAX_CONTROL_CONNECTIONS: usize = 4;

/// The time from the start of a run to the first poll of its state.
const INITIAL_POLL_INTERVAL: Millis = Millis(1000);

/// The upper bound of the interval between polls, which doubles after each poll.
const MAX_POLL_INTERVAL: Millis = Millis(8000);

/// The number of consecutive failed polls after which the outcome of a run counts as unknown.
const MAX_FAILED_POLLS: u32 = 3;

/// The number of consecutive polls that find the task unseen after which its start counts as lost.
const MAX_UNSEEN_POLLS: u32 = 2;

/// An [`Upstream`] over HTTP.
///
/// While a run waits for its response, the client polls the task's state over separate connections.
/// The run therefore ends in bounded time even if its own connection has stalled.
#[derive(Clone, Debug)]
pub struct HttpUpstream {
    runs: Arc<Endpoint>,
    control: Arc<Endpoint>,
}

impl HttpUpstream {
    /// Returns a client that opens connections on demand.
    #[must_use]
    pub fn new(addr: SocketAddr, caller: &NodeId, limits: Limits) -> Self {
        let control = Limits {
            max_connections: MAX_CONTROL_CONNECTIONS,
            ..limits
        };
        Self {
            runs: Arc::new(Endpoint::new(addr, caller, limits)),
            control: Arc::new(Endpoint::new(addr, caller, control)),
        }
    }

    /// Returns the client with the calls and bytes of task starts counted in `runs`, and those of
    /// all other calls in `control`.
    #[must_use]
    pub fn with_traffic(self, runs: &Arc<Traffic>, control: &Arc<Traffic>) -> Self {
        Self {
            runs: Arc::new(self.runs.with_traffic(runs)),
            control: Arc::new(self.control.with_traffic(control)),
        }
    }

    /// Polls the state of a task until it has ended.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unknown`] after too many consecutive polls that fail or find the task
    /// unseen.
    async fn poll_until_ended(&self, task: TaskId) -> Result<StartResponse, CallError> {
        let mut interval = INITIAL_POLL_INTERVAL;
        let mut failed_polls = 0;
        let mut unseen_polls = 0;
        loop {
            tokio::time::sleep(interval.duration()).await;
            match self.state(task).await {
                Ok(TaskState::Running) => (failed_polls, unseen_polls) = (0, 0),
                Ok(TaskState::Finished(response)) => return Ok(StartResponse::Finished(response)),
                Ok(TaskState::Cut) => return Ok(StartResponse::Cut),
                Ok(TaskState::Barred) => return Ok(StartResponse::Refused(Refusal::Stopped)),
                Ok(TaskState::Unseen) => (failed_polls, unseen_polls) = (0, unseen_polls + 1),
                Err(_) => failed_polls += 1,
            }
            if unseen_polls >= MAX_UNSEEN_POLLS {
                return Err(CallError::Unknown("the VM has not seen the task".into()));
            }
            if failed_polls >= MAX_FAILED_POLLS {
                return Err(CallError::Unknown("the VM does not respond".into()));
            }
            interval = Millis(interval.0 * 2).min(MAX_POLL_INTERVAL);
        }
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn acquire(&self, request: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        self.control.call(api::ACQUIRE, request).await
    }

    async fn renew(&self, request: &RenewRequest) -> Result<RenewResponse, CallError> {
        self.control.call(api::RENEW, request).await
    }

    async fn release(&self, epoch: Epoch, successor: Option<&NodeId>) -> Result<(), CallError> {
        self.control.call(api::RELEASE, &(epoch, successor)).await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let args = (start, body);
        tokio::select! {
            biased;
            outcome = self.runs.call_without_timeout(api::RUN, &args) => outcome,
            polled = self.poll_until_ended(start.task) => {
                self.runs.replace_connections();
                polled
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
