//! Limits the length of the queue and, in a long queue, the number of queued tasks of each team.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Load, Millis, PendingTask, Reason};

/// Maximum number of queued tasks on one node.
const QUEUE_LIMIT: u32 = 20_000;
/// Queue length from which on each team is limited to its share of the remaining queue.
const FAIR_SHARE_THRESHOLD: u32 = 10_000;
/// Minimum number of queued tasks that every team may have.
const MIN_TEAM_LIMIT: u32 = 32;

struct Bounded;

impl Admission for Bounded {
    fn name(&self) -> &'static str {
        "bounded"
    }

    fn admit(&self, _task: &PendingTask, load: &Load, _now: Millis) -> Result<(), Reason> {
        if load.queued < FAIR_SHARE_THRESHOLD {
            return Ok(());
        }
        if load.queued >= QUEUE_LIMIT || load.team_queued >= team_limit(load) {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }
}

fn team_limit(load: &Load) -> u32 {
    let share = load.team_share.unwrap_or(0.5);
    let team_limit = share * f64::from(QUEUE_LIMIT - FAIR_SHARE_THRESHOLD);
    (team_limit as u32).max(MIN_TEAM_LIMIT)
}

inventory::submit! {
    Plugin { name: "bounded", build: || AnyPlugin::Admission(Box::new(Bounded)) }
}
