//! Prefers the VM with the largest fraction of free slots.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Load, ScanOrder, Score, TaskSpec};

struct LeastLoaded;

impl Score for LeastLoaded {
    fn name(&self) -> &'static str {
        "least-loaded"
    }

    fn score(&self, _spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        f64::from(candidate.available.slots) / f64::from(candidate.vm.capacity.slots.max(1))
    }

    fn scan_order(&self, _spec: &TaskSpec) -> Option<ScanOrder> {
        Some(ScanOrder::EmptiestFirst)
    }
}

inventory::submit! {
    Plugin { name: "least-loaded", build: || AnyPlugin::Score(Box::new(LeastLoaded)) }
}
