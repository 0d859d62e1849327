//! Refuses tasks that are larger than any owned VM.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Load, Millis, PendingTask, Reason};

struct Fits;

impl Admission for Fits {
    fn name(&self) -> &'static str {
        "fits"
    }

    fn admit(&self, _task: &PendingTask, load: &Load, _now: Millis) -> Result<(), Reason> {
        if load.fits_any_vm {
            Ok(())
        } else {
            Err(Reason::TooLarge)
        }
    }
}

inventory::submit! {
    Plugin { name: "fits", build: || AnyPlugin::Admission(Box::new(Fits)) }
}
