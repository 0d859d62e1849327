//! The state behind the lock.

use std::sync::Arc;

use dotterel_coord::{EjectionState, Health, OutlierDetector, Permit};
use dotterel_kernel::{
    HoldKey, Millis, PendingKey, Placement, Scheduler, Size, TaskId, VmId, VmKey, VmStatus,
};
use dotterel_platform::Upstream;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::{Begun, End, Slot};

/// The VMs, the queue and those who wait.
pub(super) struct State {
    pub(super) scheduler: Scheduler,
    /// Sorted by name.
    vms: Vec<Owned>,
    waiters: SecondaryMap<PendingKey, Waiter>,
    /// Which VMs fail what they start.
    aside: OutlierDetector,
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
    /// Renewals in a row that did not list it as running.
    pub(super) missed: u8,
}

struct Waiter {
    task: TaskId,
    sender: oneshot::Sender<Slot>,
}

impl State {
    pub(super) fn new(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            vms: Vec::new(),
            waiters: SecondaryMap::new(),
            aside: OutlierDetector::default(),
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
        self.aside.remove(vm);
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

    /// Tells the scheduler whether a VM takes new work.
    pub(super) fn apply(&mut self, vm: &VmId, now: Millis) {
        let standing = self.aside.state(vm, now);
        let Some((owned, scheduler)) = self.owned(vm) else {
            return;
        };
        let fit = match standing {
            EjectionState::Normal => true,
            EjectionState::Probe => owned.tasks.iter().all(|task| !task.live),
            EjectionState::Ejected(_) => false,
        };
        if let Some(lease) = &owned.lease {
            let accepting = fit && lease.permit.is_some() && !owned.leaving;
            scheduler.fleet_mut().set_accepting(lease.key, accepting);
        }
    }

    /// Notes a placed task; without a permit the capacity is given back.
    pub(super) fn begin(
        &mut self,
        task: TaskId,
        placement: &Placement,
        now: Millis,
    ) -> Option<Begun> {
        let Some(begun) = self.begun(placement) else {
            self.scheduler.release(placement.hold);
            return None;
        };
        let (owned, _) = self.owned(&placement.id)?;
        owned.tasks.push(Task {
            id: task,
            hold: Some(placement.hold),
            live: true,
            missed: 0,
        });
        if self.aside.state(&placement.id, now) == EjectionState::Probe {
            self.aside.probe_started(&placement.id, now);
            self.apply(&placement.id, now);
        }
        Some(begun)
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

    /// Changes a task on a VM, if it is there.
    pub(super) fn change(&mut self, vm: &VmId, task: TaskId, change: impl FnOnce(&mut Task)) {
        if let Some((owned, _)) = self.owned(vm)
            && let Some(known) = owned.tasks.iter_mut().find(|known| known.id == task)
        {
            change(known);
        }
    }

    pub(super) fn finish(&mut self, vm: &VmId, task: TaskId, end: End, now: Millis) {
        let Some((owned, scheduler)) = self.owned(vm) else {
            return;
        };
        let Some(index) = owned.tasks.iter().position(|known| known.id == task) else {
            return;
        };
        let hold = owned.tasks.swap_remove(index).hold;
        match (hold, end) {
            (Some(hold), End::Ran) => drop(scheduler.finish(hold, now)),
            (Some(hold), End::Unused | End::Failed) => drop(scheduler.release(hold)),
            (None, _) => {}
        }
        self.judge(vm, end, now);
    }

    pub(super) fn health(&self) -> Health {
        self.aside.health()
    }

    pub(super) const fn set_peer_health(&mut self, others: Health) {
        self.aside.set_peer_health(others);
    }

    /// Sets a VM aside that fails far more than its peers.
    fn judge(&mut self, vm: &VmId, end: End, now: Millis) {
        if end == End::Unused {
            return;
        }
        let before = self.aside.state(vm, now);
        let after = self.aside.record_end(vm, end == End::Failed, now);
        if before == after {
            return;
        }
        match after {
            EjectionState::Normal => log::info!(vm = vm.as_str(); "takes work again"),
            EjectionState::Probe => {}
            EjectionState::Ejected(until) => {
                log::warn!(vm = vm.as_str(), for_ms = (until - now).0; "set aside for failures");
            }
        }
        self.apply(vm, now);
    }

    pub(super) fn forget(&mut self, vm: &VmId, task: TaskId) {
        if let Some((owned, _)) = self.owned(vm) {
            owned.forget.push(task);
        }
    }

    pub(super) fn wait(&mut self, key: PendingKey, task: TaskId, sender: oneshot::Sender<Slot>) {
        self.waiters.insert(key, Waiter { task, sender });
    }

    pub(super) fn take_waiter(
        &mut self,
        key: PendingKey,
    ) -> Option<(TaskId, oneshot::Sender<Slot>)> {
        let waiter = self.waiters.remove(key)?;
        Some((waiter.task, waiter.sender))
    }

    pub(super) fn withdraw(&mut self, key: PendingKey) {
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
        let mut spare = accepting.fold(Size::ZERO, |sum, (_, vm)| sum.plus(&vm.available()));
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
