//! Spares the VM that is kept clear for a large task.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Ask, Candidate, Filter, Load, Urgency};

struct KeepClear;

impl Filter for KeepClear {
    fn name(&self) -> &'static str {
        "keep-clear"
    }

    fn admits(&self, ask: &Ask, candidate: &Candidate<'_>, _load: &Load) -> bool {
        !candidate.kept || ask.urgency == Urgency::Urgent
    }
}

inventory::submit! {
    Plugin { name: "keep-clear", build: || Part::Filter(Box::new(KeepClear)) }
}
