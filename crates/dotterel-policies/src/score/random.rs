//! Scores VMs pseudo-randomly; every run yields the same sequence.

use std::sync::atomic::{AtomicU64, Ordering};

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Load, Score, TaskSpec};
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Default)]
struct Random {
    draws: AtomicU64,
}

impl Score for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn score(&self, _spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> f64 {
        let seed = self.draws.fetch_add(1, Ordering::Relaxed);
        let hash = xxh3_64_with_seed(candidate.vm.id.as_str().as_bytes(), seed);
        hash as f64 / u64::MAX as f64
    }
}

inventory::submit! {
    Plugin { name: "random", build: || AnyPlugin::Score(Box::<Random>::default()) }
}
