//! Urgent work in arrival order, other work when half of its allowance has passed.
//!
//! Every task becomes due at some time and then goes before all that came later, so none starves.
//! A team that asks for more than its part falls behind by the time that its own earlier work
//! takes at the team's rate.

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
        let allowance = task.deadline.since(arrived).0;
        let behind = load.virtual_finish.since(arrived).0;
        arrived
            .0
            .saturating_add(allowance / 2)
            .saturating_add(behind)
    }
}

inventory::submit! {
    Plugin { name: "due", build: || AnyPlugin::Order(Box::new(Due)) }
}
