//! What a stand-in worker saw.

use compact_str::CompactString;
use dotterel_kernel::{Epoch, JobId, Millis, NodeId, RequestId, Size, TaskId};
use dotterel_platform::{Owner, Refusal};
use serde::{Deserialize, Serialize};

/// One entry of a worker's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// When it happened by the worker's clock.
    pub at: Millis,
    /// The newest epoch at that time.
    pub epoch: Epoch,
    /// The holder of the worker lease at that time.
    pub owner: Option<Owner>,
    /// What happened.
    pub event: Event,
}

/// What a worker saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The worker lease was granted.
    Granted,
    /// The worker lease was refused to this owner.
    Held(Owner),
    /// A renewal under this epoch was refused.
    Lost(Epoch),
    /// The worker lease was released.
    Released(Option<NodeId>),
    /// A task started.
    Started(RunInfo),
    /// A task ran to its end with this status.
    Ended(TaskId, u16),
    /// A running task was stopped.
    Cut(TaskId, CutCause),
    /// A start was refused.
    Refused(RunInfo, Refusal),
    /// A task was stopped before its start arrived.
    Barred(TaskId),
    /// The worker began to leave or went on serving.
    Leaving(bool),
    /// The worker restarted.
    Restarted,
}

/// A task as its start described it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInfo {
    /// The task.
    pub task: TaskId,
    /// The epoch that the start named.
    pub epoch: Epoch,
    /// The request that it serves.
    pub request: Option<RequestId>,
    /// The job that it belongs to.
    pub job: Option<JobId>,
    /// Its number within the job, if its body tells.
    pub index: Option<u32>,
    /// The service.
    pub service: CompactString,
    /// The class.
    pub class: CompactString,
    /// What it takes of the worker.
    pub size: Size,
}

/// Why a running task was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutCause {
    /// Somebody stopped it.
    Stopped,
    /// Its task lease lapsed.
    Lapsed,
    /// It ran longer than allowed.
    Timeout,
    /// It saved its state and ended.
    Checkpoint,
    /// The worker restarted.
    Restart,
}
