//! Serves tasks in order of arrival.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Load, Order, PendingTask};

struct Fifo;

impl Order for Fifo {
    fn name(&self) -> &'static str {
        "fifo"
    }

    fn sort_key(&self, task: &PendingTask, _load: &Load) -> u64 {
        task.arrived.0
    }
}

inventory::submit! {
    Plugin { name: "fifo", build: || AnyPlugin::Order(Box::new(Fifo)) }
}
