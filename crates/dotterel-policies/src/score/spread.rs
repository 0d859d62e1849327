//! Spreads the tasks of each long-running service over the VMs.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Kind, Load, Score, TaskSpec};

/// Larger than any score of `pack`, so that spreading takes precedence.
const WEIGHT: f64 = 10.0;

struct Spread;

impl Score for Spread {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn score(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        if spec.kind == Kind::Service {
            -WEIGHT * f64::from(candidate.replicas)
        } else {
            0.0
        }
    }
}

inventory::submit! {
    Plugin { name: "spread", build: || AnyPlugin::Score(Box::new(Spread)) }
}
