//! Best fit over cores, memory and accelerators.
//!
//! The score is high if little of the VM stays free, and low if cores and memory are used unevenly:
//! the rest of one resource cannot be used once the other is exhausted.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Load, Score, TaskSpec};

/// Weight of the imbalance between cores and memory relative to the tightness of the fit.
const IMBALANCE_WEIGHT: f64 = 0.2;

struct Pack;

impl Score for Pack {
    fn name(&self) -> &'static str {
        "pack"
    }

    fn score(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        let capacity = &candidate.vm.capacity;
        let remaining = candidate.available.minus(&spec.size);
        let cores = utilisation(remaining.milli_cores, capacity.milli_cores);
        let memory = utilisation(remaining.memory_mb, capacity.memory_mb);
        let accelerators = utilisation(remaining.accelerators, capacity.accelerators);
        let tightness = (cores + memory + accelerators) / 3.0;
        tightness - IMBALANCE_WEIGHT * (cores - memory).abs()
    }
}

fn utilisation(remaining: u32, capacity: u32) -> f64 {
    if capacity == 0 {
        return 0.0;
    }
    1.0 - f64::from(remaining) / f64::from(capacity)
}

inventory::submit! {
    Plugin { name: "pack", build: || AnyPlugin::Score(Box::new(Pack)) }
}
