//! What of a job is kept in the store, and how it is encoded.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::job::JobState;
use crate::spec::{JobSpec, Policy};

/// Written once, when a job is accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// What the configuration said of its queue.
    pub policy: Policy,
    /// Wall time at which the first request for it came in.
    pub arrived: Millis,
    /// The scheduler's term in which it was accepted.
    pub term: u32,
}

/// Rewritten while a job runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Occurrences that have begun and aren't done.
    pub rounds: Vec<RoundProgress>,
    /// Occurrences below this number have begun.
    pub next_round: u32,
}

/// The progress of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoundProgress {
    /// Its number.
    pub round: u32,
    /// Its steps in order.
    pub steps: Vec<StepProgress>,
}

/// The progress of one step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done, one bit each, lowest bit first.
    pub done: Vec<u8>,
    /// Tasks of which a run has ended without being done.
    pub marks: Vec<TaskMark>,
    /// Failed runs of the gang.
    pub failed_runs: Vec<u32>,
}

/// What is kept of a task that isn't done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskMark {
    /// Its number.
    pub index: u32,
    /// Failed runs, by number: VMs may list the same end again, and list ends in any order.
    pub failed_runs: Vec<u32>,
    /// The highest run.
    pub last_run: u32,
    /// The state to resume from.
    pub saved: CompactString,
}

/// The one row that tells what is known of a job; rewritten when the job ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRow {
    /// Accepted, and not ended.
    Open(Box<JobRecord>),
    /// Ended.
    Ended(EndRecord),
}

/// What is kept of a job that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    /// How it ended.
    pub state: JobState,
    /// Wall time of the end.
    pub ended_at: Millis,
    /// The queue, for the account.
    pub queue: CompactString,
}

/// Encodes a record for the store.
///
/// # Panics
///
/// Panics when the record can't be encoded, which no record of this module can cause.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records hold nothing that can't be encoded")
}

/// Decodes a record from the store; none when the bytes are something else.
#[must_use]
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
