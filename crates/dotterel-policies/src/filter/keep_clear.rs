//! Spares the VM that is kept clear for a large task.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Candidate, Filter, Load, TaskSpec, Urgency};

struct KeepClear;

impl Filter for KeepClear {
    fn name(&self) -> &'static str {
        "keep-clear"
    }

    fn admits(&self, spec: &TaskSpec, candidate: &Candidate<'_>, _load: &Load) -> bool {
        !candidate.reserved || spec.urgency == Urgency::Urgent
    }
}

inventory::submit! {
    Plugin { name: "keep-clear", build: || AnyPlugin::Filter(Box::new(KeepClear)) }
}
