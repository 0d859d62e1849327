//! The order of the queue.
//!
//! Answers the pattern "urgent counts behind long simulations": priority goes first, and among
//! equals the job whose objective ends first. Work that can't be on time any more waits behind work
//! that can, so that a backlog does not make everything late.

use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::StepRef;

/// A job that takes longer than this many objectives is worth nothing to its caller any more.
const WORTHLESS_AFTER: u64 = 3;

/// A step whose slack is above this part of its job's objective, in hundredths, can wait.
const SLACK_PCT: u64 = 25;

/// Where a step stands in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    worthless: bool,
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
    pub(crate) fn has_slack(&self, at: StepRef, now: Millis) -> bool {
        let Some(job) = self.jobs.get(at.job) else {
            return false;
        };
        let due = job.began(at.round) + job.objective;
        let slack = due.since(now + job.left_from(at.step));
        !job.spec.lasts() && slack.0 * 100 > job.objective.0 * SLACK_PCT
    }

    /// Returns the queued steps with their ranks.
    pub(crate) fn queue(&self, now: Millis) -> Vec<(Rank, StepRef)> {
        let mut queue = Vec::with_capacity(self.open.len());
        for at in &self.open {
            let Some(job) = self.jobs.get(at.job) else {
                continue;
            };
            let begin = job.began(at.round);
            let lasts = job.spec.lasts();
            let due = begin + job.objective;
            let left = job.left_from(at.step);
            let rank = Rank {
                worthless: !lasts && now > begin + Millis(job.objective.0 * WORTHLESS_AFTER),
                priority: job.policy.priority,
                missed: !lasts && now + left > due,
                due,
            };
            queue.push((rank, *at));
        }
        queue
    }
}
