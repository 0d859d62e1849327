//! A job's steps and tasks while the scheduler works on them.

use std::sync::Arc;

use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::record::{JobRecord, Progress, RoundProgress};
use crate::spec::{JobId, JobSpec, Policy};

mod step;

pub use step::{Advice, Allowed, Phase, Reservation, StepState, Task};

new_key_type! {
    /// Points to a job.
    pub struct JobKey;
}

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns true when nothing of the job runs any more or ever will.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Points to a step of an occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepRef {
    /// The job.
    pub job: JobKey,
    /// The occurrence's number.
    pub round: u32,
    /// The step's number.
    pub step: u16,
}

/// One occurrence of a job's steps.
#[derive(Clone, Debug)]
pub struct Round {
    /// Its number.
    pub number: u32,
    /// When it came due, on the scheduler's clock.
    pub due_at: Millis,
    /// Its steps.
    pub steps: Vec<StepState>,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's id.
    pub id: JobId,
    /// What the caller asked for.
    pub spec: Arc<JobSpec>,
    /// How its queue is treated.
    pub policy: Policy,
    /// The time by which it should be completed, from when it was handed in or came due.
    pub objective: Millis,
    /// Estimates of what is left when each of its steps begins.
    pub remaining: Vec<Millis>,
    /// When the first request for it came in, on the wall clock.
    pub arrived: Millis,
    /// The same on the scheduler's clock.
    pub submitted_at: Millis,
    /// The term in which it was accepted.
    pub term: u32,
    /// Set once the acceptance is durable.
    pub stored: bool,
    /// Set once a task has started.
    pub started: bool,
    /// How it ended, once it has; callers see it when `shown` is set.
    pub end: Option<JobState>,
    /// Set once the end is durable.
    pub end_durable: bool,
    /// The lane to the store that writes its rows, once one has begun to.
    pub lane: Option<u8>,
    /// The number of the last change that is durable.
    pub durable_seq: u64,
    /// Set once there may be a row with its progress.
    pub has_progress_row: bool,
    /// When it ended.
    pub ended_at: Millis,
    /// Occurrences under way.
    pub rounds: Vec<Round>,
    /// The number of the next occurrence.
    pub next_round: u32,
    /// New runs get numbers above this one, which an earlier term may have used.
    pub run_floor: u32,
    /// Set when it was read back after a take-over.
    pub restored: bool,
}

impl Job {
    /// Returns a job that has just come in, or was read back.
    #[must_use]
    pub fn new(id: JobId, record: JobRecord, now: Millis) -> Self {
        let chain = record.spec.critical_path().0 * u64::from(record.policy.stretch_pct) / 100;
        let steps = 0u16..u16::try_from(record.spec.steps.len()).unwrap_or(u16::MAX);
        Self {
            id,
            objective: Millis(chain) + record.policy.allowance,
            remaining: steps
                .map(|step| record.spec.critical_path_from(step))
                .collect(),
            arrived: record.arrived,
            spec: Arc::new(record.spec),
            policy: record.policy,
            submitted_at: now,
            term: record.term,
            stored: false,
            started: false,
            end: None,
            end_durable: false,
            lane: None,
            durable_seq: 0,
            has_progress_row: false,
            ended_at: Millis::ZERO,
            rounds: Vec::new(),
            next_round: 0,
            run_floor: 0,
            restored: false,
        }
    }

    /// Returns true when a lane may write its rows.
    #[must_use]
    pub fn may_use_lane(&self, lane: u8) -> bool {
        self.lane.is_none_or(|own| own == lane)
    }

    /// Returns what callers are told.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.end {
            Some(end) if self.end_durable => end,
            _ if self.started => JobState::Running,
            _ => JobState::Queued,
        }
    }

    /// Returns when an occurrence was handed in or came due, on the scheduler's clock.
    #[must_use]
    pub fn round_start(&self, round: u32) -> Millis {
        match self.round(round) {
            Some(round) if self.spec.repeats > 0 => round.due_at,
            _ => self.submitted_at,
        }
    }

    /// Returns the estimate of what is left when a step begins.
    #[must_use]
    pub fn remaining_from(&self, step: u16) -> Millis {
        self.remaining
            .get(usize::from(step))
            .copied()
            .unwrap_or_default()
    }

    /// Finds an occurrence.
    #[must_use]
    pub fn round(&self, number: u32) -> Option<&Round> {
        self.rounds.iter().find(|round| round.number == number)
    }

    /// Finds an occurrence.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        self.rounds.iter_mut().find(|round| round.number == number)
    }

    /// Begins an occurrence; its steps without predecessors open at once.
    pub fn begin_round(&mut self, number: u32, now: Millis) {
        let steps = self.spec.steps.iter().map(|step| StepState::new(step, now));
        let round = Round {
            number,
            due_at: now,
            steps: steps.collect(),
        };
        self.rounds.push(round);
        self.next_round = self.next_round.max(number + 1);
    }

    /// Opens steps whose predecessors are all done.
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
                .all(|before| round.steps[usize::from(*before)].unfinished == 0);
            let step_state = &mut round.steps[index];
            if ready && !step_state.is_open {
                step_state.is_open = true;
                step_state.opened_at = now;
                opened.push(u16::try_from(index).unwrap_or(u16::MAX));
            }
        }
        opened
    }

    /// Returns what of the job's progress must outlive the scheduler.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress {
            rounds: self.rounds.iter().map(Round::progress).collect(),
            next_round: self.next_round,
        }
    }

    /// Takes over the progress that an earlier term wrote.
    pub fn restore(&mut self, progress: &Progress, now: Millis) {
        self.rounds.clear();
        for round in &progress.rounds {
            self.begin_round(round.round, now);
            let Some(last) = self.rounds.last_mut() else {
                continue;
            };
            for (step, saved) in last.steps.iter_mut().zip(&round.steps) {
                step.restore(saved);
            }
            self.started = true;
        }
        self.next_round = self.next_round.max(progress.next_round);
    }
}

impl Round {
    /// Returns true when all steps are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    fn progress(&self) -> RoundProgress {
        RoundProgress {
            round: self.number,
            steps: self.steps.iter().map(StepState::progress).collect(),
        }
    }
}
