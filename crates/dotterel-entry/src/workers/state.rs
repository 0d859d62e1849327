//! The state behind the lock.

use std::sync::Arc;

use dotterel_coord::Permit;
use dotterel_kernel::{
    HoldKey, Millis, Placement, Scheduler, Size, TaskId, VmId, VmKey, VmStatus, WaitKey,
};
use dotterel_platform::Upstream;
use tokio::sync::oneshot;

use super::{Begun, Slot};

/// The VMs, the queue and those who wait.
pub(super) struct State {
    pub(super) scheduler: Scheduler,
    /// Sorted by name.
    vms: Vec<Owned>,
    waiters: Vec<Waiter>,
}

/// A VM that this node owns or seeks.
pub(super) struct Owned {
    pub(super) id: VmId,
    pub(super) upstream: Arc<dyn Upstream>,
    pub(super) lease: Option<Lease>,
    pub(super) tasks: Vec<Task>,
    /// Tasks that the VM may forget; those in front were named in the last renewal.
    pub(super) forget: Vec<TaskId>,
    pub(super) forgetting: usize,
    pub(super) leaving: bool,
}

/// A held worker lease.
pub(super) struct Lease {
    pub(super) key: VmKey,
    pub(super) permit: Option<Permit>,
}

/// A task on a VM.
pub(super) struct Task {
    pub(super) id: TaskId,
    /// The capacity it takes, while the lease is held.
    pub(super) hold: Option<HoldKey>,
    /// True for tasks that this node dispatched and has not settled.
    pub(super) live: bool,
}

struct Waiter {
    key: WaitKey,
    task: TaskId,
    sender: oneshot::Sender<Slot>,
}

impl State {
    pub(super) const fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            vms: Vec::new(),
            waiters: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, id: VmId, upstream: Arc<dyn Upstream>) {
        let Err(index) = self.position(&id) else {
            return;
        };
        let owned = Owned {
            id,
            upstream,
            lease: None,
            tasks: Vec::new(),
            forget: Vec::new(),
            forgetting: 0,
            leaving: false,
        };
        self.vms.insert(index, owned);
    }

    pub(super) fn remove(&mut self, vm: &VmId) {
        if let Ok(index) = self.position(vm)
            && let Some(lease) = self.vms.remove(index).lease
        {
            self.scheduler.fleet_mut().remove(lease.key);
        }
    }

    pub(super) fn owned(&mut self, vm: &VmId) -> Option<(&mut Owned, &mut Scheduler)> {
        let index = self.position(vm).ok()?;
        Some((&mut self.vms[index], &mut self.scheduler))
    }

    pub(super) fn set_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some((owned, scheduler)) = self.owned(vm) {
            owned.leaving = leaving;
            owned.apply(scheduler);
        }
    }

    /// Notes a placed task; without a permit the capacity is given back.
    pub(super) fn begin(&mut self, task: TaskId, placement: &Placement) -> Option<Begun> {
        let begun = self.begun(placement);
        if begun.is_none() {
            self.scheduler.fleet_mut().release(placement.hold);
            return None;
        }
        let (owned, _) = self.owned(&placement.id)?;
        owned.tasks.push(Task {
            id: task,
            hold: Some(placement.hold),
            live: true,
        });
        begun
    }

    fn begun(&mut self, placement: &Placement) -> Option<Begun> {
        let epoch = self.scheduler.fleet().get(placement.vm)?.epoch;
        let (owned, _) = self.owned(&placement.id)?;
        let permit = owned.lease.as_ref()?.permit?;
        Some(Begun {
            permit,
            epoch,
            upstream: owned.upstream.clone(),
        })
    }

    pub(super) fn finish(&mut self, vm: &VmId, task: TaskId, forget: bool, now: Millis) {
        let Some((owned, scheduler)) = self.owned(vm) else {
            return;
        };
        let Some(index) = owned.tasks.iter().position(|known| known.id == task) else {
            return;
        };
        let ended = owned.tasks.swap_remove(index);
        if let Some(hold) = ended.hold {
            scheduler.finish(hold, now);
        }
        if forget {
            owned.forget.push(task);
        }
    }

    pub(super) fn wait(&mut self, key: WaitKey, task: TaskId, sender: oneshot::Sender<Slot>) {
        self.waiters.push(Waiter { key, task, sender });
    }

    pub(super) fn take_waiter(&mut self, key: WaitKey) -> Option<(TaskId, oneshot::Sender<Slot>)> {
        let index = self.waiters.iter().position(|waiter| waiter.key == key)?;
        let waiter = self.waiters.swap_remove(index);
        Some((waiter.task, waiter.sender))
    }

    pub(super) fn withdraw(&mut self, key: WaitKey) {
        self.scheduler.withdraw(key);
        self.take_waiter(key);
    }

    pub(super) fn status(&self) -> Vec<VmStatus> {
        let held = self.vms.iter().filter_map(|owned| {
            let vm = self.scheduler.fleet().get(owned.lease.as_ref()?.key)?;
            Some(VmStatus {
                vm: vm.id.clone(),
                epoch: vm.epoch,
                capacity: vm.capacity,
                used: vm.used,
                accepting: vm.accepting,
            })
        });
        held.collect()
    }

    pub(super) fn spare(&self) -> Size {
        let accepting = self.scheduler.fleet().iter().filter(|(_, vm)| vm.accepting);
        let mut spare = accepting.fold(Size::ZERO, |sum, (_, vm)| sum.plus(&vm.room()));
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        spare.slots = spare.slots.saturating_sub(waiting);
        spare
    }

    pub(super) fn live(&self) -> usize {
        let tasks = self.vms.iter().flat_map(|owned| &owned.tasks);
        tasks.filter(|task| task.live).count()
    }

    pub(super) fn upstream(&self, vm: &VmId) -> Option<Arc<dyn Upstream>> {
        let index = self.position(vm).ok()?;
        Some(self.vms[index].upstream.clone())
    }

    pub(super) fn upstreams(&self) -> Vec<Arc<dyn Upstream>> {
        self.vms
            .iter()
            .map(|owned| owned.upstream.clone())
            .collect()
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|owned| owned.id.cmp(vm))
    }
}

impl Owned {
    /// Tells the scheduler whether the VM takes new work.
    pub(super) fn apply(&self, scheduler: &mut Scheduler) {
        if let Some(lease) = &self.lease {
            let accepting = lease.permit.is_some() && !self.leaving;
            scheduler.fleet_mut().set_accepting(lease.key, accepting);
        }
    }
}
