//! Records kept in the store for each job, and their encoding.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::job::JobState;
use crate::spec::{JobSpec, Policy};

/// Record written when a job is accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification submitted by the caller.
    pub spec: JobSpec,
    /// Policy of the job's queue at that time.
    pub policy: Policy,
    /// Wall-clock time of the first request that submitted the job.
    pub arrived: Millis,
    /// Scheduler term in which the job was accepted.
    pub term: u32,
}

/// Progress of a job, rewritten while the job runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Rounds in progress.
    pub rounds: Vec<RoundProgress>,
    /// Rounds below this number have been started.
    pub next_round: u32,
}

/// Progress of one round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoundProgress {
    /// Number of the round.
    pub round: u32,
    /// Progress of its steps, in order.
    pub steps: Vec<StepProgress>,
}

/// Progress of one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Bitmap of the tasks that are done, lowest bit first.
    pub done: Vec<u8>,
    /// Unfinished tasks that have failed runs or saved state.
    pub marks: Vec<TaskMark>,
    /// Numbers of the failed runs of the gang.
    pub failed_runs: Vec<u32>,
}

/// Record of a task that is not done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskMark {
    /// Index of the task in its step.
    pub index: u32,
    /// Numbers of the failed runs. All are kept because VMs may report an end again, and in any
    /// order.
    pub failed_runs: Vec<u32>,
    /// Highest run number used.
    pub last_run: u32,
    /// Saved state to resume from.
    pub saved: CompactString,
}

/// Main row of a job, rewritten when the job ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRow {
    /// Accepted and not ended.
    Open(Box<JobRecord>),
    /// Ended.
    Ended(EndRecord),
}

/// Record of a job that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Final state.
    pub state: JobState,
    /// Wall-clock time of the end.
    pub ended_at: Millis,
    /// Queue of the job, for accounting.
    pub queue: CompactString,
}

/// Encodes a record for the store.
///
/// # Panics
///
/// Panics if the record can't be encoded, which can't happen for the records in this module.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records hold nothing that can't be encoded")
}

/// Decodes a record from the store; `None` if the bytes are not a valid record.
#[must_use]
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
