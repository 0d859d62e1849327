//! Urgent work in arrival order, other work when half of its allowance has passed.
//!
//! Every task becomes due at some time and then goes before all that came later, so none starves.
//! A team that asks for more than its part falls behind by the time that its own earlier work
//! takes at the team's rate.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Load, Order, Urgency, Waiting};

struct Due;

impl Order for Due {
    fn name(&self) -> &'static str {
        "due"
    }

    fn key(&self, waiting: &Waiting, load: &Load) -> u64 {
        let arrived = waiting.arrived;
        if waiting.ask.urgency == Urgency::Urgent {
            return arrived.0;
        }
        let allowance = waiting.deadline.since(arrived).0;
        let behind = load.turn.since(arrived).0;
        arrived
            .0
            .saturating_add(allowance / 2)
            .saturating_add(behind)
    }
}

inventory::submit! {
    Plugin { name: "due", build: || Part::Order(Box::new(Due)) }
}
