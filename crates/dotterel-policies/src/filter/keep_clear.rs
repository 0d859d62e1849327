//! Keeps all but urgent tasks off a VM that is reserved for a task of another class.

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
