//! Reserves capacity for short work.
//!
//! Long work leaves capacity for as many short tasks as ran at their recent peak. The capacity is
//! counted for each VM, since free cores without a free slot, or the reverse, are of no use.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Filter, Load, TaskSpec};

/// At most one in this many slots is reserved.
const RESERVE_DIVISOR: u32 = 2;

struct ShortReserve;

impl Filter for ShortReserve {
    fn name(&self) -> &'static str {
        "short-reserve"
    }

    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, load: &Load) -> bool {
        if !spec.is_long {
            return true;
        }
        let free = candidate.vm.capacity.minus(&candidate.vm.long_used);
        let before = free.count_fitting(&load.short_task_size);
        let after = free.minus(&spec.size).count_fitting(&load.short_task_size);
        let reserve = load.short_peak.slots.min(load.slots / RESERVE_DIVISOR);
        load.short_task_capacity >= reserve + (before - after)
    }
}

inventory::submit! {
    Plugin { name: "short-reserve", build: || AnyPlugin::Filter(Box::new(ShortReserve)) }
}
