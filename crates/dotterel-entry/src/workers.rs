//! The VMs whose worker leases this node holds, and the queue of tasks for them.
//!
//! [`Workers`] keeps three things under one lock: the scheduler, the lease of each VM as its keeper
//! reports it, and the tasks on each VM. A [`Slot`] holds capacity for one task on one VM; dropping
//! it releases the capacity, so that the next queued task can start.

mod lease_handler;
mod queued;
mod reserve;
mod slot;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterel_coord::{Health, Permit};
use dotterel_kernel::scheduler::Load;
use dotterel_kernel::{
    Clock, DataCentre, Epoch, PendingTask, Placement, PolicySet, Reason, Scheduler, Service, Size,
    SubmitOutcome, TaskId, Team, VmId, VmStatus,
};
use dotterel_platform::Upstream;
use tokio::sync::oneshot;

pub use queued::QueuedTask;
pub use reserve::ReserveRequest;
pub use slot::{Slot, TaskEnd};

use state::State;

/// The limit of a team without a quota; no team can hold this much.
const UNLIMITED: Size = Size {
    milli_cores: u32::MAX,
    memory_mb: u32::MAX,
    accelerators: u32::MAX,
    slots: u32::MAX,
    connections: u32::MAX,
};

/// The result of [`Workers::submit`].
pub enum Submitted {
    /// The task is placed, and its capacity is held.
    Placed(Slot),
    /// The task is queued.
    Queued(QueuedTask),
    /// The task is refused and won't start here.
    Refused(Reason),
}

/// This node's share of a team's quota, for one of the team's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// The service.
    pub service: Service,
    /// The team.
    pub team: Team,
    /// Maximum total size of the team's running tasks on this node; `None` if unlimited.
    pub limit: Option<Size>,
}

/// The VMs that this node owns; clones share the state.
#[derive(Clone)]
pub struct Workers {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    data_centre: DataCentre,
    state: Mutex<State>,
}

impl Workers {
    /// Returns the state of a node that owns no VMs.
    #[must_use]
    pub fn new(policy: PolicySet, data_centre: DataCentre, clock: Clock) -> Self {
        let state = Mutex::new(State::new(Scheduler::new(policy)));
        Self {
            inner: Arc::new(Inner {
                clock,
                data_centre,
                state,
            }),
        }
    }

    /// Adds a VM; must be called before its lease is acquired.
    pub fn add(&self, vm: VmId, upstream: Arc<dyn Upstream>) {
        self.state().add(vm, upstream);
    }

    /// Removes a VM.
    pub fn remove(&self, vm: &VmId) {
        self.state().remove(vm);
    }

    /// Marks a VM as leaving, so that no new tasks start there.
    pub fn mark_leaving(&self, vm: &VmId) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((entry, _)) = state.entry(vm) {
            entry.leaving = true;
        }
        state.apply(vm, now);
    }

    /// Places or queues a task.
    #[must_use]
    pub fn submit(&self, task: TaskId, pending: PendingTask) -> Submitted {
        let now = self.inner.clock.now();
        let mut state = self.state();
        match state.scheduler.submit(pending, now) {
            SubmitOutcome::Refused(reason) => Submitted::Refused(reason),
            SubmitOutcome::Placed(placement) => {
                let started = state.add_task(task, &placement, now);
                drop(state);
                started.map_or(Submitted::Refused(Reason::NoCapacity), |context| {
                    Submitted::Placed(self.slot(task, placement, context))
                })
            }
            SubmitOutcome::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                state.add_waiter(key, task, sender);
                Submitted::Queued(QueuedTask::new(self.clone(), key, receiver))
            }
        }
    }

    /// Returns the VMs whose lease is held, sorted by name.
    #[must_use]
    pub fn status(&self) -> Vec<VmStatus> {
        self.state().status()
    }

    /// Returns true if the lease of at least one VM is held.
    #[must_use]
    pub fn owns_vms(&self) -> bool {
        self.owned_count() > 0
    }

    /// Returns the number of VMs whose lease is held.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.state().scheduler.fleet().len()
    }

    /// Returns the maximum of each resource over the owned VMs; `None` if there are none.
    #[must_use]
    pub fn largest(&self) -> Option<Size> {
        let state = self.state();
        let vms = state.scheduler.fleet().iter();
        vms.map(|(_, vm)| vm.capacity)
            .reduce(crate::peers::elementwise_max)
    }

    /// Returns the recent failure counts of the owned VMs.
    #[must_use]
    pub fn health(&self) -> Health {
        self.state().health()
    }

    /// Sets the failure counts of the other nodes' VMs, which the owned VMs are compared with.
    pub fn set_peer_health(&self, peers: Health) {
        self.state().set_peer_health(peers);
    }

    /// Returns the free capacity of accepting VMs, less one slot per queued task.
    #[must_use]
    pub fn spare(&self) -> Size {
        self.state().spare()
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state().scheduler.load().clone()
    }

    /// Returns the number of tasks that this node has dispatched and not settled.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.state().unsettled()
    }

    /// Returns the VM's adapter, or `None` if the VM was removed.
    #[must_use]
    pub fn upstream(&self, vm: &VmId) -> Option<Arc<dyn Upstream>> {
        self.state().upstream(vm)
    }

    /// Returns the adapters of all VMs, owned or not.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Arc<dyn Upstream>> {
        self.state().upstreams()
    }

    /// Places queued tasks on freed capacity.
    fn place_queued(&self) {
        let now = self.inner.clock.now();
        let mut ready = Vec::new();
        {
            let mut state = self.state();
            while let Some((key, _, placement)) = state.scheduler.place_next(now) {
                let Some((task, sender)) = state.take_waiter(key) else {
                    state.scheduler.release(placement.hold);
                    continue;
                };
                if let Some(context) = state.add_task(task, &placement, now) {
                    ready.push((sender, self.slot(task, placement, context)));
                }
            }
        }
        for (sender, slot) in ready {
            // If the receiver is gone, dropping the returned slot releases its capacity.
            drop(sender.send(slot));
        }
    }

    fn slot(&self, task: TaskId, placement: Placement, context: StartContext) -> Slot {
        Slot::new(self.clone(), task, placement, context)
    }

    /// Lets a VM forget a task whose outcome is recorded; sent with the next renewal.
    pub fn forget(&self, vm: &VmId, task: TaskId) {
        self.state().forget(vm, task);
    }

    /// Sets this node's shares of the teams' quotas.
    pub fn set_quota_shares(&self, shares: &[QuotaShare]) {
        let mut state = self.state();
        let quotas = state.scheduler.quotas_mut();
        for share in shares {
            // A service that never had a limit needs no entry.
            if share.limit.is_some() || quotas.team(&share.service).is_some() {
                let team = quotas.set(&share.team, share.limit.unwrap_or(UNLIMITED));
                quotas.assign(&share.service, team);
            }
        }
        drop(state);
        self.place_queued();
    }

    fn rename_task(&self, vm: &VmId, from: TaskId, to: TaskId) {
        self.state().update_task(vm, from, |task| task.id = to);
    }

    fn detach(&self, vm: &VmId, task: TaskId) {
        self.state()
            .update_task(vm, task, |task| task.unsettled = false);
    }

    fn finish(&self, vm: &VmId, task: TaskId, end: TaskEnd) {
        let now = self.inner.clock.now();
        self.state().finish(vm, task, end, now);
        self.place_queued();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The data that the start of a placed task needs.
struct StartContext {
    permit: Permit,
    epoch: Epoch,
    upstream: Arc<dyn Upstream>,
}
