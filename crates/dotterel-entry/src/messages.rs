//! What nodes tell each other.
//!
//! Clocks differ between nodes, so what decides anything travels as a span, not as a point in time.

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_coord::claims::{Change, Verdict as ChangeVerdict};
use dotterel_coord::feed::Passed;
use dotterel_coord::jobs::{HeldVms, HoldError, HoldId, HoldRequest, LaunchOutcome, TaskStart};
use dotterel_coord::{Health, Heartbeat};
use dotterel_kernel::{
    Account, Attempt, Incarnation, Millis, Reason, Record, RequestId, Revision, Service, Size,
    TaskId, VmId,
};
use dotterel_mesh::Protocol;
use dotterel_platform::{ListedVm, TaskResponse, TaskSignal};
use serde::{Deserialize, Serialize};

/// The messages of the mesh.
#[derive(Debug)]
pub struct Messages;

impl Protocol for Messages {
    type Call = Call;
    type Reply = Reply;
}

/// What a node asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// The caller lives.
    Beat(Beat),
    /// Send the revisions of the documents in force.
    Revisions,
    /// Run a task on one of your VMs.
    Submit(Submit),
    /// A task that you sent starts.
    Started {
        /// The request that it serves.
        request: RequestId,
        /// The attempt so far.
        attempt: Attempt,
    },
    /// Tell what became of a task, and never run it if you have not seen it.
    Settle {
        /// The task.
        task: TaskId,
        /// The life that got the task.
        incarnation: Incarnation,
        /// How long ago it was sent.
        age: Millis,
    },
    /// Send the documents that are newer than these revisions, sorted by service.
    Documents(Vec<(Service, Revision)>),
    /// A document was accepted; take it over if it is newer.
    Push(Passed),
    /// Make a change of a claim durable.
    Change(Change),
    /// Set capacity apart for tasks of a job.
    Hold(HoldRequest),
    /// Keep a hold for the starts that follow.
    CommitHold(HoldId),
    /// Give a hold back.
    ReleaseHold(HoldId),
    /// Start a task of a job on the VM that was held for it.
    Launch(TaskStart),
    /// Throttle, restore or checkpoint a task, if its VM is yours.
    Press {
        /// The VM.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// What to do.
        pressure: TaskSignal,
    },
    /// Let your VMs forget these tasks, whose ends are recorded.
    Forget(Vec<(VmId, TaskId)>),
    /// Send your account.
    Account {
        /// One service, or all.
        service: Option<Service>,
        /// From when on.
        since: Millis,
    },
    /// Send the record of a request.
    Record(RequestId),
    /// Send the workers that the platform listed last.
    Workers,
}

/// A heartbeat with its documents left out, because they seldom change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The heartbeat, with an empty list of documents.
    pub heartbeat: Heartbeat,
    /// A hash of the revisions in force.
    pub documents: u64,
    /// The largest of the sender's VMs, resource by resource.
    pub largest: Option<Size>,
    /// How the sender's VMs did lately.
    pub health: Health,
}

/// What the other answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To calls that need no answer.
    Heard,
    /// To [`Call::Submit`] and [`Call::Settle`].
    Done(Done),
    /// To [`Call::Settle`]: the task waits or runs.
    Pending,
    /// To [`Call::Settle`]: this life never got the task and cannot tell.
    NotMine,
    /// To [`Call::Documents`].
    Documents(Vec<Passed>),
    /// To [`Call::Change`].
    Changed(ChangeVerdict),
    /// To [`Call::Hold`].
    Held(Result<HeldVms, HoldError>),
    /// To [`Call::CommitHold`].
    Kept(bool),
    /// To [`Call::Launch`].
    Launched(LaunchOutcome),
    /// To [`Call::Account`].
    Account(Account),
    /// To [`Call::Record`], if there is one.
    Record(Option<Record>),
    /// To [`Call::Revisions`].
    Revisions(Vec<(Service, Revision)>),
    /// To [`Call::Workers`].
    Workers(Vec<ListedVm>),
    /// The call cannot be served.
    Refused(CompactString),
}

/// A task to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The task, never used before.
    pub task: TaskId,
    /// The request that it serves.
    pub request: RequestId,
    /// The service.
    pub service: Service,
    /// The class within the service.
    pub class: CompactString,
    /// How long the request has waited already.
    pub waited: Millis,
    /// How long it may still wait for its start.
    pub left: Millis,
    /// Whether it may wait there, rather than start at once or not at all.
    pub queue: bool,
    /// The body.
    pub body: Bytes,
}

/// The outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// What can be proved.
    pub verdict: Verdict,
    /// The start, if there was one.
    pub attempt: Option<Attempt>,
}

/// What can be proved of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It ran to its end.
    Ran(TaskResponse),
    /// It did not start and never will.
    NotRun(Reason),
    /// It started and was stopped before its end.
    Cut,
    /// Nothing.
    Unknown,
}
