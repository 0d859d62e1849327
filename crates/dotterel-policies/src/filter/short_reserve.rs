//! Holds room back for short work.
//!
//! Long work leaves room for as many short tasks as there were at their recent peak. The room is
//! counted VM by VM, since free cores without a free slot are of no use, nor the other way round.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Filter, Load};

/// At most one slot of this many is held back.
const RESERVE_PART: u32 = 2;

struct ShortReserve;

impl Filter for ShortReserve {
    fn name(&self) -> &'static str {
        "short-reserve"
    }

    fn admits(&self, ask: &Ask, candidate: &Candidate<'_>, load: &Load) -> bool {
        if !ask.long {
            return true;
        }
        let free = candidate.vm.capacity.minus(&candidate.vm.long);
        let before = free.count(&load.short_unit);
        let after = free.minus(&ask.size).count(&load.short_unit);
        let reserve = load.short_peak.slots.min(load.slots / RESERVE_PART);
        load.short_room >= reserve + (before - after)
    }
}

inventory::submit! {
    Plugin { name: "short-reserve", build: || Part::Filter(Box::new(ShortReserve)) }
}
