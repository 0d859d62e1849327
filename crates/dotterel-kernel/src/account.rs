//! Reports for operators: the account of requests and the status of a node.
//!
//! These types are the JSON bodies of `/v1/requests/{id}`, `/v1/account`, `/v1/status` and of error
//! responses.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::fate::{Fate, Reason};
use crate::id::{
    CallerKey, DataCentre, Epoch, Incarnation, NodeId, RequestId, Revision, Service, TaskId, VmId,
};
use crate::size::Size;
use crate::time::Millis;

/// The record of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service that was called.
    pub service: Service,
    /// Class that was called.
    pub class: CompactString,
    /// The idempotency key that the caller gave, if any.
    pub key: Option<CallerKey>,
    /// The node that received the request.
    pub node: NodeId,
    /// Time of arrival.
    pub arrived: Millis,
    /// Latest time at which the request may start.
    pub deadline: Millis,
    /// Time of the last start.
    pub started: Option<Millis>,
    /// Time at which the fate was settled.
    pub ended: Option<Millis>,
    /// The outcome; none while the request waits or runs.
    pub fate: Option<Fate>,
    /// Attempts to run the request, in order.
    pub attempts: Vec<Attempt>,
    /// Conditions that operators should know of.
    pub flags: Vec<Flag>,
}

/// One attempt to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Identifier of the attempt.
    pub task: TaskId,
    /// The VM it was sent to.
    pub vm: VmId,
    /// The node that owned the VM.
    pub owner: NodeId,
    /// Time of the dispatch.
    pub sent: Millis,
    /// Time at which the outcome became known.
    pub ended: Option<Millis>,
    /// The outcome as a single word, for example `finished`, `cut`, `full` or `silent`.
    pub outcome: CompactString,
}

/// A condition flagged on a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flag {
    /// Another request had the same body and a different key.
    Duplicate {
        /// The earlier request.
        of: RequestId,
    },
    /// The request started later than its class allows without a sign-off.
    Delayed {
        /// Who signs off.
        sign_off: CompactString,
    },
}

/// The account of a period of time, as seen by one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Time at which the account was created.
    pub as_of: Millis,
    /// The nodes whose journals are included.
    pub nodes: Vec<NodeId>,
    /// Journals or parts of journals that are missing.
    pub gaps: Vec<Gap>,
    /// One entry for each class of each service, sorted.
    pub lines: Vec<Summary>,
}

/// A part of a journal that is missing from the account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The node whose journal is missing.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// Start of the missing part.
    pub since: Millis,
    /// Why it is missing.
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
    /// Requests that are waiting now.
    pub waiting: u64,
    /// Requests that are running now.
    pub running: u64,
    /// The longest wait among the waiting requests.
    pub oldest: Millis,
    /// Requests flagged as duplicates.
    pub duplicates: u64,
    /// Requests flagged as delayed.
    pub delayed: u64,
    /// Hourly counts, the oldest first; they show how the queue grew.
    pub hours: Vec<Hour>,
}

/// The counts of one hour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hour {
    /// Start of the hour.
    pub start: Millis,
    /// Requests received during the hour.
    pub arrived: u64,
    /// Requests started during the hour.
    pub started: u64,
    /// Requests dropped during the hour.
    pub dropped: u64,
}

/// The status of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether the platform is reachable.
    pub platform: bool,
    /// The other nodes it knows, sorted by name.
    pub peers: Vec<PeerStatus>,
    /// The VMs whose leases it holds, sorted by name.
    pub vms: Vec<VmStatus>,
    /// The revisions of its active documents, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

/// What a node knows about another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether its heartbeats arrive.
    pub alive: bool,
    /// The revisions of its active documents, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

/// A VM as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// The epoch of its worker lease.
    pub epoch: Epoch,
    /// Total capacity.
    pub capacity: Size,
    /// Capacity held by tasks.
    pub used: Size,
    /// Whether it accepts new work.
    pub accepting: bool,
}

/// The JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The field, header or path segment in error.
    pub field: CompactString,
    /// What is wrong with it, as a sentence.
    pub reason: CompactString,
    /// The allowed values, where they can be given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed: Option<CompactString>,
    /// The current revision, if another operator's change was applied first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}
