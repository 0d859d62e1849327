//! The messages between nodes.
//!
//! Clocks differ between nodes, so times that a decision depends on are sent as durations.

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_coord::claims::{Change, ChangeOutcome};
use dotterel_coord::feed::DocumentUpdate;
use dotterel_coord::jobs::{HeldVms, HoldError, HoldId, HoldRequest, LaunchOutcome, TaskStart};
use dotterel_coord::{Health, Heartbeat};
use dotterel_kernel::{
    Account, Attempt, Incarnation, Millis, Reason, Record, RequestId, Revision, Service, Size,
    TaskId, VmId,
};
use dotterel_mesh::Protocol;
use dotterel_platform::{ListedVm, TaskResponse, TaskSignal};
use serde::{Deserialize, Serialize};

/// The protocol of the mesh.
#[derive(Debug)]
pub struct Messages;

impl Protocol for Messages {
    type Call = Call;
    type Reply = Reply;
}

/// A request to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Report that the sender is alive.
    Heartbeat(HeartbeatMessage),
    /// Return the revisions of the documents in force.
    Revisions,
    /// Run a task on one of the receiver's VMs.
    Submit(Submit),
    /// Report the start of a task that the receiver forwarded.
    Started {
        /// The request that the task serves.
        request: RequestId,
        /// The attempt at its start.
        attempt: Attempt,
    },
    /// Return the outcome of a forwarded task; bars the task if it hasn't been received.
    QueryTask {
        /// The task.
        task: TaskId,
        /// The receiver's incarnation that the task was sent to.
        incarnation: Incarnation,
        /// Time since the task was sent.
        age: Millis,
    },
    /// Return the documents that are newer than these revisions, which are sorted by service.
    Documents(Vec<(Service, Revision)>),
    /// Apply an accepted document if it is newer.
    PushDocument(DocumentUpdate),
    /// Write a change of a claim durably.
    ChangeClaim(Change),
    /// Hold capacity for tasks of a job.
    Hold(HoldRequest),
    /// Renew a hold before its tasks are started.
    CommitHold(HoldId),
    /// Release a hold.
    ReleaseHold(HoldId),
    /// Start a task of a job on the capacity held for it.
    Launch(TaskStart),
    /// Throttle, restore or checkpoint a task, if the receiver owns its VM.
    Signal {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// The signal.
        signal: TaskSignal,
    },
    /// Let the receiver's VMs forget these tasks, whose ends are recorded.
    Forget(Vec<(VmId, TaskId)>),
    /// Return the receiver's account.
    Account {
        /// The service; `None` for all.
        service: Option<Service>,
        /// Start of the account's period.
        since: Millis,
    },
    /// Return the record of a request.
    Record(RequestId),
    /// Return the platform's VM list as the receiver last read it.
    Workers,
}

/// A heartbeat with a hash instead of its documents, which seldom change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The heartbeat, with an empty list of documents.
    pub heartbeat: Heartbeat,
    /// A hash of the revisions in force.
    pub documents: u64,
    /// The maximum of each resource over the sender's VMs.
    pub largest: Option<Size>,
    /// Recent failure counts of the sender's VMs.
    pub health: Health,
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To calls without a result.
    Ack,
    /// To [`Call::Submit`] and [`Call::QueryTask`].
    Done(TaskOutcome),
    /// To [`Call::QueryTask`]: the task is queued or running.
    Pending,
    /// To [`Call::QueryTask`]: the task was sent to another incarnation, or its record may be gone.
    UnknownTask,
    /// To [`Call::Documents`].
    Documents(Vec<DocumentUpdate>),
    /// To [`Call::ChangeClaim`].
    ClaimChanged(ChangeOutcome),
    /// To [`Call::Hold`].
    Held(Result<HeldVms, HoldError>),
    /// To [`Call::CommitHold`].
    Committed(bool),
    /// To [`Call::Launch`].
    Launched(LaunchOutcome),
    /// To [`Call::Account`].
    Account(Account),
    /// To [`Call::Record`]; `None` if there is no record.
    Record(Option<Record>),
    /// To [`Call::Revisions`].
    Revisions(Vec<(Service, Revision)>),
    /// To [`Call::Workers`].
    Workers(Vec<ListedVm>),
    /// The call is rejected for this reason.
    Refused(CompactString),
}

/// A task to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The task's identifier, which must be new.
    pub task: TaskId,
    /// The request that the task serves.
    pub request: RequestId,
    /// The service.
    pub service: Service,
    /// The class within the service.
    pub class: CompactString,
    /// Time since the request arrived.
    pub waited: Millis,
    /// Time left until the start deadline.
    pub remaining: Millis,
    /// Whether the receiver may queue the task, instead of rejecting it if it can't start at once.
    pub may_queue: bool,
    /// The body.
    pub body: Bytes,
}

/// The outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOutcome {
    /// The proven outcome.
    pub verdict: Verdict,
    /// The attempt, if a start was sent.
    pub attempt: Option<Attempt>,
}

/// The proven outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It ran to its end.
    Ran(TaskResponse),
    /// It did not start and never will.
    NotRun(Reason),
    /// It started and was stopped before its end.
    Cut,
    /// Nothing is proven.
    Unknown,
}
