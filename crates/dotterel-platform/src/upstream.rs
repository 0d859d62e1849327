//! A VM that runs tasks under leases.
//!
//! The VM enforces its own capacity. It grants one worker lease at a time. Each grant gets a higher
//! [`Epoch`], which serves as a fencing token and keeps increasing across restarts of the VM. Calls
//! made under the lease carry the epoch, and the VM refuses any epoch that is not the newest or has
//! expired by the VM's clock. A lease ends by release or by expiry; another node cannot revoke it.
//!
//! Each task runs under a task lease, which the owner renews together with the worker lease. When
//! a task lease expires, the VM stops the task. Task ids are unique, and a VM never starts an id
//! that it has already seen in a start or a stop: if [`Upstream::stop`] arrives before the start,
//! the VM records the id and refuses the start.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{Epoch, Incarnation, JobId, Millis, NodeId, RequestId, Size, TaskId, VmId};
use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// The holder of a lease: one incarnation of an entry node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The entry node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
}

/// A request to acquire the worker lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The node that acquires the lease.
    pub owner: Owner,
    /// The time to live of the lease without renewal.
    pub ttl: Millis,
}

/// A task that is running on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The request that the task serves, if any.
    pub request: Option<RequestId>,
    /// The job that the task belongs to, if any.
    pub job: Option<JobId>,
    /// The resources that the task occupies.
    pub size: Size,
    /// The time since the task started.
    pub age: Millis,
}

/// A granted worker lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The VM.
    pub vm: VmId,
    /// The fencing token of the lease.
    pub epoch: Epoch,
    /// The time to live of the lease, counted from when the VM granted it.
    pub ttl: Millis,
    /// The capacity of the VM.
    pub capacity: Size,
    /// The tasks already running there, which count against the capacity.
    pub running: Vec<RunningTask>,
    /// Whether the VM will be removed soon and refuses new work.
    pub leaving: bool,
}

/// The response to [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireResponse {
    /// The lease is granted.
    Granted(Grant),
    /// Another owner holds the lease, or it is reserved for a successor other than the caller.
    Held {
        /// The holder or the successor.
        by: Owner,
        /// The time until the lease or the reservation expires.
        left: Millis,
    },
}

/// A request to renew the worker lease and a batch of task leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The epoch of the worker lease.
    pub epoch: Epoch,
    /// The new time to live of the worker lease.
    pub ttl: Millis,
    /// The tasks whose leases to renew.
    pub tasks: Vec<TaskId>,
    /// The new time to live of those task leases.
    pub task_ttl: Millis,
    /// Ended tasks whose outcomes are recorded elsewhere, so that the VM may drop them.
    ///
    /// The VM drops the outcomes but keeps the ids: it then reports the state as
    /// [`TaskState::Unseen`], refuses a start with [`Refusal::Seen`] and responds to a stop with
    /// [`StopResponse::Cut`].
    pub forget: Vec<TaskId>,
}

/// The state and resource usage of a task, as reported with a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedTask {
    /// The task.
    pub task: TaskId,
    /// The state. A response comes without its body, which [`Upstream::state`] returns.
    pub state: TaskState,
    /// The measured resource usage, which lags behind the actual usage.
    pub usage: Size,
}

/// The response to [`RenewRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewResponse {
    /// The leases were renewed; the time to live counts from when the VM handled the call.
    Done(VmReport),
    /// The worker lease has expired or was superseded; nothing was renewed.
    Lost {
        /// The newest epoch that the VM has granted.
        newest: Epoch,
    },
}

/// The state of the VM and its tasks, returned by a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// Whether the VM will be removed soon and refuses new work.
    pub leaving: bool,
    /// The running tasks, and the ended ones that no [`RenewRequest::forget`] has listed.
    pub tasks: Vec<ObservedTask>,
}

/// A request to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The epoch of the worker lease that permits the start.
    pub epoch: Epoch,
    /// The task; its id must not have been used before.
    pub task: TaskId,
    /// The request that the task serves, if any.
    pub request: Option<RequestId>,
    /// The job that the task belongs to, if any.
    pub job: Option<JobId>,
    /// The service.
    pub service: CompactString,
    /// The class within the service.
    pub class: CompactString,
    /// The resources that the task occupies.
    pub size: Size,
    /// The time to live of the task lease.
    pub task_ttl: Millis,
    /// The maximum run time, after which the VM stops the task.
    pub timeout: Millis,
}

/// The reason why a VM refused a start. A refused start has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker lease has expired or was superseded.
    StaleEpoch {
        /// The newest epoch that the VM has granted.
        newest: Epoch,
    },
    /// The VM has too little free capacity for the task.
    Full,
    /// The VM will be removed soon.
    Leaving,
    /// The task was stopped before its start arrived.
    Stopped,
    /// The task was started before; [`Upstream::state`] returns its state.
    Seen,
}

/// The complete response of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: CompactString,
    /// The complete body.
    pub body: Bytes,
}

/// The response to [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResponse {
    /// The task was accepted and is running; only returned by [`Upstream::launch`].
    Accepted,
    /// The task ran to completion.
    Finished(TaskResponse),
    /// The task started and was stopped before completion.
    Cut,
    /// The task was not started.
    Refused(Refusal),
}

/// The state of a task on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The VM has never seen the task, or has dropped its outcome after a [`RenewRequest::forget`].
    Unseen,
    /// The task is running.
    Running,
    /// The task ran to completion.
    Finished(TaskResponse),
    /// The task started and was stopped before completion.
    Cut,
    /// The task was stopped before it started, and can no longer start.
    Barred,
}

/// The response to [`Upstream::stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopResponse {
    /// The task had not started on this VM and can no longer start.
    Barred,
    /// The task was running and has been stopped.
    Cut,
    /// The task had already run to completion.
    Finished(TaskResponse),
}

/// A control signal to a running task, other than a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskSignal {
    /// Reduce the CPU share of the task.
    Throttle,
    /// Restore the full CPU share.
    Restore,
    /// Save a checkpoint and exit; a later task of the same job resumes from it.
    Checkpoint,
}

/// One VM that runs tasks under leases.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Acquires the worker lease. The current holder can acquire it again, with a higher epoch.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the lease may have been granted.
    async fn acquire(&self, request: &AcquireRequest) -> Result<AcquireResponse, CallError>;

    /// Renews the worker lease and task leases.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the leases may or may not have been renewed.
    async fn renew(&self, request: &RenewRequest) -> Result<RenewResponse, CallError>;

    /// Releases the worker lease. Running tasks continue under their task leases.
    ///
    /// If a successor is given, only that node can acquire the next lease until this one would have
    /// expired.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the lease may or may not have ended.
    async fn release(&self, epoch: Epoch, successor: Option<&NodeId>) -> Result<(), CallError>;

    /// Starts a task and waits for its complete response.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the task may be running: [`Upstream::state`] returns its state,
    /// and [`Upstream::stop`] ensures that it no longer runs.
    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError>;

    /// Starts a task and returns as soon as the VM has accepted it.
    ///
    /// # Errors
    ///
    /// As for [`Upstream::run`].
    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError>;

    /// Returns the state of a task. Needs no lease.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn state(&self, task: TaskId) -> Result<TaskState, CallError>;

    /// Stops a task, or prevents it from ever starting. Idempotent; needs no lease.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the task may have been stopped; the call may be repeated.
    async fn stop(&self, task: TaskId) -> Result<StopResponse, CallError>;

    /// Sends a control signal to a running task.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the call may have taken effect; it may be repeated.
    async fn signal(&self, epoch: Epoch, task: TaskId, signal: TaskSignal)
    -> Result<(), CallError>;
}
