//! Holds slots back for short work.
//!
//! Long work leaves as many slots free as short work wanted at its recent peak, and never takes
//! more than a share of one VM while short work is about.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Filter, Load};

/// The largest part of all slots that is held back.
const RESERVE_LIMIT: f64 = 0.5;
/// The part of a VM's slots that long work may take, in eighths.
const LONG_EIGHTHS: u32 = 7;
/// Below this many slots at its peak, short work counts as absent.
const PRESENT: f64 = 0.5;

struct ShortReserve;

impl Filter for ShortReserve {
    fn name(&self) -> &'static str {
        "short-reserve"
    }

    fn admits(&self, ask: &Ask, candidate: &Candidate<'_>, load: &Load) -> bool {
        if !ask.long || load.short_peak < PRESENT {
            return true;
        }
        let slots = f64::from(load.slots);
        let reserve = load.short_peak.min(slots * RESERVE_LIMIT);
        if f64::from(load.long + ask.size.slots) > slots - reserve {
            return false;
        }
        let most = (candidate.vm.capacity.slots * LONG_EIGHTHS / 8).max(1);
        candidate.vm.long_slots + ask.size.slots <= most
    }
}

inventory::submit! {
    Plugin { name: "short-reserve", build: || Part::Filter(Box::new(ShortReserve)) }
}
