//! The state of [`Workers`](super::Workers), which is behind a lock.

use std::sync::Arc;

use dotterel_coord::{EjectionState, Health, OutlierDetector, Permit};
use dotterel_kernel::{
    HoldKey, Millis, PendingKey, Placement, Scheduler, Size, TaskId, VmId, VmKey, VmStatus,
};
use dotterel_platform::Upstream;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::{Slot, StartContext, TaskEnd};

/// The scheduler, the VMs with their tasks, and the waiters of queued tasks.
pub(super) struct State {
    pub(super) scheduler: Scheduler,
    /// Sorted by VM identifier.
    vms: Vec<VmEntry>,
    waiters: SecondaryMap<PendingKey, Waiter>,
    /// Ejects VMs that fail more tasks than their peers.
    outliers: OutlierDetector,
}

/// A VM of this node's data centre, whether its lease is held or not.
pub(super) struct VmEntry {
    pub(super) id: VmId,
    pub(super) upstream: Arc<dyn Upstream>,
    pub(super) lease: Option<HeldLease>,
    pub(super) tasks: Vec<Task>,
    /// Tasks that the VM may forget; the first `forget_sent` were sent with the last renewal.
    pub(super) forget: Vec<TaskId>,
    pub(super) forget_sent: usize,
    pub(super) leaving: bool,
}

/// A held worker lease.
pub(super) struct HeldLease {
    pub(super) key: VmKey,
    pub(super) permit: Option<Permit>,
}

/// A task on a VM.
pub(super) struct Task {
    pub(super) id: TaskId,
    /// The capacity that the task holds; `None` if the lease was lost since.
    pub(super) hold: Option<HoldKey>,
    /// Whether this node dispatched the task and has not settled it.
    pub(super) unsettled: bool,
    /// Number of consecutive renewals that didn't list the task as running.
    pub(super) missed_renewals: u8,
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
            outliers: OutlierDetector::default(),
        }
    }

    pub(super) fn add(&mut self, id: VmId, upstream: Arc<dyn Upstream>) {
        let Err(index) = self.position(&id) else {
            return;
        };
        let entry = VmEntry {
            id,
            upstream,
            lease: None,
            tasks: Vec::new(),
            forget: Vec::new(),
            forget_sent: 0,
            leaving: false,
        };
        self.vms.insert(index, entry);
    }

    pub(super) fn remove(&mut self, vm: &VmId) {
        self.outliers.remove(vm);
        if let Ok(index) = self.position(vm)
            && let Some(lease) = self.vms.remove(index).lease
        {
            self.scheduler.fleet_mut().remove(lease.key);
        }
    }

    pub(super) fn entry(&mut self, vm: &VmId) -> Option<(&mut VmEntry, &mut Scheduler)> {
        let index = self.position(vm).ok()?;
        Some((&mut self.vms[index], &mut self.scheduler))
    }

    /// Updates whether the scheduler places new tasks on a VM.
    pub(super) fn apply(&mut self, vm: &VmId, now: Millis) {
        let ejection = self.outliers.state(vm, now);
        let Some((entry, scheduler)) = self.entry(vm) else {
            return;
        };
        let eligible = match ejection {
            EjectionState::Normal => true,
            EjectionState::Probe => entry.tasks.iter().all(|task| !task.unsettled),
            EjectionState::Ejected(_) => false,
        };
        if let Some(lease) = &entry.lease {
            let accepting = eligible && lease.permit.is_some() && !entry.leaving;
            scheduler.fleet_mut().set_accepting(lease.key, accepting);
        }
    }

    /// Adds a placed task; without a permit its capacity is released and `None` is returned.
    pub(super) fn add_task(
        &mut self,
        task: TaskId,
        placement: &Placement,
        now: Millis,
    ) -> Option<StartContext> {
        let Some(context) = self.start_context(placement) else {
            self.scheduler.release(placement.hold);
            return None;
        };
        let (entry, _) = self.entry(&placement.id)?;
        entry.tasks.push(Task {
            id: task,
            hold: Some(placement.hold),
            unsettled: true,
            missed_renewals: 0,
        });
        if self.outliers.state(&placement.id, now) == EjectionState::Probe {
            self.outliers.probe_started(&placement.id, now);
            self.apply(&placement.id, now);
        }
        Some(context)
    }

    fn start_context(&mut self, placement: &Placement) -> Option<StartContext> {
        let epoch = self.scheduler.fleet().get(placement.vm)?.epoch;
        let (entry, _) = self.entry(&placement.id)?;
        let permit = entry.lease.as_ref()?.permit?;
        Some(StartContext {
            permit,
            epoch,
            upstream: entry.upstream.clone(),
        })
    }

    /// Updates a task on a VM, if the task is still there.
    pub(super) fn update_task(&mut self, vm: &VmId, task: TaskId, change: impl FnOnce(&mut Task)) {
        if let Some((entry, _)) = self.entry(vm)
            && let Some(known) = entry.tasks.iter_mut().find(|known| known.id == task)
        {
            change(known);
        }
    }

    pub(super) fn finish(&mut self, vm: &VmId, task: TaskId, end: TaskEnd, now: Millis) {
        let Some((entry, scheduler)) = self.entry(vm) else {
            return;
        };
        let Some(index) = entry.tasks.iter().position(|known| known.id == task) else {
            return;
        };
        let hold = entry.tasks.swap_remove(index).hold;
        match (hold, end) {
            (Some(hold), TaskEnd::Ran) => drop(scheduler.finish(hold, now)),
            (Some(hold), TaskEnd::Unused | TaskEnd::Failed) => drop(scheduler.release(hold)),
            (None, _) => {}
        }
        self.update_ejection(vm, end, now);
    }

    pub(super) fn health(&self) -> Health {
        self.outliers.health()
    }

    pub(super) const fn set_peer_health(&mut self, peers: Health) {
        self.outliers.set_peer_health(peers);
    }

    /// Records the end of a task, which may eject or readmit its VM.
    fn update_ejection(&mut self, vm: &VmId, end: TaskEnd, now: Millis) {
        if end == TaskEnd::Unused {
            return;
        }
        let before = self.outliers.state(vm, now);
        let after = self.outliers.record_end(vm, end == TaskEnd::Failed, now);
        if before == after {
            return;
        }
        match after {
            EjectionState::Normal => log::info!(vm = vm.as_str(); "VM readmitted"),
            EjectionState::Probe => {}
            EjectionState::Ejected(until) => {
                log::warn!(vm = vm.as_str(), for_ms = (until - now).0; "VM ejected for failures");
            }
        }
        self.apply(vm, now);
    }

    pub(super) fn forget(&mut self, vm: &VmId, task: TaskId) {
        if let Some((entry, _)) = self.entry(vm) {
            entry.forget.push(task);
        }
    }

    pub(super) fn add_waiter(
        &mut self,
        key: PendingKey,
        task: TaskId,
        sender: oneshot::Sender<Slot>,
    ) {
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
        let held = self.vms.iter().filter_map(|entry| {
            let vm = self.scheduler.fleet().get(entry.lease.as_ref()?.key)?;
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

    pub(super) fn unsettled(&self) -> usize {
        let tasks = self.vms.iter().flat_map(|entry| &entry.tasks);
        tasks.filter(|task| task.unsettled).count()
    }

    pub(super) fn upstream(&self, vm: &VmId) -> Option<Arc<dyn Upstream>> {
        let index = self.position(vm).ok()?;
        Some(self.vms[index].upstream.clone())
    }

    pub(super) fn upstreams(&self) -> Vec<Arc<dyn Upstream>> {
        self.vms
            .iter()
            .map(|entry| entry.upstream.clone())
            .collect()
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|entry| entry.id.cmp(vm))
    }
}
