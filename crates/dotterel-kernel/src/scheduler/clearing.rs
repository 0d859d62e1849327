//! A VM kept clear for a task that has waited too long.
//!
//! Large tasks would starve while a stream of small ones takes each bit of room as it appears. The
//! class whose head has waited for half of its allowance gets one VM that others are told to
//! spare. Only one VM is kept at a time.

use crate::fleet::{Fleet, VmKey};
use crate::time::Millis;

use super::Waiting;
use super::class::ClassKey;

/// The longest that one VM is kept for one class.
const KEEP: Millis = Millis::secs(600);

#[derive(Clone, Copy, Debug)]
struct Kept {
    class: ClassKey,
    vm: VmKey,
    until: Millis,
}

#[derive(Debug, Default)]
pub(super) struct Clearing {
    kept: Option<Kept>,
}

impl Clearing {
    /// Returns the VM that a class must spare.
    pub(super) fn kept(&self, class: ClassKey) -> Option<VmKey> {
        let kept = self.kept?;
        (kept.class != class).then_some(kept.vm)
    }

    /// Ends the keeping once the class has started a task.
    pub(super) fn placed(&mut self, class: ClassKey) {
        if self.kept.is_some_and(|kept| kept.class == class) {
            self.kept = None;
        }
    }

    /// Keeps the VM with the most room for a task that has waited long.
    pub(super) fn consider(&mut self, class: ClassKey, task: &Waiting, fleet: &Fleet, now: Millis) {
        let gone = |kept: Kept| fleet.get(kept.vm).is_none_or(|vm| !vm.accepting);
        if self.kept.is_some_and(|kept| kept.until < now || gone(kept)) {
            self.kept = None;
        }
        let allowance = task.deadline.since(task.arrived);
        if self.kept.is_some() || now.since(task.arrived).0 < allowance.0 / 2 {
            return;
        }
        let size = &task.ask.size;
        let able = fleet
            .iter()
            .filter(|(_, vm)| vm.accepting && size.fits(&vm.capacity));
        let best = able.min_by_key(|(_, vm)| (vm.capacity.accelerators, vm.used.milli_cores));
        self.kept = best.map(|(vm, _)| Kept {
            class,
            vm,
            until: now + KEEP,
        });
    }
}
