//! In-memory state of jobs, steps and tasks.

use std::sync::Arc;

use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::record::{JobRecord, Progress, RoundProgress, StepProgress};
use crate::spec::{JobId, JobSpec, Policy};
use crate::tenant::TenantNo;

mod footprint;
mod former_run;
mod pages;
mod schedule;
mod sparse;
mod step;

pub use footprint::Footprint;
pub use former_run::{FormerRun, Release};
pub use pages::{ProgressPage, ProgressRow};
pub use schedule::{Crowding, MAX_IDLE_ROUNDS};
pub use sparse::{Sparse, Unset};
pub use step::{Advice, Allowed, History, Phase, Reservation, StepState, Task};

new_key_type! {
    /// Key of a job in the cell.
    pub struct JobKey;
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns true if the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Which states that tasks have saved are stored with the progress of their job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressDetail {
    /// All of them.
    Full,
    /// Those of waiting tasks: VMs report those of running tasks again to a successor.
    WithoutRunning,
}

/// Identifies a step in a round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepRef {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the round.
    pub round: u32,
    /// Index of the step.
    pub step: u16,
}

/// One occurrence of a job: a single pass through its steps. A job without a schedule has one
/// round.
#[derive(Clone, Debug)]
pub struct Round {
    /// Number of the round.
    pub number: u32,
    /// When the round was due, on the scheduler's clock, or when it started if that was earlier.
    pub due_at: Millis,
    /// States of its steps.
    pub steps: Vec<StepState>,
}

/// State of a job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Specification submitted by the caller.
    pub spec: Arc<JobSpec>,
    /// Policy of the job's queue.
    pub policy: Policy,
    /// Tenant that submitted the job; `None` until the cell has taken it in, and for jobs without one.
    pub tenant: Option<TenantNo>,
    /// The job exceeded the rate of its tenant. Not stored; restored jobs count as within the rate.
    pub excess: bool,
    /// Target duration, counted from submission or from the time at which the round became due.
    pub objective: Millis,
    /// Estimated remaining duration at the start of each step.
    pub remaining: Vec<Millis>,
    /// Wall-clock time of the first request that submitted the job.
    pub arrived: Millis,
    /// Time of submission on the scheduler's clock.
    pub submitted_at: Millis,
    /// Term in which the job was accepted.
    pub term: u32,
    /// Set once the acceptance is durable.
    pub stored: bool,
    /// Set once a task has started.
    pub started: bool,
    /// Final state, if the job has ended; callers see it once `end_durable` is set.
    pub end: Option<JobState>,
    /// Set once the end is durable.
    pub end_durable: bool,
    /// Store lane that writes the job's rows; `None` until the first write.
    pub lane: Option<u8>,
    /// Sequence number of the last change that has to be written.
    pub changed_seq: u64,
    /// Sequence number of the last durable change.
    pub durable_seq: u64,
    /// Set once the progress of the job was too large for a row.
    pub has_long_progress: bool,
    /// Set once the job may have a progress row.
    pub has_progress_row: bool,
    /// Rows of the progress beyond the first one, sorted.
    pub pages: Vec<ProgressPage>,
    /// Time at which the job ended.
    pub ended_at: Millis,
    /// Rounds in progress, sorted. Those from `next_round` on were started by an earlier leader, and are
    /// kept once they are done.
    pub rounds: Vec<Round>,
    /// All rounds below this number have been started.
    pub next_round: u32,
    /// New runs get higher numbers than this; lower ones may have been used in an earlier term.
    pub run_floor: u32,
    /// Set if the job was restored after a takeover.
    pub restored: bool,
    footprint: Footprint,
}

impl Job {
    /// Returns a job that was just submitted or restored.
    #[must_use]
    pub fn new(id: JobId, record: JobRecord, now: Millis) -> Self {
        let steps = 0u16..u16::try_from(record.spec.steps.len()).unwrap_or(u16::MAX);
        let footprint = Footprint::of(&record.spec);
        Self {
            id,
            objective: record.objective(),
            remaining: steps
                .map(|step| record.spec.critical_path_from(step))
                .collect(),
            arrived: record.arrived,
            spec: Arc::new(record.spec),
            policy: record.policy,
            tenant: None,
            excess: false,
            submitted_at: now,
            term: record.term,
            stored: false,
            started: false,
            end: None,
            end_durable: false,
            lane: None,
            changed_seq: 0,
            durable_seq: 0,
            has_long_progress: false,
            has_progress_row: false,
            pages: Vec::new(),
            ended_at: Millis::ZERO,
            rounds: Vec::new(),
            next_round: 0,
            run_floor: 0,
            restored: false,
            footprint,
        }
    }

    /// Returns the estimated bytes of the job in memory.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.footprint.bytes(self.rounds.len())
    }

    /// Releases what is never queried again of a job that has ended.
    pub fn release(&mut self) {
        self.rounds = Vec::new();
        self.remaining = Vec::new();
        self.spec = Arc::default();
        self.footprint = Footprint::default();
    }

    /// Returns true if a lane may write the job's rows.
    #[must_use]
    pub fn may_use_lane(&self, lane: u8) -> bool {
        self.lane.is_none_or(|own| own == lane)
    }

    /// Returns the state to report to callers.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.end {
            Some(end) if self.end_durable => end,
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Returns the time from which a round's objective counts, on the scheduler's clock.
    #[must_use]
    pub fn round_start(&self, round: u32) -> Millis {
        match self.round(round) {
            Some(round) if self.spec.repeats > 0 => round.due_at,
            _ => self.submitted_at,
        }
    }

    /// Returns the estimated remaining duration at the start of a step.
    #[must_use]
    pub fn remaining_from(&self, step: u16) -> Millis {
        self.remaining
            .get(usize::from(step))
            .copied()
            .unwrap_or_default()
    }

    /// Returns a round in progress.
    #[must_use]
    pub fn round(&self, number: u32) -> Option<&Round> {
        let at = self.round_index(number).ok()?;
        self.rounds.get(at)
    }

    /// Returns a round in progress.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        let at = self.round_index(number).ok()?;
        self.rounds.get_mut(at)
    }

    /// Opens the steps whose predecessors are all done and returns their indices.
    pub fn open_steps(&mut self, number: u32, now: Millis) -> Vec<u16> {
        let spec = Arc::clone(&self.spec);
        let Some(round) = self.round_mut(number) else {
            return Vec::new();
        };
        let mut opened = Vec::new();
        for (index, step) in spec.steps.iter().enumerate() {
            let ready = step
                .after
                .iter()
                .all(|predecessor| round.steps[usize::from(*predecessor)].unfinished == 0);
            let step_state = &mut round.steps[index];
            if ready && !step_state.is_open {
                step_state.is_open = true;
                step_state.opened_at = now;
                opened.push(u16::try_from(index).unwrap_or(u16::MAX));
            }
        }
        opened
    }

    fn progress(&self, detail: ProgressDetail) -> Progress {
        let rounds = self.rounds.iter().map(|round| round.progress(detail));
        Progress {
            rounds: rounds.collect(),
            next_round: self.next_round,
        }
    }

    /// Restores the progress stored in an earlier term.
    pub fn restore(&mut self, progress: &Progress, now: Millis) {
        self.rounds.clear();
        for saved in &progress.rounds {
            self.start_round(saved.round, now);
            let Some(round) = self.round_mut(saved.round) else {
                continue;
            };
            for (step, saved) in round.steps.iter_mut().zip(&saved.steps) {
                step.restore(saved);
            }
            self.started |= saved.steps.iter().any(StepProgress::shows_start);
        }
        self.next_round = self.next_round.max(progress.next_round);
    }
}

impl Round {
    fn progress(&self, detail: ProgressDetail) -> RoundProgress {
        let steps = self.steps.iter().map(|step| step.progress(detail));
        RoundProgress {
            round: self.number,
            steps: steps.collect(),
        }
    }
}
