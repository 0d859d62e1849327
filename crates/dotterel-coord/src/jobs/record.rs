//! The table rows of jobs and their keys.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{JobId, Millis, Reason, TaskId, VmId};
use dotterel_platform::Owner;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// The prefix of all lease rows.
pub(super) const LEASES: &str = "jobs/lease/";

/// The recorded progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The state of the job.
    pub phase: Phase,
    /// When this was recorded, by the owner's clock; zero before the first record.
    pub at: Millis,
    /// The tasks, by index.
    pub tasks: Vec<TaskRecord>,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The job is accepted; its tasks are waiting or running.
    Active,
    /// The job can't run as currently configured, for this reason; it blocks no other job.
    Parked(Reason),
    /// The job is being cancelled; some of its tasks may still be running.
    Cancelling,
    /// The job has failed; some of its tasks may still be running.
    Failing,
    /// All tasks ran to their end.
    Finished,
    /// A task failed too often, or a task that must not be repeated failed or was stopped.
    Failed,
    /// The job is cancelled and none of its tasks is running.
    Cancelled,
}

/// The recorded progress of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The number of failures.
    pub failures: u32,
    /// The number of attempts in a row that were lost with their VM before they were seen running.
    pub early_losses: u32,
    /// The state of the task.
    pub phase: TaskPhase,
}

/// The recorded state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task has no attempt.
    Idle,
    /// This attempt may be running.
    Open(AttemptRecord),
    /// The task ran to its end with this HTTP status.
    Done(u16),
}

/// One attempt to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt's identifier; each attempt has its own.
    pub task: TaskId,
    /// The only VM on which it can start.
    pub vm: VmId,
}

/// The lease row of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRow {
    /// The shard's owner; `None` if it was released.
    pub(super) holder: Option<Owner>,
    /// Identifies the write, so that its writer recognises it after a lost reply.
    pub(super) write_id: Uuid,
}

impl Phase {
    /// Returns true if the state is final.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

impl Progress {
    /// Returns the progress of a job without attempts.
    #[must_use]
    pub fn new(tasks: u32) -> Self {
        let idle = TaskRecord {
            failures: 0,
            early_losses: 0,
            phase: TaskPhase::Idle,
        };
        Self {
            phase: Phase::Active,
            at: Millis::ZERO,
            tasks: vec![idle; tasks as usize],
        }
    }
}

/// Returns the shard of a job.
pub(super) fn shard_of(job: JobId, shards: u32) -> u32 {
    let shard = xxh3_64(job.0.as_bytes()) % u64::from(shards.max(1));
    u32::try_from(shard).unwrap_or_default()
}

pub(super) fn lease_key(shard: u32) -> CompactString {
    format_compact!("{LEASES}{shard:04}")
}

/// The prefix of the progress rows of a shard's jobs that have not ended.
pub(super) fn run_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/run/{shard:04}/")
}

/// The prefix of a shard's inbox, in which any node writes requests to the owner.
pub(super) fn inbox_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/in/{shard:04}/")
}

/// The key of a job's specification.
///
/// The row outlives the job, so that a late retry of its submission causes a conflict.
pub(super) fn spec_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("jobs/spec/{shard:04}/{job}")
}

pub(super) fn run_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}", run_prefix(shard))
}

/// The prefix of the progress rows of a shard's ended jobs.
pub(super) fn end_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/end/{shard:04}/")
}

pub(super) fn end_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}", end_prefix(shard))
}

/// The key of the inbox row that announces a new job.
pub(super) fn new_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}/new", inbox_prefix(shard))
}

/// The key of the inbox row that requests a job's cancellation.
pub(super) fn stop_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}/stop", inbox_prefix(shard))
}

/// Encodes a row's value.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    let encoded = postcard::to_stdvec(value);
    encoded.expect("plain values can be encoded").into()
}

/// Decodes a row's value; returns `None` if it is not a valid `T`.
pub(super) fn decode<T: DeserializeOwned>(value: &Bytes) -> Option<T> {
    postcard::from_bytes(value).ok()
}
