//! Best fit over cores, memory and accelerators.
//!
//! A VM rates high when the task leaves little of it free, and low when the task uses one resource
//! up while others stay free, since what is left of those would be stranded.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Load, Score, TaskSpec};

/// Weight of the imbalance between resources against the tightness of the fit.
const IMBALANCE_WEIGHT: f64 = 0.2;

struct Pack;

impl Score for Pack {
    fn name(&self) -> &'static str {
        "pack"
    }

    fn score(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        let capacity = &candidate.vm.capacity;
        let left = candidate.available.minus(&spec.size);
        let cores = used(left.milli_cores, capacity.milli_cores);
        let memory = used(left.memory_mb, capacity.memory_mb);
        let accelerators = used(left.accelerators, capacity.accelerators);
        let tightness = (cores + memory + accelerators) / 3.0;
        tightness - IMBALANCE_WEIGHT * (cores - memory).abs()
    }
}

fn used(left: u32, capacity: u32) -> f64 {
    if capacity == 0 {
        return 0.0;
    }
    1.0 - f64::from(left) / f64::from(capacity)
}

inventory::submit! {
    Plugin { name: "pack", build: || AnyPlugin::Score(Box::new(Pack)) }
}
