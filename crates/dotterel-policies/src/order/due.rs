//! Serves urgent tasks in order of arrival, and other tasks as if they had arrived later by half of
//! their maximum wait.
//!
//! No task starves, because every task precedes all tasks that arrive late enough. A team that uses
//! more than its share is delayed by the time that its earlier work takes at the team's own rate.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Load, Order, PendingTask, Urgency};

struct Due;

impl Order for Due {
    fn name(&self) -> &'static str {
        "due"
    }

    fn sort_key(&self, task: &PendingTask, load: &Load) -> u64 {
        let arrived = task.arrived;
        if task.spec.urgency == Urgency::Urgent {
            return arrived.0;
        }
        let max_wait = task.deadline.since(arrived).0;
        let team_delay = load.virtual_finish.since(arrived).0;
        arrived
            .0
            .saturating_add(max_wait / 2)
            .saturating_add(team_delay)
    }
}

inventory::submit! {
    Plugin { name: "due", build: || AnyPlugin::Order(Box::new(Due)) }
}
