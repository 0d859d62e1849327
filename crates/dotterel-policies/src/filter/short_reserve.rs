//! Holds room back for short work.
//!
//! Long work leaves room for as many short tasks as there were at their recent peak. The room is
//! counted VM by VM, since free cores without a free slot are of no use, nor the other way round.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Filter, Load, TaskSpec};

/// At most one slot of this many is held back.
const RESERVE_PART: u32 = 2;

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
        let reserve = load.short_peak.slots.min(load.slots / RESERVE_PART);
        load.short_task_capacity >= reserve + (before - after)
    }
}

inventory::submit! {
    Plugin { name: "short-reserve", build: || AnyPlugin::Filter(Box::new(ShortReserve)) }
}
