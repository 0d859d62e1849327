//! Spreads the tasks of each long-running service over VMs.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Kind, Load, Score};

/// Outweighs all ratings by fit.
const WEIGHT: f64 = 10.0;

struct Spread;

impl Score for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn score(&self, ask: &Ask, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        if ask.kind == Kind::Service {
            -WEIGHT * f64::from(candidate.peers)
        } else {
            0.0
        }
    }
}

inventory::submit! {
    Plugin { name: "spread", build: || Part::Score(Box::new(Spread)) }
}
