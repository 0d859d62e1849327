//! Refuses tasks that are not expected to start before their deadline, based on measured run times.

use dotterel_kernel::plugin::{AnyPlugin, Plugin};
use dotterel_kernel::{Admission, Kind, Load, Millis, PendingTask, Reason, Urgency};

/// Maximum expected wait of an interactive task, in tenths of the time left until its deadline.
const INTERACTIVE_WAIT_TENTHS: u64 = 3;
/// The same for other tasks, for which no caller waits.
const OTHER_WAIT_TENTHS: u64 = 8;
/// Load of more urgent work, as a fraction of capacity, from which on the refusal counts as
/// shedding.
const SHED_THRESHOLD: f64 = 0.5;

struct InTime;

impl Admission for InTime {
    fn name(&self) -> &'static str {
        "in-time"
    }

    fn admit(&self, task: &PendingTask, load: &Load, now: Millis) -> Result<(), Reason> {
        let time_left = task.deadline.since(now).0;
        let tenths = match task.spec.kind {
            Kind::Interactive => INTERACTIVE_WAIT_TENTHS,
            Kind::Batch | Kind::Gang | Kind::Service => OTHER_WAIT_TENTHS,
        };
        if load.expected_wait.0 <= time_left / 10 * tenths {
            return Ok(());
        }
        if task.spec.urgency != Urgency::Urgent && load.urgent_load >= SHED_THRESHOLD {
            return Err(Reason::Shed);
        }
        Err(Reason::Deadline)
    }
}

inventory::submit! {
    Plugin { name: "in-time", build: || AnyPlugin::Admission(Box::new(InTime)) }
}
