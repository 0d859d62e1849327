//! Refuses what could not start before its deadline, by learned run times.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Kind, Load, Millis, PendingTask, Reason, Urgency};

/// The part of the time left that the expected wait of an interactive task may fill, in tenths.
const INTERACTIVE_TENTHS: u64 = 3;
/// The same for other tasks, which nobody waits for.
const OTHER_TENTHS: u64 = 8;
/// From this part of the capacity on, more urgent work is the cause of a refusal.
const CROWDED: f64 = 0.5;

struct InTime;

impl Admission for InTime {
    fn name(&self) -> &'static str {
        "in-time"
    }

    fn admit(&self, task: &PendingTask, load: &Load, now: Millis) -> Result<(), Reason> {
        let left = task.deadline.since(now).0;
        let tenths = match task.spec.kind {
            Kind::Interactive => INTERACTIVE_TENTHS,
            Kind::Batch | Kind::Gang | Kind::Service => OTHER_TENTHS,
        };
        if load.expected_wait.0 <= left / 10 * tenths {
            return Ok(());
        }
        if task.spec.urgency != Urgency::Urgent && load.urgent_load >= CROWDED {
            return Err(Reason::Shed);
        }
        Err(Reason::Deadline)
    }
}

inventory::submit! {
    Plugin { name: "in-time", build: || AnyPlugin::Admission(Box::new(InTime)) }
}
