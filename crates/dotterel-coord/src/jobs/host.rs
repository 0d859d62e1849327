//! What jobs need of the node that they are embedded in.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{DataCentre, JobId, Millis, NodeId, Reason, Service, Size, TaskId, VmId};
use dotterel_platform::Pressure;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::record::AttemptRecord;
use super::spec::JobSpec;

/// Identifies a hold, chosen by the one that asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HoldId(pub Uuid);

/// A request to set capacity apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The hold; asking again under the same identifier returns the same hold.
    pub id: HoldId,
    /// The job.
    pub job: JobId,
    /// The job's service.
    pub service: Service,
    /// The job's class within the service.
    pub class: CompactString,
    /// Where the job was submitted.
    pub origin: DataCentre,
    /// The most tasks to find room for.
    pub count: u32,
    /// What each task takes.
    pub size: Size,
    /// VMs that run tasks of the job already, to be used last, and likewise their racks.
    pub avoid: Vec<VmId>,
    /// Whether each task must have a VM of its own, and none that is to be avoided.
    pub distinct_vms: bool,
    /// How long the hold lasts, and again after it is committed.
    pub ttl: Millis,
}

/// Capacity set apart by one owner of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVms {
    /// The VM for each task, at most as many as asked for, at least one.
    pub vms: Vec<VmId>,
}

/// Why an owner of VMs holds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldError {
    /// It has no room at present.
    Full,
    /// It could not be reached; a hold that it may have made lapses.
    Unreachable,
}

/// A node as the owner of VMs.
///
/// Holds over several owners are taken in the order of their names, so that two gangs never wait
/// for each other, and lapse by themselves when the asker dies.
#[async_trait]
pub trait CapacityProvider: Send + Sync {
    /// Returns the node's name.
    fn node(&self) -> &NodeId;

    /// Sets capacity apart for up to `ask.count` tasks.
    ///
    /// # Errors
    ///
    /// Nothing is held, or lapses by itself.
    async fn hold(&self, ask: &HoldRequest) -> Result<HeldVms, HoldError>;

    /// Renews a hold for its tasks' starts, which now follow; false when it has lapsed.
    ///
    /// Each start uses its part of the hold up. What is left when the hold lapses is free again,
    /// so that an asker that dies before its starts blocks nothing.
    async fn commit(&self, hold: HoldId) -> bool;

    /// Gives a hold back; idempotent.
    async fn release(&self, hold: HoldId);
}

/// A start of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The job.
    pub job: JobId,
    /// The task's number within the job.
    pub index: u32,
    /// The attempt.
    pub attempt: AttemptRecord,
    /// The hold that the start uses up.
    pub hold: HoldId,
    /// The service.
    pub service: CompactString,
    /// The class.
    pub class: CompactString,
    /// What the task takes.
    pub size: Size,
    /// How long its lease lasts.
    pub task_ttl: Millis,
    /// The longest it may run.
    pub timeout: Millis,
    /// What it is given.
    pub body: Bytes,
}

/// The outcome of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LaunchOutcome {
    /// The VM runs the task.
    Running,
    /// The task did not start and never will under this attempt.
    NotRun,
    /// The task may run.
    Unknown,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It runs.
    Running,
    /// It ran to its end with this status.
    Finished(u16),
    /// It started and was stopped before its end.
    Cut,
    /// It never started and never will.
    Barred,
    /// The VM answered that it does not know the attempt, whose start may still arrive.
    Unseen,
    /// The VM does not answer.
    NoReply {
        /// The latest time at which any node may have started the attempt or renewed its task
        /// lease, or may do so yet; none when that cannot be told.
        last_renewal: Option<Millis>,
    },
}

/// The node that jobs are embedded in.
///
/// Every call returns in bounded time. The owners of VMs renew the leases of the tasks that
/// run there, whoever owns their jobs, and free the capacity of those that the VM no longer lists.
///
/// A host that answers [`AttemptState::NoReply`] with a time promises that no node starts the
/// attempt or renews its lease from then on. [`Config::clock_margin`](super::Config::clock_margin)
/// must cover the longest time that a call sent before may be under way.
#[async_trait]
pub trait JobHost: Send + Sync {
    /// Returns true when this node should own the shard.
    fn should_own(&self, shard: u32) -> bool;

    /// Tells whether the job could run if everything else stopped.
    ///
    /// # Errors
    ///
    /// Returns why it can never run as things are.
    fn check_runnable(&self, spec: &JobSpec) -> Result<(), Reason>;

    /// Returns the owners of VMs that can be reached, in any order.
    fn owners(&self) -> Vec<Arc<dyn CapacityProvider>>;

    /// Starts a task at the attempt's VM; one whose hold has lapsed is not run.
    async fn launch(&self, start: TaskStart) -> LaunchOutcome;

    /// Tells what is known of attempts, in their order.
    async fn query_attempts(&self, attempts: &[AttemptRecord]) -> Vec<AttemptState>;

    /// Stops an attempt or bars it from starting; never returns [`AttemptState::Unseen`].
    async fn stop(&self, attempt: &AttemptRecord) -> AttemptState;

    /// Throttles, restores or checkpoints a running attempt.
    async fn press(&self, attempt: &AttemptRecord, pressure: Pressure);

    /// Learns that the ends of these attempts are recorded, so that their VMs may forget them.
    fn ends_recorded(&self, tasks: &[TaskId]);
}
