//! A node that owns VMs: it keeps their worker leases and renews the tasks on them.

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

const TTL: Millis = Millis(3_000);
const TASK_TTL: Millis = Millis(10_000);
const PERIOD: Millis = Millis(1_000);
const CALL: Millis = Millis(500);
/// How long a start may be under way.
const FRESH: Millis = Millis(2_000);

/// Capacity in use or set apart on a VM.
#[derive(Debug)]
struct Place {
    vm: VmId,
    hold: HoldId,
    size: Size,
    ttl: Millis,
    /// When it lapses; none once its task has been started.
    until: Option<Millis>,
    task: Option<TaskId>,
}

#[derive(Debug, Default)]
struct State {
    places: Vec<Place>,
    epochs: Vec<(VmId, Epoch)>,
    /// When a task was last started or renewed, or may have been.
    renewed: Vec<(TaskId, Millis)>,
    /// When a task's start was sent.
    begun: Vec<(TaskId, Millis)>,
    /// Tasks that are never started or renewed again.
    given_up: Vec<TaskId>,
}

impl State {
    fn epoch_of(&self, vm: &VmId) -> Option<Epoch> {
        let found = self.epochs.iter().find(|entry| entry.0 == *vm);
        found.map(|entry| entry.1)
    }

    fn expire(&mut self, now: Millis) {
        self.places
            .retain(|place| place.until.is_none_or(|until| now < until));
    }
}

/// An owner of VMs that never dies, so that tests concern the owners of jobs alone.
#[derive(Debug)]
pub(crate) struct VmOwner {
    node: NodeId,
    clock: Clock,
    workers: Vec<FakeWorker>,
    state: Mutex<State>,
    /// While true, nothing new is held.
    pub(crate) closed: AtomicBool,
}

impl VmOwner {
    pub(crate) fn new(node: &str, clock: Clock, workers: &[FakeWorker]) -> Arc<Self> {
        let owner = Arc::new(Self {
            node: node.into(),
            clock,
            workers: workers.iter().map(|worker| worker.of(node)).collect(),
            state: Mutex::default(),
            closed: AtomicBool::new(false),
        });
        tokio::spawn(Arc::clone(&owner).keep());
        owner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the way to a VM, if this node owns it.
    pub(crate) fn worker(&self, vm: &VmId) -> Option<&FakeWorker> {
        self.workers.iter().find(|worker| worker.vm() == *vm)
    }

    /// Returns the epoch of the worker lease on a VM, if it is held.
    pub(crate) fn epoch_of(&self, vm: &VmId) -> Option<Epoch> {
        self.state().epoch_of(vm)
    }

    /// Returns the epoch to start a task under, and counts the start as one that may happen.
    pub(crate) fn begin(&self, vm: &VmId, hold: HoldId, task: TaskId) -> Option<Epoch> {
        let mut state = self.state();
        if state.given_up.contains(&task) {
            return None;
        }
        let now = self.clock.now();
        state.expire(now);
        let epoch = state.epoch_of(vm)?;
        let free = |p: &&mut Place| p.vm == *vm && p.hold == hold && p.task.is_none();
        let place = state.places.iter_mut().find(free)?;
        place.task = Some(task);
        place.until = None;
        state.renewed.push((task, now));
        state.begun.push((task, now));
        Some(epoch)
    }

    /// Frees what a task took, once it is known to be over.
    pub(crate) fn end(&self, task: TaskId) {
        self.state().places.retain(|place| place.task != Some(task));
    }

    /// Never starts or renews a task again; returns when that may have happened last.
    pub(crate) fn give_up(&self, task: TaskId) -> Option<Millis> {
        let mut state = self.state();
        state.given_up.push(task);
        let entry = state.renewed.iter().find(|entry| entry.0 == task);
        Some(entry.map_or(Millis::ZERO, |entry| entry.1))
    }

    async fn keep(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(PERIOD.duration());
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
        let answer = tokio::time::timeout(CALL.duration(), call).await;
        let vm = worker.vm();
        match answer {
            Ok(Ok(RenewResponse::Lost { .. })) => self.state().epochs.retain(|entry| entry.0 != vm),
            Ok(Ok(RenewResponse::Done(granted))) => self.reconcile(&vm, &granted),
            _ => {}
        }
    }

    /// Frees what the VM does not run, except for starts that may be under way.
    fn reconcile(&self, vm: &VmId, granted: &VmReport) {
        let now = self.clock.now();
        let mut state = self.state();
        let State { places, begun, .. } = &mut *state;
        let running = |task: TaskId| {
            let observed = granted.tasks.iter().find(|seen| seen.task == task);
            observed.is_some_and(|seen| seen.state == TaskState::Running)
        };
        let fresh = |task: TaskId| {
            let start = begun.iter().find(|entry| entry.0 == task);
            start.is_some_and(|entry| now < entry.1 + FRESH)
        };
        places.retain(|place| {
            let task = place.task.filter(|_| place.vm == *vm);
            task.is_none_or(|task| running(task) || fresh(task))
        });
    }

    /// Names the tasks on a VM and counts them as renewed.
    fn renewal(&self, vm: &VmId, epoch: Epoch) -> RenewRequest {
        let now = self.clock.now();
        let mut state = self.state();
        let State {
            places,
            renewed,
            given_up,
            ..
        } = &mut *state;
        let here = places.iter().filter(|place| place.vm == *vm);
        let tasks: Vec<_> = here
            .filter_map(|place| place.task)
            .filter(|task| !given_up.contains(task))
            .collect();
        for entry in renewed.iter_mut().filter(|e| tasks.contains(&e.0)) {
            entry.1 = now;
        }
        RenewRequest {
            epoch,
            ttl: TTL,
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
        let ask = AcquireRequest {
            owner: Owner {
                node: self.node.clone(),
                incarnation: Incarnation(1),
            },
            ttl: TTL,
        };
        match tokio::time::timeout(CALL.duration(), worker.acquire(&ask)).await {
            Ok(Ok(AcquireResponse::Granted(grant))) => {
                self.state().epochs.push((vm, grant.epoch));
                Some(grant.epoch)
            }
            _ => None,
        }
    }

    fn room(&self, state: &State, worker: &FakeWorker) -> Size {
        let vm = worker.vm();
        let here = state.places.iter().filter(|place| place.vm == vm);
        let used = here.fold(Size::ZERO, |sum, place| sum.plus(&place.size));
        worker.capacity().minus(&used)
    }

    /// Returns the VM with the fewest tasks of the asker that has room.
    fn choose(&self, state: &State, ask: &HoldRequest, taken: &[VmId]) -> Option<VmId> {
        let fits = |worker: &&FakeWorker| ask.size.fits(&self.room(state, worker));
        let count = |worker: &&FakeWorker| {
            let vm = worker.vm();
            ask.avoid.iter().chain(taken).filter(|v| **v == vm).count()
        };
        let apart = |worker: &&FakeWorker| !ask.distinct_vms || count(worker) == 0;
        let workers = self.workers.iter().filter(fits).filter(apart);
        let best = workers.min_by_key(count);
        best.map(FakeWorker::vm)
    }
}

#[async_trait]
impl CapacityProvider for VmOwner {
    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn hold(&self, ask: &HoldRequest) -> Result<HeldVms, HoldError> {
        if self.closed.load(Ordering::SeqCst) {
            return Err(HoldError::Full);
        }
        let now = self.clock.now();
        let mut state = self.state();
        state.expire(now);
        let mut vms = Vec::new();
        while vms.len() < ask.count as usize
            && let Some(vm) = self.choose(&state, ask, &vms)
        {
            state.places.push(Place {
                vm: vm.clone(),
                hold: ask.id,
                size: ask.size,
                ttl: ask.ttl,
                until: Some(now + ask.ttl),
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
        for place in state.places.iter_mut().filter(|place| place.hold == hold) {
            place.until = Some(now + place.ttl);
            held = true;
        }
        held
    }

    async fn release(&self, hold: HoldId) {
        self.state()
            .places
            .retain(|place| place.hold != hold || place.task.is_some());
    }
}
