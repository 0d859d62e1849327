//! Bounds the queue, and the part of it that one class may fill.

use dotterel_kernel::plugin::{Part, Plugin};
use dotterel_kernel::{Admission, Load, Millis, Reason, Waiting};

/// Tasks that wait on one node.
const QUEUE_LIMIT: u32 = 20_000;
/// Tasks of one class that wait on one node.
const CLASS_LIMIT: u32 = 10_000;

struct Bounded;

impl Admission for Bounded {
    fn name(&self) -> &'static str {
        "bounded"
    }

    fn judge(&self, _waiting: &Waiting, load: &Load, _now: Millis) -> Result<(), Reason> {
        if load.queued >= QUEUE_LIMIT || load.class_queued >= CLASS_LIMIT {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }
}

inventory::submit! {
    Plugin { name: "bounded", build: || Part::Admission(Box::new(Bounded)) }
}
