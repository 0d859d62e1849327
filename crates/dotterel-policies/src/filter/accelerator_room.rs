//! Keeps room beside free accelerators.
//!
//! Work without accelerators leaves as many cores and as much memory on a VM as fall to each of
//! its free accelerators, so that none is stranded for want of a core.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Filter, Load};

struct AcceleratorRoom;

impl Filter for AcceleratorRoom {
    fn name(&self) -> &'static str {
        "accelerator-room"
    }

    fn admits(&self, ask: &Ask, candidate: &Candidate<'_>, _load: &Load) -> bool {
        let free = candidate.room.accelerators;
        if free == 0 || ask.size.accelerators > 0 {
            return true;
        }
        let capacity = &candidate.vm.capacity;
        let part = |whole: u32| whole / capacity.accelerators * free;
        let left = candidate.room.minus(&ask.size);
        left.milli_cores >= part(capacity.milli_cores) && left.memory_mb >= part(capacity.memory_mb)
    }
}

inventory::submit! {
    Plugin { name: "accelerator-room", build: || Part::Filter(Box::new(AcceleratorRoom)) }
}
