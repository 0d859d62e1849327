//! Spreads the tasks of long-running services over VMs.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Kind, Load, Scan, Score};

/// Outweighs all ratings by fit.
const WEIGHT: f64 = 10.0;

struct Spread;

impl Score for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn score(&self, ask: &Ask, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        if ask.kind != Kind::Service {
            return 0.0;
        }
        let slots = f64::from(candidate.vm.capacity.slots.max(1));
        WEIGHT * f64::from(candidate.room.slots) / slots
    }

    fn scan(&self, ask: &Ask) -> Option<Scan> {
        (ask.kind == Kind::Service).then_some(Scan::Wide)
    }
}

inventory::submit! {
    Plugin { name: "spread", build: || Part::Score(Box::new(Spread)) }
}
