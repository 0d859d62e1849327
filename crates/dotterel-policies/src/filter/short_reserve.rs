//! Holds capacity back for short work.
//!
//! Long work leaves as much of each resource free as short work wanted at its recent peak.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Filter, Load, Size};

/// At most one part of this many is held back.
const RESERVE_PART: u32 = 2;

struct ShortReserve;

impl Filter for ShortReserve {
    fn name(&self) -> &'static str {
        "short-reserve"
    }

    fn admits(&self, ask: &Ask, _candidate: &Candidate<'_>, load: &Load) -> bool {
        if !ask.long {
            return true;
        }
        let open = load.capacity.minus(&reserve(load));
        load.long.plus(&ask.size).fits(&open)
    }
}

fn reserve(load: &Load) -> Size {
    let peak = &load.short_peak;
    let capacity = &load.capacity;
    Size {
        milli_cores: peak.milli_cores.min(capacity.milli_cores / RESERVE_PART),
        memory_mb: peak.memory_mb.min(capacity.memory_mb / RESERVE_PART),
        accelerators: peak.accelerators.min(capacity.accelerators / RESERVE_PART),
        slots: peak.slots.min(capacity.slots / RESERVE_PART),
        connections: peak.connections.min(capacity.connections / RESERVE_PART),
    }
}

inventory::submit! {
    Plugin { name: "short-reserve", build: || Part::Filter(Box::new(ShortReserve)) }
}
