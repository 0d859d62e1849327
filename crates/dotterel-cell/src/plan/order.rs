//! The order of the queue.
//!
//! Urgent work must not wait behind long simulations: steps are ordered by priority, then by the
//! time at which the job's objective ends. Work that can no longer meet its objective goes after
//! work that can, so that a backlog does not make everything late.
//!
//! In cells with tenants, work beyond a tenant's rate goes after all other work of its priority, and among
//! the rest the tenants with the smallest shares go first.

use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::StepRef;

/// After this many times its objective, a job's result is worthless to its caller.
pub(crate) const OBSOLETE_FACTOR: u64 = 3;

/// Slack above this percentage of the job's objective lets a step wait.
const MIN_SLACK_PCT: u64 = 25;

/// Position of a step in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    obsolete: bool,
    priority: u8,
    /// Before `missed`: work within the rate of its tenant that is late already is not delayed further.
    excess: bool,
    missed: bool,
    /// After `missed`: late work of a tenant with a small share doesn't make others' work late as well.
    band: u32,
    due: Millis,
}

impl Rank {
    pub(crate) const fn priority(&self) -> u8 {
        self.priority
    }

    pub(crate) const fn is_obsolete(&self) -> bool {
        self.obsolete
    }

    pub(crate) const fn is_excess(&self) -> bool {
        self.excess
    }

    pub(crate) const fn set_band(&mut self, band: u32) {
        self.band = band;
    }

    /// Returns true if only the shares of the tenants and the due times order the two.
    pub(crate) fn is_same_class(&self, other: &Self) -> bool {
        let class = |rank: &Self| (rank.obsolete, rank.priority, rank.excess, rank.missed);
        class(self) == class(other)
    }
}

impl Cell {
    /// Returns true if a step can be delayed and still meet its objective with slack to spare.
    pub(crate) fn has_slack(&self, step_ref: StepRef, now: Millis) -> bool {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return false;
        };
        let due = job.round_start(step_ref.round) + job.objective;
        let slack = due.since(now + job.remaining_from(step_ref.step));
        !job.spec.is_long_running() && slack.0 * 100 > job.objective.0 * MIN_SLACK_PCT
    }

    /// Returns the queued steps with their ranks, unsorted.
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
                obsolete: !long_running && now > start + Millis(job.objective.0 * OBSOLETE_FACTOR),
                priority: job.policy.priority,
                excess: job.excess,
                missed: !long_running && now + remaining > due,
                band: 0,
                due,
            };
            queue.push((rank, *step_ref));
        }
        queue
    }
}
