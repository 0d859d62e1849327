//! Reserves cores and memory for free accelerators.
//!
//! Tasks without accelerators must leave each free accelerator its proportional part of the VM's
//! cores and memory, so that the accelerator remains usable.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Filter, Load, TaskSpec};

struct AcceleratorRoom;

impl Filter for AcceleratorRoom {
    fn name(&self) -> &'static str {
        "accelerator-room"
    }

    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> bool {
        let free_accelerators = candidate.available.accelerators;
        if free_accelerators == 0 || spec.size.accelerators > 0 {
            return true;
        }
        let capacity = &candidate.vm.capacity;
        let reserved = |total: u32| total / capacity.accelerators * free_accelerators;
        let remaining = candidate.available.minus(&spec.size);
        remaining.milli_cores >= reserved(capacity.milli_cores)
            && remaining.memory_mb >= reserved(capacity.memory_mb)
    }
}

inventory::submit! {
    Plugin { name: "accelerator-room", build: || AnyPlugin::Filter(Box::new(AcceleratorRoom)) }
}
