//! Reserves a VM for a task that has waited too long.
//!
//! A steady stream of small tasks would otherwise use all capacity as it becomes free, and large
//! tasks would starve. Once the first task of a class has waited for half of its maximum wait, one
//! VM is reserved for the class, and other classes avoid it. At most one VM is reserved at a time.

use crate::fleet::{Fleet, VmKey};
use crate::time::Millis;

use super::PendingTask;
use super::class::ClassKey;

/// Time after which a reservation expires.
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
    /// Returns the reserved VM if it is reserved for another class.
    pub(super) fn avoided_vm(&self, class: ClassKey) -> Option<VmKey> {
        let reserved = self.reserved?;
        (reserved.class != class).then_some(reserved.vm)
    }

    /// Ends the reservation of a class once one of its tasks has been placed.
    pub(super) fn release(&mut self, class: ClassKey) {
        if self
            .reserved
            .is_some_and(|reserved| reserved.class == class)
        {
            self.reserved = None;
        }
    }

    /// Reserves a VM for a task that has waited for half of its maximum wait: among the VMs that
    /// could hold it, one with the fewest accelerators, then with the fewest cores in use.
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
