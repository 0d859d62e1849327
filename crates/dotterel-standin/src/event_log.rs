//! The event log of a fake worker.

use compact_str::CompactString;
use dotterel_kernel::{Epoch, JobId, Millis, NodeId, RequestId, Size, TaskId};
use dotterel_platform::{Owner, Refusal};
use serde::{Deserialize, Serialize};

/// One entry of a worker's event log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// The time of the event by the worker's clock.
    pub at: Millis,
    /// The newest epoch granted by then.
    pub epoch: Epoch,
    /// The holder of the worker lease at that time.
    pub owner: Option<Owner>,
    /// The event.
    pub event: Event,
}

/// An event on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The worker lease was granted.
    Granted,
    /// This owner's request for the worker lease was refused.
    Held(Owner),
    /// A renewal with this epoch was refused.
    Lost(Epoch),
    /// The worker lease was released, possibly to a named successor.
    Released(Option<NodeId>),
    /// A task started.
    Started(RunInfo),
    /// A task completed with this status.
    Ended(TaskId, u16),
    /// A running task was stopped before it completed.
    Cut(TaskId, CutCause),
    /// A start was refused.
    Refused(RunInfo, Refusal),
    /// A task was stopped before its start request arrived, so that it never starts.
    Barred(TaskId),
    /// The worker started (true) or stopped (false) refusing new tasks.
    Leaving(bool),
    /// The worker restarted.
    Restarted,
}

/// A task as described by its start request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInfo {
    /// The task.
    pub task: TaskId,
    /// The epoch of the start request.
    pub epoch: Epoch,
    /// The request that the task serves.
    pub request: Option<RequestId>,
    /// The job that the task belongs to.
    pub job: Option<JobId>,
    /// The task's index within the job, if its body contains one.
    pub index: Option<u32>,
    /// The service.
    pub service: CompactString,
    /// The class.
    pub class: CompactString,
    /// The capacity that the task reserves.
    pub size: Size,
}

/// Why a running task was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutCause {
    /// A stop request.
    Stopped,
    /// Its task lease expired.
    Lapsed,
    /// It exceeded its timeout.
    Timeout,
    /// It was checkpointed.
    Checkpoint,
    /// The worker restarted.
    Restart,
}
