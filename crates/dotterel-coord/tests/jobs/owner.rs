//! A VM owner: it holds worker leases and renews the leases of the tasks on its VMs.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use dotterel_coord::jobs::{CapacityProvider, HeldVms, HoldError, HoldId, HoldRequest};
use dotterel_kernel::{Clock, Epoch, Incarnation, Millis, NodeId, Size, TaskId, VmId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, Owner, RenewRequest, RenewResponse, TaskState, Upstream,
    VmReport,
};
use dotterel_standin::FakeWorker;

const LEASE_TTL: Millis = Millis(3_000);
const TASK_TTL: Millis = Millis(10_000);
const RENEWAL_INTERVAL: Millis = Millis(1_000);
const CALL_TIMEOUT: Millis = Millis(500);
/// The maximum time that a start may be in flight.
const MAX_START_TRANSIT: Millis = Millis(2_000);

/// Capacity that is reserved or in use on a VM.
#[derive(Debug)]
struct Reservation {
    vm: VmId,
    hold: HoldId,
    size: Size,
    ttl: Millis,
    /// When it expires; none once its task has been started.
    expires: Option<Millis>,
    task: Option<TaskId>,
}

#[derive(Debug, Default)]
struct State {
    reservations: Vec<Reservation>,
    epochs: Vec<(VmId, Epoch)>,
    /// The latest time at which a task may have been started or renewed.
    renewed_at: Vec<(TaskId, Millis)>,
    /// The time at which a task's start was sent.
    sent_at: Vec<(TaskId, Millis)>,
    /// Tasks that must not be started or renewed again.
    abandoned: Vec<TaskId>,
}

impl State {
    fn epoch_of(&self, vm: &VmId) -> Option<Epoch> {
        let found = self.epochs.iter().find(|entry| entry.0 == *vm);
        found.map(|entry| entry.1)
    }

    fn expire(&mut self, now: Millis) {
        self.reservations
            .retain(|reservation| reservation.expires.is_none_or(|expires| now < expires));
    }
}

/// A VM owner that never fails, so that tests cover only failures of job owners.
#[derive(Debug)]
pub(crate) struct VmOwner {
    node: NodeId,
    clock: Clock,
    workers: Vec<FakeWorker>,
    state: Mutex<State>,
    /// While true, new holds are refused.
    pub(crate) refuse_holds: AtomicBool,
}

impl VmOwner {
    pub(crate) fn new(node: &str, clock: Clock, workers: &[FakeWorker]) -> Arc<Self> {
        let owner = Arc::new(Self {
            node: node.into(),
            clock,
            workers: workers
                .iter()
                .map(|worker| worker.for_caller(node))
                .collect(),
            state: Mutex::default(),
            refuse_holds: AtomicBool::new(false),
        });
        tokio::spawn(Arc::clone(&owner).renew_leases());
        owner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Returns the connection to a VM, if this node is its owner.
    pub(crate) fn worker(&self, vm: &VmId) -> Option<&FakeWorker> {
        self.workers.iter().find(|worker| worker.vm() == *vm)
    }

    /// Returns the epoch of the worker lease of a VM, if it is held.
    pub(crate) fn epoch_of(&self, vm: &VmId) -> Option<Epoch> {
        self.state().epoch_of(vm)
    }

    /// Returns the epoch for the start of a task, and records that the start may take effect.
    pub(crate) fn begin_start(&self, vm: &VmId, hold: HoldId, task: TaskId) -> Option<Epoch> {
        let mut state = self.state();
        if state.abandoned.contains(&task) {
            return None;
        }
        let now = self.clock.now();
        state.expire(now);
        let epoch = state.epoch_of(vm)?;
        let free = |r: &&mut Reservation| r.vm == *vm && r.hold == hold && r.task.is_none();
        let reservation = state.reservations.iter_mut().find(free)?;
        reservation.task = Some(task);
        reservation.expires = None;
        state.renewed_at.push((task, now));
        state.sent_at.push((task, now));
        Some(epoch)
    }

    /// Frees the capacity of a task that is known to have ended.
    pub(crate) fn free_task(&self, task: TaskId) {
        self.state()
            .reservations
            .retain(|reservation| reservation.task != Some(task));
    }

    /// Bars further starts and renewals of a task; returns the latest time at which one may have
    /// taken effect.
    pub(crate) fn abandon(&self, task: TaskId) -> Option<Millis> {
        let mut state = self.state();
        state.abandoned.push(task);
        let entry = state.renewed_at.iter().find(|entry| entry.0 == task);
        Some(entry.map_or(Millis::ZERO, |entry| entry.1))
    }

    async fn renew_leases(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(RENEWAL_INTERVAL.duration());
        loop {
            ticks.tick().await;
            for worker in &self.workers {
                self.renew(worker).await;
            }
        }
    }

    async fn renew(&self, worker: &FakeWorker) {
        let Some(epoch) = self.epoch(worker).await else {
            return;
        };
        let renewal = self.renewal(&worker.vm(), epoch);
        let call = worker.renew(&renewal);
        let response = tokio::time::timeout(CALL_TIMEOUT.duration(), call).await;
        let vm = worker.vm();
        match response {
            Ok(Ok(RenewResponse::Lost { .. })) => self.state().epochs.retain(|entry| entry.0 != vm),
            Ok(Ok(RenewResponse::Done(granted))) => self.free_unobserved(&vm, &granted),
            _ => {}
        }
    }

    /// Frees the capacity of tasks that the VM does not run, unless their start may be in flight.
    fn free_unobserved(&self, vm: &VmId, granted: &VmReport) {
        let now = self.clock.now();
        let mut state = self.state();
        let State {
            reservations,
            sent_at,
            ..
        } = &mut *state;
        let running = |task: TaskId| {
            let observed = granted.tasks.iter().find(|seen| seen.task == task);
            observed.is_some_and(|seen| seen.state == TaskState::Running)
        };
        let in_transit = |task: TaskId| {
            let start = sent_at.iter().find(|entry| entry.0 == task);
            start.is_some_and(|entry| now < entry.1 + MAX_START_TRANSIT)
        };
        reservations.retain(|reservation| {
            let task = reservation.task.filter(|_| reservation.vm == *vm);
            task.is_none_or(|task| running(task) || in_transit(task))
        });
    }

    /// Builds the renewal of all tasks on a VM and records them as renewed.
    fn renewal(&self, vm: &VmId, epoch: Epoch) -> RenewRequest {
        let now = self.clock.now();
        let mut state = self.state();
        let State {
            reservations,
            renewed_at,
            abandoned,
            ..
        } = &mut *state;
        let on_vm = reservations
            .iter()
            .filter(|reservation| reservation.vm == *vm);
        let tasks: Vec<_> = on_vm
            .filter_map(|reservation| reservation.task)
            .filter(|task| !abandoned.contains(task))
            .collect();
        for entry in renewed_at.iter_mut().filter(|e| tasks.contains(&e.0)) {
            entry.1 = now;
        }
        RenewRequest {
            epoch,
            ttl: LEASE_TTL,
            tasks,
            task_ttl: TASK_TTL,
            forget: Vec::new(),
        }
    }

    async fn epoch(&self, worker: &FakeWorker) -> Option<Epoch> {
        let vm = worker.vm();
        let known = self.epoch_of(&vm);
        if known.is_some() {
            return known;
        }
        let request = AcquireRequest {
            owner: Owner {
                node: self.node.clone(),
                incarnation: Incarnation(1),
            },
            ttl: LEASE_TTL,
        };
        match tokio::time::timeout(CALL_TIMEOUT.duration(), worker.acquire(&request)).await {
            Ok(Ok(AcquireResponse::Granted(grant))) => {
                self.state().epochs.push((vm, grant.epoch));
                Some(grant.epoch)
            }
            _ => None,
        }
    }

    fn free_capacity(&self, state: &State, worker: &FakeWorker) -> Size {
        let vm = worker.vm();
        let on_vm = state
            .reservations
            .iter()
            .filter(|reservation| reservation.vm == vm);
        let used = on_vm.fold(Size::ZERO, |sum, reservation| sum.plus(&reservation.size));
        worker.capacity().minus(&used)
    }

    /// Returns the VM with free capacity that runs the fewest tasks of the requester.
    fn choose_vm(&self, state: &State, request: &HoldRequest, chosen: &[VmId]) -> Option<VmId> {
        let fits = |worker: &&FakeWorker| request.size.fits(&self.free_capacity(state, worker));
        let count = |worker: &&FakeWorker| {
            let vm = worker.vm();
            request
                .avoid
                .iter()
                .chain(chosen)
                .filter(|v| **v == vm)
                .count()
        };
        let distinct = |worker: &&FakeWorker| !request.distinct_vms || count(worker) == 0;
        let workers = self.workers.iter().filter(fits).filter(distinct);
        let best = workers.min_by_key(count);
        best.map(FakeWorker::vm)
    }
}

#[async_trait]
impl CapacityProvider for VmOwner {
    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn hold(&self, request: &HoldRequest) -> Result<HeldVms, HoldError> {
        if self.refuse_holds.load(Ordering::SeqCst) {
            return Err(HoldError::Full);
        }
        let now = self.clock.now();
        let mut state = self.state();
        state.expire(now);
        let mut vms = Vec::new();
        while vms.len() < request.count as usize
            && let Some(vm) = self.choose_vm(&state, request, &vms)
        {
            state.reservations.push(Reservation {
                vm: vm.clone(),
                hold: request.id,
                size: request.size,
                ttl: request.ttl,
                expires: Some(now + request.ttl),
                task: None,
            });
            vms.push(vm);
        }
        match vms.is_empty() {
            true => Err(HoldError::Full),
            false => Ok(HeldVms { vms }),
        }
    }

    async fn commit(&self, hold: HoldId) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        state.expire(now);
        let mut held = false;
        for reservation in state
            .reservations
            .iter_mut()
            .filter(|reservation| reservation.hold == hold)
        {
            reservation.expires = Some(now + reservation.ttl);
            held = true;
        }
        held
    }

    async fn release(&self, hold: HoldId) {
        self.state()
            .reservations
            .retain(|reservation| reservation.hold != hold || reservation.task.is_some());
    }
}
