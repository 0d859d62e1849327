//! The interfaces that a node implements to run jobs.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{DataCentre, JobId, Millis, NodeId, Reason, Service, Size, TaskId, VmId};
use dotterel_platform::TaskSignal;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::record::AttemptRecord;
use super::spec::JobSpec;

/// Identifies a hold; chosen by the requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HoldId(pub Uuid);

/// A request to hold capacity for tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The hold's identifier; a repeated request with it returns the same hold.
    pub id: HoldId,
    /// The job.
    pub job: JobId,
    /// The job's service.
    pub service: Service,
    /// The job's class within the service.
    pub class: CompactString,
    /// The data centre where the job was submitted.
    pub origin: DataCentre,
    /// The maximum number of tasks to hold capacity for.
    pub count: u32,
    /// The size of each task.
    pub size: Size,
    /// VMs that already run tasks of the job; they and their racks are used last.
    pub avoid: Vec<VmId>,
    /// Whether each task must be on a different VM, and on none of `avoid`.
    pub distinct_vms: bool,
    /// The TTL of the hold; it starts anew when the hold is committed.
    pub ttl: Millis,
}

/// The VMs on which an owner holds capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVms {
    /// One VM for each task; at least one and at most as many as requested.
    pub vms: Vec<VmId>,
}

/// Why an owner of VMs holds no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldError {
    /// It has no free capacity.
    Full,
    /// It could not be reached; a hold that it may have made expires.
    Unreachable,
}

/// A node that owns VMs and holds capacity on them.
///
/// Holds on several owners are acquired in the order of the owners' names, so that two gangs never
/// deadlock, and expire if the requester dies.
#[async_trait]
pub trait CapacityProvider: Send + Sync {
    /// Returns the node's name.
    fn node(&self) -> &NodeId;

    /// Holds capacity for up to `request.count` tasks.
    ///
    /// # Errors
    ///
    /// No capacity is held, or the hold expires by itself.
    async fn hold(&self, request: &HoldRequest) -> Result<HeldVms, HoldError>;

    /// Renews a hold before its tasks are started; returns false if it has expired.
    ///
    /// Each start consumes its part of the hold. The rest is freed when the hold expires, so a
    /// requester that dies before its starts blocks no capacity.
    async fn commit(&self, hold: HoldId) -> bool;

    /// Releases a hold; idempotent.
    async fn release(&self, hold: HoldId);
}

/// The start of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The job.
    pub job: JobId,
    /// The task's index within the job.
    pub index: u32,
    /// The attempt.
    pub attempt: AttemptRecord,
    /// The hold that the start consumes from.
    pub hold: HoldId,
    /// The service.
    pub service: CompactString,
    /// The class.
    pub class: CompactString,
    /// The task's size.
    pub size: Size,
    /// The TTL of the task lease.
    pub task_ttl: Millis,
    /// The maximum run time.
    pub timeout: Millis,
    /// The body that is passed to the task.
    pub body: Bytes,
}

/// The outcome of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LaunchOutcome {
    /// The VM runs the task.
    Running,
    /// The task did not start and never will under this attempt.
    NotRun,
    /// The task may be running.
    Unknown,
}

/// The known state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It is running.
    Running,
    /// It ran to its end with this HTTP status.
    Finished(u16),
    /// It started and was stopped before its end.
    Cut,
    /// It never started and never will.
    Barred,
    /// The VM has not seen the attempt, whose start may still arrive.
    Unseen,
    /// The VM does not reply.
    NoReply {
        /// The latest time at which any node can start the attempt or renew its task lease; `None`
        /// if unknown.
        last_renewal: Option<Millis>,
    },
}

/// The node that embeds the jobs.
///
/// Every call returns in bounded time. The owner of a VM renews the leases of all tasks that run
/// there, whichever node owns their jobs, and frees the capacity of tasks that the VM no longer
/// lists.
///
/// A host that returns [`AttemptState::NoReply`] with a time guarantees that no node starts the
/// attempt or renews its lease after that time.
/// [`Config::clock_margin`](super::Config::clock_margin) must cover the longest time that a call
/// sent before then may be in flight.
#[async_trait]
pub trait JobHost: Send + Sync {
    /// Returns true if this node should own the shard.
    fn should_own(&self, shard: u32) -> bool;

    /// Checks whether the job could run if no other work were running.
    ///
    /// # Errors
    ///
    /// Returns why the job can never run as currently configured.
    fn check_runnable(&self, spec: &JobSpec) -> Result<(), Reason>;

    /// Returns the reachable owners of VMs, in any order.
    fn owners(&self) -> Vec<Arc<dyn CapacityProvider>>;

    /// Starts a task on the attempt's VM; a task whose hold has expired is not run.
    async fn launch(&self, start: TaskStart) -> LaunchOutcome;

    /// Returns the known states of the attempts, in the same order.
    async fn query_attempts(&self, attempts: &[AttemptRecord]) -> Vec<AttemptState>;

    /// Stops an attempt, or bars it from starting; never returns [`AttemptState::Unseen`].
    async fn stop(&self, attempt: &AttemptRecord) -> AttemptState;

    /// Throttles, restores or checkpoints a running attempt.
    async fn signal(&self, attempt: &AttemptRecord, signal: TaskSignal);

    /// Called when the ends of these attempts are recorded, so that their VMs may forget them.
    fn ends_recorded(&self, tasks: &[TaskId]);
}
