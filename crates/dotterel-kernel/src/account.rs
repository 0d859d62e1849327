//! What the system tells operators: the account of requests and the status of a node.
//!
//! These are the JSON shapes of `/v1/requests/{id}`, `/v1/account`, `/v1/status` and of every
//! refused call.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::fate::{Fate, Reason};
use crate::id::{
    CallerKey, DataCentre, Epoch, Incarnation, NodeId, RequestId, Revision, Service, TaskId, VmId,
};
use crate::size::Size;
use crate::time::Millis;

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Its service.
    pub service: Service,
    /// Its class.
    pub class: CompactString,
    /// The idempotency key that the caller gave.
    pub key: Option<CallerKey>,
    /// The node that received it.
    pub node: NodeId,
    /// When it was received.
    pub arrived: Millis,
    /// When it must have started.
    pub deadline: Millis,
    /// When it started last.
    pub started: Option<Millis>,
    /// When its fate was settled.
    pub ended: Option<Millis>,
    /// Its fate; none while it waits or runs.
    pub fate: Option<Fate>,
    /// Its starts, the first one first.
    pub attempts: Vec<Attempt>,
    /// Remarks for operators.
    pub flags: Vec<Flag>,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The VM.
    pub vm: VmId,
    /// The node that owned the VM.
    pub owner: NodeId,
    /// When it was dispatched.
    pub sent: Millis,
    /// When its outcome was known.
    pub ended: Option<Millis>,
    /// The outcome in one word, for example `finished`, `cut`, `full` or `silent`.
    pub outcome: CompactString,
}

/// A remark on a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flag {
    /// Another request with the same body came under another key.
    Duplicate {
        /// The earlier request.
        of: RequestId,
    },
    /// It started later than its class allows without a sign-off.
    Delayed {
        /// Who signs off.
        sign_off: CompactString,
    },
}

/// The account of a span of time, as one node can see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// When it was drawn up.
    pub as_of: Millis,
    /// The nodes whose journals it covers.
    pub nodes: Vec<NodeId>,
    /// What it does not cover.
    pub gaps: Vec<Gap>,
    /// One line for each class of each service, sorted.
    pub lines: Vec<Summary>,
}

/// A part of the account that cannot be seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The node whose journal is missing.
    pub node: NodeId,
    /// The life of the node.
    pub incarnation: Incarnation,
    /// From when on it is missing.
    pub since: Millis,
    /// Why.
    pub cause: CompactString,
}

/// The account of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The service.
    pub service: Service,
    /// The class.
    pub class: CompactString,
    /// Requests received.
    pub arrived: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that did not run, by reason, sorted.
    pub not_run: Vec<(Reason, u64)>,
    /// Requests whose fate is unknown.
    pub unknown: u64,
    /// Requests that wait now.
    pub waiting: u64,
    /// Requests that run now.
    pub running: u64,
    /// The longest wait among those that wait now.
    pub oldest: Millis,
    /// Requests flagged as duplicates.
    pub duplicates: u64,
    /// Requests flagged as delayed.
    pub delayed: u64,
    /// Growth of the queue, hour by hour, the oldest first.
    pub hours: Vec<Hour>,
}

/// One hour of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hour {
    /// When the hour began.
    pub start: Millis,
    /// Requests received in it.
    pub arrived: u64,
    /// Requests started in it.
    pub started: u64,
    /// Requests dropped in it.
    pub dropped: u64,
}

/// The state of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether the platform answers it.
    pub platform: bool,
    /// The nodes it knows, sorted by name.
    pub peers: Vec<PeerStatus>,
    /// The VMs whose leases it holds, sorted by name.
    pub vms: Vec<VmStatus>,
    /// The documents in force on it, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

/// What a node knows of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is heard.
    pub alive: bool,
    /// The documents in force on it, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

/// A VM as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// The epoch of its worker lease.
    pub epoch: Epoch,
    /// What it can hold.
    pub capacity: Size,
    /// What is held on it.
    pub used: Size,
    /// Whether it takes new work.
    pub accepting: bool,
}

/// The JSON body of a refused call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The field, header or path part at fault.
    pub field: CompactString,
    /// What is wrong with it, as a sentence.
    pub reason: CompactString,
    /// What would be allowed, where that can be said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed: Option<CompactString>,
    /// The revision in force, for a lost race between operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}
