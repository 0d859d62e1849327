//! Rounds of a job: which are due, and how many are open at a time.
//!
//! A schedule may be overdue by any number of rounds. Only some of those that have not begun are opened,
//! the oldest first, so that neither a planning pass nor the job's progress row grows with their number.
//! Rounds that have begun don't count, so rounds may overlap as they like while there is capacity.

use std::sync::Arc;

use dotterel_kernel::Millis;

use super::{Job, Phase, Round, StepState};
use crate::spec::{JobSpec, Step};

/// Open rounds of a schedule that have not begun.
pub const MAX_IDLE_ROUNDS: usize = 64;
/// Tasks of these rounds, unless there is only one.
const MAX_IDLE_TASKS: usize = 1000;
/// Estimated bytes of the progress of a schedule's open rounds, unless there is only one: half of what a
/// row of the store holds, as failures and losses add to it.
const MAX_PROGRESS_BYTES: usize = 32 * 1024;

/// What limits the open rounds of a cell beside the limits for each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowding {
    /// Nothing.
    None,
    /// Many steps are open.
    ManySteps,
    /// The jobs take as much memory as they may.
    MemoryFull,
}

/// Open rounds of a job, counted against the limits.
#[derive(Clone, Copy, Debug, Default)]
struct OpenRounds {
    open: usize,
    idle: usize,
}

impl Job {
    /// Returns when a round is due, on the scheduler's clock; `None` if the job has no such round.
    #[must_use]
    pub fn due_at(&self, number: u32) -> Option<Millis> {
        let spec = &self.spec;
        if spec.repeats == 0 {
            return (number == 0).then_some(self.submitted_at);
        }
        let delay = Millis(spec.period.0.saturating_mul(u64::from(number)));
        (number < spec.repeats).then(|| spec.first_due + delay)
    }

    /// Returns the number of rounds that are due and have not been started.
    #[must_use]
    pub fn unstarted_rounds(&self, now: Millis) -> u32 {
        let Some(due_at) = self.due_at(self.next_round).filter(|due_at| *due_at <= now) else {
            return 0;
        };
        let later = now.since(due_at).0.checked_div(self.spec.period.0);
        let later = u32::try_from(later.unwrap_or_default()).unwrap_or(u32::MAX);
        let rest = self.spec.repeats.max(1) - self.next_round;
        later.saturating_add(1).min(rest)
    }

    /// Starts rounds that are due, as far as the limits on open rounds allow. In a crowded cell, at most one
    /// round that is already late is left to begin; at most one of any kind if the memory is full. Returns the
    /// numbers of those it has started.
    pub fn start_due_rounds(&mut self, crowding: Crowding, now: Millis) -> Vec<u32> {
        let mut started = Vec::new();
        let mut counts = None;
        loop {
            self.skip_known_rounds();
            let number = self.next_round;
            let Some(due_at) = self.due_at(number).filter(|due_at| *due_at <= now) else {
                break;
            };
            let counts = counts.get_or_insert_with(|| self.count_rounds());
            let is_late = self.spec.repeats > 0 && now > due_at + self.objective;
            let max_idle = match crowding {
                Crowding::MemoryFull => 1,
                Crowding::ManySteps if is_late => 1,
                Crowding::ManySteps | Crowding::None => MAX_IDLE_ROUNDS,
            };
            if !self.has_room(*counts, max_idle) {
                break;
            }
            counts.open += 1;
            counts.idle += 1;
            self.start_round(number, now);
            self.next_round = number + 1;
            started.push(number);
        }
        started
    }

    /// Starts a round that an earlier leader has started; returns false if it was started before.
    pub fn start_known_round(&mut self, number: u32, now: Millis) -> bool {
        let is_new = number >= self.next_round
            && number < self.spec.repeats.max(1)
            && self.round(number).is_none();
        if is_new {
            self.start_round(number, now);
            self.skip_known_rounds();
        }
        is_new
    }

    /// Removes a round whose steps are all done. One that was started before its predecessors is kept
    /// until these have been started, so that it isn't started again.
    pub fn finish_round(&mut self, number: u32) {
        if number < self.next_round
            && let Ok(at) = self.round_index(number)
        {
            self.rounds.remove(at);
        }
    }

    pub(super) fn start_round(&mut self, number: u32, now: Millis) {
        let steps = self.spec.steps.iter().map(|step| StepState::new(step, now));
        let round = Round {
            number,
            due_at: self.due_at(number).unwrap_or(now).min(now),
            steps: steps.collect(),
        };
        if let Err(at) = self.round_index(number) {
            self.rounds.insert(at, round);
        }
    }

    pub(super) fn round_index(&self, number: u32) -> Result<usize, usize> {
        self.rounds
            .binary_search_by_key(&number, |round| round.number)
    }

    /// Counts rounds as started that an earlier leader has started before their predecessors.
    fn skip_known_rounds(&mut self) {
        while let Ok(at) = self.round_index(self.next_round) {
            if self.rounds[at].is_done() {
                self.rounds.remove(at);
            }
            self.next_round += 1;
        }
    }

    fn count_rounds(&self) -> OpenRounds {
        let idle = self.rounds.iter().filter(|round| !round.has_begun());
        OpenRounds {
            open: self.rounds.len(),
            idle: idle.count(),
        }
    }

    /// Returns true if another round may be opened.
    fn has_room(&self, counts: OpenRounds, max_idle: usize) -> bool {
        let fits = |rounds: usize, each: usize, limit: usize| {
            rounds == 0 || (rounds + 1).saturating_mul(each) <= limit
        };
        counts.idle < max_idle
            && fits(counts.idle, round_tasks(&self.spec), MAX_IDLE_TASKS)
            && fits(counts.open, progress_bytes(&self.spec), MAX_PROGRESS_BYTES)
    }
}

impl Round {
    /// Returns true if all steps are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    /// Returns true if a task has been started.
    fn has_begun(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| task.phase != Phase::Waiting || task.last_run > 0)
    }
}

fn round_tasks(spec: &Arc<JobSpec>) -> usize {
    spec.steps.iter().map(|step| step.count as usize).sum()
}

/// Returns an upper bound of what a round without failed or lost runs takes in a progress row.
fn progress_bytes(spec: &Arc<JobSpec>) -> usize {
    /// Number of the round, and the number of its steps.
    const ROUND: usize = 8;
    /// Lengths of the lists of a step.
    const STEP: usize = 9;
    /// Mark of a task that has saved its state.
    const SAVED_TASK: usize = 32;
    let step_bytes = |step: &Step| {
        let count = step.count as usize;
        let marks = if step.checkpoint {
            count * SAVED_TASK
        } else {
            0
        };
        STEP + count.div_ceil(8) + marks
    };
    ROUND + spec.steps.iter().map(step_bytes).sum::<usize>()
}
