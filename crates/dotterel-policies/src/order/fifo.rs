//! Arrival order.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Load, Order, Waiting};

struct Fifo;

impl Order for Fifo {
    fn name(&self) -> &'static str {
        "fifo"
    }

    fn key(&self, waiting: &Waiting, _load: &Load) -> u64 {
        waiting.arrived.0
    }
}

inventory::submit! {
    Plugin { name: "fifo", build: || Part::Order(Box::new(Fifo)) }
}
