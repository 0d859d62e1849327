//! Refuses what its team's quota could never hold.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Admission, Load, Millis, Reason, Waiting};

struct WithinQuota;

impl Admission for WithinQuota {
    fn name(&self) -> &'static str {
        "within-quota"
    }

    fn judge(&self, waiting: &Waiting, load: &Load, _now: Millis) -> Result<(), Reason> {
        let size = &waiting.ask.size;
        if load.quota.is_none_or(|limit| size.fits(&limit)) {
            Ok(())
        } else {
            Err(Reason::Quota)
        }
    }
}

inventory::submit! {
    Plugin { name: "within-quota", build: || Part::Admission(Box::new(WithinQuota)) }
}
