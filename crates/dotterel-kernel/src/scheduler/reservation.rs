//! A VM reserved clear for a task that has waited too long.
//!
//! Large tasks would starve while a stream of small ones takes each bit of room as it appears. The
//! class whose head has waited for half of its max_wait gets one VM that others are told to
//! spare. Only one VM is reserved at a time.

use crate::fleet::{Fleet, VmKey};
use crate::time::Millis;

use super::PendingTask;
use super::class::ClassKey;

/// The longest that one VM is reserved for one class.
const RESERVATION_TTL: Millis = Millis::secs(600);

#[derive(Clone, Copy, Debug)]
struct ReservedVm {
    class: ClassKey,
    vm: VmKey,
    expires: Millis,
}

#[derive(Debug, Default)]
pub(super) struct Reservation {
    reserved: Option<ReservedVm>,
}

impl Reservation {
    /// Returns the VM that a class must spare.
    pub(super) fn avoided_vm(&self, class: ClassKey) -> Option<VmKey> {
        let reserved = self.reserved?;
        (reserved.class != class).then_some(reserved.vm)
    }

    /// Ends the keeping once the class has started a task.
    pub(super) fn release(&mut self, class: ClassKey) {
        if self
            .reserved
            .is_some_and(|reserved| reserved.class == class)
        {
            self.reserved = None;
        }
    }

    /// Keeps the VM with the most room for a task that has waited long.
    pub(super) fn reserve_if_overdue(
        &mut self,
        class: ClassKey,
        task: &PendingTask,
        fleet: &Fleet,
        now: Millis,
    ) {
        let unavailable =
            |reserved: ReservedVm| fleet.get(reserved.vm).is_none_or(|vm| !vm.accepting);
        if self
            .reserved
            .is_some_and(|reserved| reserved.expires < now || unavailable(reserved))
        {
            self.reserved = None;
        }
        let max_wait = task.deadline.since(task.arrived);
        if self.reserved.is_some() || now.since(task.arrived).0 < max_wait.0 / 2 {
            return;
        }
        let size = &task.spec.size;
        let candidates = fleet
            .iter()
            .filter(|(_, vm)| vm.accepting && size.fits(&vm.capacity));
        let best = candidates.min_by_key(|(_, vm)| (vm.capacity.accelerators, vm.used.milli_cores));
        self.reserved = best.map(|(vm, _)| ReservedVm {
            class,
            vm,
            expires: now + RESERVATION_TTL,
        });
    }
}
