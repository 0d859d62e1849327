//! The rows of jobs in the table.

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

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub phase: Phase,
    /// When this was recorded, by its owner's clock; zero before the first record.
    pub at: Millis,
    /// Its tasks by number.
    pub tasks: Vec<TaskRecord>,
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is accepted; its tasks wait or run.
    Active,
    /// It can never run as things are, for this reason; it stands in nobody's way.
    Parked(Reason),
    /// It is cancelled; some of its tasks may still run.
    Cancelling,
    /// It has failed; some of its tasks may still run.
    Failing,
    /// All its tasks ran to their ends.
    Finished,
    /// A task failed too often, or one that must not run again was stopped.
    Failed,
    /// It is cancelled and nothing of it runs.
    Cancelled,
}

/// What is recorded of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// How often it has failed.
    pub failures: u32,
    /// Its state.
    pub phase: TaskPhase,
}

/// The recorded state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It does not run.
    Idle,
    /// This attempt may run.
    Open(AttemptRecord),
    /// It ran to its end with this status.
    Done(u16),
}

/// One attempt to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt's own identifier.
    pub task: TaskId,
    /// The only VM at which it can start.
    pub vm: VmId,
}

/// The lease row of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaseRow {
    /// The shard's owner; none when it was given back.
    pub(super) holder: Option<Owner>,
    /// Identifies the write, so that its author recognises it after a lost answer.
    pub(super) stamp: Uuid,
}

impl Phase {
    /// Returns true when nothing more is going to happen.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}

impl Progress {
    /// Returns the progress of a job whose tasks have not started.
    #[must_use]
    pub fn new(tasks: u32) -> Self {
        let idle = TaskRecord {
            failures: 0,
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

/// The prefix of the jobs that a shard's owner has taken in and not ended.
pub(super) fn run_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/run/{shard:04}/")
}

/// The prefix of what others ask of a shard's owner.
pub(super) fn inbox_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/in/{shard:04}/")
}

/// The row of a specification; it outlives the job, so that a late submission finds it.
pub(super) fn spec_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("jobs/spec/{shard:04}/{job}")
}

pub(super) fn run_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}", run_prefix(shard))
}

/// The prefix of a shard's jobs that are over.
pub(super) fn end_prefix(shard: u32) -> CompactString {
    format_compact!("jobs/end/{shard:04}/")
}

pub(super) fn end_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}", end_prefix(shard))
}

/// The row that tells a shard's owner of a new job.
pub(super) fn new_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}/new", inbox_prefix(shard))
}

/// The row that asks a shard's owner to cancel a job.
pub(super) fn stop_key(shard: u32, job: JobId) -> CompactString {
    format_compact!("{}{job}/stop", inbox_prefix(shard))
}

/// Encodes a row's content.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    let encoded = postcard::to_stdvec(value);
    encoded.expect("plain values have an encoding").into()
}

/// Decodes a row's content; none when it is something else.
pub(super) fn decode<T: DeserializeOwned>(value: &Bytes) -> Option<T> {
    postcard::from_bytes(value).ok()
}
