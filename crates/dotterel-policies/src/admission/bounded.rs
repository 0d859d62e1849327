//! Bounds the queue, and the part of it that one team may fill.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Load, Millis, PendingTask, Reason};

/// Tasks that wait on one node.
const QUEUE_LIMIT: u32 = 20_000;
/// From this many on, a team may only fill its own part of the queue.
const SHARED_LIMIT: u32 = 10_000;
/// The part of the queue that any team may fill.
const TEAM_LEAST: u32 = 32;

struct Bounded;

impl Admission for Bounded {
    fn name(&self) -> &'static str {
        "bounded"
    }

    fn admit(&self, _task: &PendingTask, load: &Load, _now: Millis) -> Result<(), Reason> {
        if load.queued < SHARED_LIMIT {
            return Ok(());
        }
        if load.queued >= QUEUE_LIMIT || load.team_queued >= part(load) {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }
}

fn part(load: &Load) -> u32 {
    let share = load.team_share.unwrap_or(0.5);
    let part = share * f64::from(QUEUE_LIMIT - SHARED_LIMIT);
    (part as u32).max(TEAM_LEAST)
}

inventory::submit! {
    Plugin { name: "bounded", build: || AnyPlugin::Admission(Box::new(Bounded)) }
}
