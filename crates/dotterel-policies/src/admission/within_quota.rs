//! Refuses tasks that are larger than their team's limit.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Load, Millis, PendingTask, Reason};

struct WithinQuota;

impl Admission for WithinQuota {
    fn name(&self) -> &'static str {
        "within-quota"
    }

    fn admit(&self, task: &PendingTask, load: &Load, _now: Millis) -> Result<(), Reason> {
        let size = &task.spec.size;
        if load.quota.is_none_or(|limit| size.fits(&limit)) {
            Ok(())
        } else {
            Err(Reason::Quota)
        }
    }
}

inventory::submit! {
    Plugin { name: "within-quota", build: || AnyPlugin::Admission(Box::new(WithinQuota)) }
}
