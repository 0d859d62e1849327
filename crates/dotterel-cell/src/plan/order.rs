//! The order of the queue.
//!
//! Answers the pattern "urgent counts behind long simulations": priority goes first, and among
//! equals the job whose objective ends first. Work that can't be on time any more waits behind work
//! that can, so that a backlog does not make everything late.

use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::StepRef;

/// A job that takes longer than this many objectives is worth nothing to its caller any more.
const ABANDON_FACTOR: u64 = 3;

/// A step whose slack is above this part of its job's objective, in hundredths, can wait.
const MIN_SLACK_PCT: u64 = 25;

/// Where a step stands in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    abandoned: bool,
    priority: u8,
    missed: bool,
    due: Millis,
}

impl Rank {
    /// Returns its priority.
    pub(crate) const fn priority(&self) -> u8 {
        self.priority
    }
}

impl Cell {
    /// Returns true when a step can wait for long and still be done in time.
    pub(crate) fn has_slack(&self, step_ref: StepRef, now: Millis) -> bool {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return false;
        };
        let due = job.round_start(step_ref.round) + job.objective;
        let slack = due.since(now + job.remaining_from(step_ref.step));
        !job.spec.is_long_running() && slack.0 * 100 > job.objective.0 * MIN_SLACK_PCT
    }

    /// Returns the queued steps with their ranks.
    pub(crate) fn ranked_queue(&self, now: Millis) -> Vec<(Rank, StepRef)> {
        let mut queue = Vec::with_capacity(self.open_steps.len());
        for step_ref in &self.open_steps {
            let Some(job) = self.jobs.get(step_ref.job) else {
                continue;
            };
            let start = job.round_start(step_ref.round);
            let long_running = job.spec.is_long_running();
            let due = start + job.objective;
            let remaining = job.remaining_from(step_ref.step);
            let rank = Rank {
                abandoned: !long_running && now > start + Millis(job.objective.0 * ABANDON_FACTOR),
                priority: job.policy.priority,
                missed: !long_running && now + remaining > due,
                due,
            };
            queue.push((rank, *step_ref));
        }
        queue
    }
}
