//! Prefers the VM with the largest part of its slots free.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Load, Scan, Score};

struct LeastLoaded;

impl Score for LeastLoaded {
    fn name(&self) -> &'static str {
        "least-loaded"
    }

    fn score(&self, _ask: &Ask, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        f64::from(candidate.room.slots) / f64::from(candidate.vm.capacity.slots.max(1))
    }

    fn scan(&self, _ask: &Ask) -> Option<Scan> {
        Some(Scan::Wide)
    }
}

inventory::submit! {
    Plugin { name: "least-loaded", build: || Part::Score(Box::new(LeastLoaded)) }
}
