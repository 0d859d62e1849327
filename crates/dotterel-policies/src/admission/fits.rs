//! Refuses what no owned VM could hold even when empty.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Admission, Load, Millis, Reason, Waiting};

struct Fits;

impl Admission for Fits {
    fn name(&self) -> &'static str {
        "fits"
    }

    fn judge(&self, _waiting: &Waiting, load: &Load, _now: Millis) -> Result<(), Reason> {
        if load.holdable {
            Ok(())
        } else {
            Err(Reason::TooLarge)
        }
    }
}

inventory::submit! {
    Plugin { name: "fits", build: || Part::Admission(Box::new(Fits)) }
}
