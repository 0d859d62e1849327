//! Records kept in the store for each job, and their encoding.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::job::JobState;
use crate::spec::{JobSpec, Policy, SpecError};

/// Maximum length of a row. The store accepts 65,536 bytes.
pub const MAX_ROW_BYTES: usize = 64_000;

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
    /// Tenant that submitted the job; empty for none. Rows and messages carry it beside the record, whose
    /// encoding can't grow while nodes of two versions run.
    #[serde(skip)]
    pub tenant: CompactString,
}

impl JobRecord {
    /// Returns the job's target duration.
    #[must_use]
    pub fn objective(&self) -> Millis {
        let stretched = self.spec.critical_path().0 * u64::from(self.policy.stretch_pct) / 100;
        Millis(stretched) + self.policy.allowance
    }
}

/// Progress of a job, rewritten while the job runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Rounds in progress.
    pub rounds: Vec<RoundProgress>,
    /// Rounds below this number have been started.
    pub next_round: u32,
}

impl Progress {
    /// Removes and returns the history of the tasks from `start` on. Which tasks are done stays.
    #[must_use]
    pub fn split_off(&mut self, start: PageStart) -> Self {
        let mut rest = Self::default();
        for round in &mut self.rounds {
            let number = round.round;
            let mut steps: Vec<StepProgress> = Vec::new();
            for (step, progress) in (0u16..).zip(&mut round.steps) {
                let at = |index| PageStart {
                    round: number,
                    step,
                    index,
                };
                let kept = progress
                    .marks
                    .partition_point(|mark| at(mark.index) < start);
                let mut cut = StepProgress {
                    marks: progress.marks.split_off(kept),
                    ..StepProgress::default()
                };
                if at(0) >= start {
                    cut.failed_runs = std::mem::take(&mut progress.failed_runs);
                }
                if !cut.marks.is_empty() || !cut.failed_runs.is_empty() {
                    steps.resize(usize::from(step), StepProgress::default());
                    steps.push(cut);
                }
            }
            if !steps.is_empty() {
                rest.rounds.push(RoundProgress {
                    round: number,
                    steps,
                });
            }
        }
        rest
    }

    /// Adds the history in a page. Either may be the older one: an earlier version of the program writes the first
    /// row alone.
    pub fn join(&mut self, page: Self) {
        for cut in page.rounds {
            let mut rounds = self.rounds.iter_mut();
            // A round that the first row doesn't name is done, or isn't stored yet.
            let Some(round) = rounds.find(|round| round.round == cut.round) else {
                continue;
            };
            for (step, cut) in round.steps.iter_mut().zip(cut.steps) {
                add_runs(&mut step.failed_runs, &cut.failed_runs);
                for mark in cut.marks {
                    match step
                        .marks
                        .binary_search_by_key(&mark.index, |known| known.index)
                    {
                        Ok(at) => step.marks[at].join(mark),
                        Err(at) => step.marks.insert(at, mark),
                    }
                }
            }
        }
    }

    /// Returns a task that divides the history into two parts of about the same length; `None` if there is
    /// that of one task at most.
    #[must_use]
    pub fn middle(&self) -> Option<PageStart> {
        let mut sizes: Vec<(PageStart, usize)> = Vec::new();
        for round in &self.rounds {
            for (step, progress) in (0u16..).zip(&round.steps) {
                let at = |index| PageStart {
                    round: round.round,
                    step,
                    index,
                };
                if !progress.failed_runs.is_empty() {
                    sizes.push((at(0), encode(&progress.failed_runs).len()));
                }
                let marks = progress.marks.iter();
                sizes.extend(marks.map(|mark| (at(mark.index), encode(mark).len())));
            }
        }
        let half = sizes.iter().map(|(_, size)| size).sum::<usize>() / 2;
        let (first, _) = *sizes.first()?;
        let mut before = 0;
        let middle = sizes.iter().find(|(start, size)| {
            let is_middle = before >= half && *start > first;
            before += size;
            is_middle
        });
        let last = sizes.last().filter(|(start, _)| *start > first);
        middle.or(last).map(|(start, _)| *start)
    }
}

/// Where a page of a job's progress begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PageStart {
    /// Number of the round.
    pub round: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task in its step.
    pub index: u32,
}

impl fmt::Display for PageStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.round, self.step, self.index)
    }
}

impl FromStr for PageStart {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let mut parts = text.splitn(3, '.');
        let mut next = || parts.next().ok_or(SpecError::Id);
        Ok(Self {
            round: next()?.parse().map_err(|_| SpecError::Id)?,
            step: next()?.parse().map_err(|_| SpecError::Id)?,
            index: next()?.parse().map_err(|_| SpecError::Id)?,
        })
    }
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

impl StepProgress {
    /// Returns true if a task has certainly been started. Runs that were lost with their VM, and those of an
    /// isolated start, may not have been: their starts may never have arrived.
    #[must_use]
    pub fn shows_start(&self) -> bool {
        let mut marks = self.marks.iter();
        !self.failed_runs.is_empty()
            || self.done.iter().any(|bits| *bits != 0)
            || marks.any(|mark| !mark.failed_runs.is_empty() || !mark.saved.is_empty())
    }
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
    /// Runs lost with their VM, and isolated runs that may be.
    pub lost_runs: Vec<LostRun>,
}

impl TaskMark {
    /// Adds what another record of the task says. A failed run is never forgotten; of the rest, that of the later
    /// run holds.
    fn join(&mut self, other: Self) {
        add_runs(&mut self.failed_runs, &other.failed_runs);
        if other.last_run >= self.last_run {
            self.last_run = other.last_run;
            self.saved = other.saved;
            self.lost_runs = other.lost_runs;
        }
    }
}

fn add_runs(runs: &mut Vec<u32>, others: &[u32]) {
    for run in others {
        if !runs.contains(run) {
            runs.push(*run);
        }
    }
}

/// A run that was lost with its VM, or is about to start in isolation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Run number.
    pub run: u32,
    /// Id of the VM.
    pub vm: CompactString,
    /// Address of the VM.
    pub address: CompactString,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// How likely the run is to have crashed the VM, if the VM has crashed.
    pub suspicion: Suspicion,
    /// Set once the VM has certainly crashed; it may only be disconnected before.
    pub confirmed: bool,
}

/// How likely a run is to have crashed its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
    /// The run had been going on for a while, beside others.
    Bystander,
    /// The run had just started, and so had runs of other jobs.
    Shared,
    /// No run of another job had just started.
    Sole,
}

/// Main row of a job, rewritten when the job ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRow {
    /// Accepted and not ended.
    Open(Box<JobRecord>),
    /// Ended.
    Ended(EndRecord),
    /// Accepted and not ended, with the tenant of the job.
    OpenFor(Box<JobRecord>, CompactString),
    /// Ended, with the tenant of the job.
    EndedFor(EndRecord, CompactString),
}

impl JobRow {
    /// Returns the row of an accepted job.
    #[must_use]
    pub fn open(record: JobRecord) -> Self {
        let tenant = record.tenant.clone();
        let record = Box::new(record);
        if tenant.is_empty() {
            Self::Open(record)
        } else {
            Self::OpenFor(record, tenant)
        }
    }

    /// Returns the row of an ended job of `tenant`; empty for none.
    #[must_use]
    pub fn ended(end: EndRecord, tenant: &str) -> Self {
        if tenant.is_empty() {
            Self::Ended(end)
        } else {
            Self::EndedFor(end, tenant.into())
        }
    }
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
