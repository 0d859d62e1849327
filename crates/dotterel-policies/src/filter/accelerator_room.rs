//! Keeps room beside free accelerators.
//!
//! Work without accelerators leaves as many cores and as much memory on a VM as fall to each of
//! its free accelerators, so that none is stranded for want of a core.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Filter, Load, TaskSpec};

struct AcceleratorRoom;

impl Filter for AcceleratorRoom {
    fn name(&self) -> &'static str {
        "accelerator-room"
    }

    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> bool {
        let free = candidate.available.accelerators;
        if free == 0 || spec.size.accelerators > 0 {
            return true;
        }
        let capacity = &candidate.vm.capacity;
        let part = |whole: u32| whole / capacity.accelerators * free;
        let left = candidate.available.minus(&spec.size);
        left.milli_cores >= part(capacity.milli_cores) && left.memory_mb >= part(capacity.memory_mb)
    }
}

inventory::submit! {
    Plugin { name: "accelerator-room", build: || AnyPlugin::Filter(Box::new(AcceleratorRoom)) }
}
