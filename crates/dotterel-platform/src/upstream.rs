//! A VM that runs tasks under leases.
//!
//! The VM is the arbiter of its own capacity. It grants one worker lease at a time, numbered by an
//! [`Epoch`] that grows with every grant, also over a restart of the VM. Every call that changes
//! something names the epoch, and the VM refuses all but the newest one that has not lapsed by its
//! own clock. A lease ends by release or by lapse, never by another node's wish.
//!
//! Each task runs under a task lease that the owner renews together with the worker lease. When a
//! task lease lapses, the VM stops the task by itself. Task ids are unique, and a VM that has seen
//! one, as a start or as a stop, never starts it again: [`Upstream::stop`] of a task that it has
//! not seen leaves a mark that refuses a start arriving later.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{Epoch, Incarnation, JobId, Millis, NodeId, RequestId, Size, TaskId, VmId};
use serde::{Deserialize, Serialize};

use crate::error::CallError;

/// One life of an entry node, as the holder of leases.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A request for the worker lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Who asks.
    pub owner: Owner,
    /// How long the lease lasts without renewal.
    pub ttl: Millis,
}

/// A task that a VM runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The request that it serves, if any.
    pub request: Option<RequestId>,
    /// The job that it belongs to, if any.
    pub job: Option<JobId>,
    /// What it takes of the VM.
    pub size: Size,
    /// How long it has run.
    pub age: Millis,
}

/// A granted worker lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The VM.
    pub vm: VmId,
    /// The lease's fencing number.
    pub epoch: Epoch,
    /// How long the lease lasts from the moment the VM granted it.
    pub ttl: Millis,
    /// What the VM can hold.
    pub capacity: Size,
    /// What runs there already, which counts against the capacity.
    pub running: Vec<RunningTask>,
    /// True when the VM is about to go and refuses new work.
    pub leaving: bool,
}

/// The answer to [`AcquireRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireResponse {
    /// The lease is granted.
    Granted(Grant),
    /// Another owner holds the lease, or an heir is named and it is not the one that asks.
    Held {
        /// Who holds it or is to inherit it.
        by: Owner,
        /// How long it still lasts.
        left: Millis,
    },
}

/// A renewal of the worker lease and of task leases, in one batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The lease.
    pub epoch: Epoch,
    /// The lease's new length.
    pub ttl: Millis,
    /// The tasks whose leases are renewed.
    pub tasks: Vec<TaskId>,
    /// The new length of those task leases.
    pub task_ttl: Millis,
    /// Ended tasks whose outcome is recorded elsewhere, which the VM may forget.
    ///
    /// It forgets how they ended, not that they ran: their state reads as unseen, a start of one
    /// is refused as seen, and a stop is answered as cut.
    pub forget: Vec<TaskId>,
}

/// What the VM saw of a task since the last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedTask {
    /// The task.
    pub task: TaskId,
    /// Its state; an answer comes without its body, which [`Upstream::state`] brings.
    pub state: TaskState,
    /// What it uses, measured with a lag.
    pub usage: Size,
}

/// The answer to [`RenewRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewResponse {
    /// The lease lasts `ttl` from the moment the VM handled the call.
    Done(VmReport),
    /// The lease lapsed or was superseded; nothing was renewed.
    Lost {
        /// The newest epoch of the VM.
        newest: Epoch,
    },
}

/// What a renewal brings back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmReport {
    /// True when the VM is about to go and refuses new work.
    pub leaving: bool,
    /// The tasks that run or have ended without being forgotten.
    pub tasks: Vec<ObservedTask>,
}

/// A request to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The worker lease that the start rests on.
    pub epoch: Epoch,
    /// The task, never used before.
    pub task: TaskId,
    /// The request that it serves, if any.
    pub request: Option<RequestId>,
    /// The job that it belongs to, if any.
    pub job: Option<JobId>,
    /// What the task does there: the service and the class.
    pub service: CompactString,
    /// The class within the service.
    pub class: CompactString,
    /// What it takes of the VM.
    pub size: Size,
    /// The length of its task lease.
    pub task_ttl: Millis,
    /// The longest it may run before the VM stops it.
    pub timeout: Millis,
}

/// Why a VM refused a start; nothing ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The named lease lapsed or was superseded.
    StaleEpoch {
        /// The newest epoch of the VM.
        newest: Epoch,
    },
    /// The VM has no room for the task.
    Full,
    /// The VM is about to go.
    Leaving,
    /// The task was stopped before its start arrived.
    Stopped,
    /// The task was started before; its state is told by [`Upstream::state`].
    Seen,
}

/// The whole answer of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResponse {
    /// The HTTP status that the task answered with.
    pub status: u16,
    /// The type of the body.
    pub content_type: CompactString,
    /// The whole body.
    pub body: Bytes,
}

/// The outcome of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartResponse {
    /// The task was accepted and runs; only for starts without waiting.
    Accepted,
    /// The task ran to its end.
    Finished(TaskResponse),
    /// The task started and was stopped before its end.
    Cut,
    /// The task was not started.
    Refused(Refusal),
}

/// What a VM knows of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The VM has not seen the task, or has forgotten it.
    Unseen,
    /// It runs.
    Running,
    /// It ran to its end.
    Finished(TaskResponse),
    /// It started and was stopped before its end.
    Cut,
    /// It was stopped before it started and will never start.
    Barred,
}

/// The answer to [`Upstream::stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopResponse {
    /// The task had not started here and never will.
    Barred,
    /// The task ran and has been stopped.
    Cut,
    /// The task had already run to its end.
    Finished(TaskResponse),
}

/// A milder intervention than a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskSignal {
    /// Run with a fraction of the processors.
    Throttle,
    /// Run at full speed again.
    Restore,
    /// Save the state and end; a later start of the same job resumes.
    Checkpoint,
}

/// One VM that runs tasks under leases.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Asks for the worker lease; the holder itself gets it again with a higher epoch.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the lease may have been granted.
    async fn acquire(&self, ask: &AcquireRequest) -> Result<AcquireResponse, CallError>;

    /// Renews the worker lease and task leases.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the leases may or may not have been renewed.
    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError>;

    /// Ends the worker lease; until its time to live is over, only the heir may acquire the next.
    ///
    /// Running tasks keep running under their task leases.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the lease may or may not have ended.
    async fn release(&self, epoch: Epoch, heir: Option<&NodeId>) -> Result<(), CallError>;

    /// Starts a task and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the task may run; [`Upstream::state`] tells later, and
    /// [`Upstream::stop`] makes sure.
    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError>;

    /// Starts a task and returns as soon as the VM has accepted it.
    ///
    /// # Errors
    ///
    /// As for [`Upstream::run`].
    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError>;

    /// Tells what the VM knows of a task; needs no lease.
    ///
    /// # Errors
    ///
    /// Reading has no effect, so every error may be retried.
    async fn state(&self, task: TaskId) -> Result<TaskState, CallError>;

    /// Stops a task, or bars it from ever starting; idempotent, needs no lease.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the task may have been stopped; call again.
    async fn stop(&self, task: TaskId) -> Result<StopResponse, CallError>;

    /// Throttles, restores or checkpoints a task.
    ///
    /// # Errors
    ///
    /// After [`CallError::Unknown`] the call may have taken effect; it may be repeated.
    async fn signal(&self, epoch: Epoch, task: TaskId, signal: TaskSignal)
    -> Result<(), CallError>;
}
