//! The VMs whose worker leases this node holds, and the queue for them.
//!
//! [`Workers`] joins three things under one lock: the kernel's scheduler, the lease of each VM as
//! its keeper reports it, and the tasks that run there. A [`Slot`] is capacity set apart on one
//! VM; dropping it gives the capacity back and lets the next waiting task start.

mod holder;
mod reserve;
mod slot;
mod state;
mod ticket;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterel_coord::{Health, Permit};
use dotterel_kernel::scheduler::Load;
use dotterel_kernel::{
    Clock, DataCentre, Epoch, PendingTask, Placement, PolicySet, Reason, Scheduler, Service, Size,
    SubmitOutcome, TaskId, Team, VmId, VmStatus,
};
use dotterel_platform::Upstream;
use tokio::sync::oneshot;

pub use reserve::Reserve;
pub use slot::{End, Slot};
pub use ticket::Ticket;

use state::State;

/// More than any team can hold.
const NO_LIMIT: Size = Size {
    milli_cores: u32::MAX,
    memory_mb: u32::MAX,
    accelerators: u32::MAX,
    slots: u32::MAX,
    connections: u32::MAX,
};

/// The answer to [`Workers::submit`].
pub enum Submitted {
    /// Capacity is set apart.
    Placed(Slot),
    /// The task waits.
    Queued(Ticket),
    /// The task is not going to start here.
    Refused(Reason),
}

/// A team's part of this node's VMs, for one of its services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The service.
    pub service: Service,
    /// The team.
    pub team: Team,
    /// The most that the team's tasks may hold here; none means no limit.
    pub limit: Option<Size>,
}

/// The VMs that this node owns; clones share them.
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
    /// Returns a node's view before it owns a VM.
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

    /// Makes a VM known before its lease is sought.
    pub fn add(&self, vm: VmId, upstream: Arc<dyn Upstream>) {
        self.state().add(vm, upstream);
    }

    /// Forgets a VM that is gone.
    pub fn remove(&self, vm: &VmId) {
        self.state().remove(vm);
    }

    /// Notes that a VM is about to go, so that nothing new starts there.
    pub fn leaving(&self, vm: &VmId) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((owned, _)) = state.owned(vm) {
            owned.leaving = true;
        }
        state.apply(vm, now);
    }

    /// Asks for capacity for a task.
    #[must_use]
    pub fn submit(&self, task: TaskId, waiting: PendingTask) -> Submitted {
        let now = self.inner.clock.now();
        let mut state = self.state();
        match state.scheduler.submit(waiting, now) {
            SubmitOutcome::Refused(reason) => Submitted::Refused(reason),
            SubmitOutcome::Placed(placement) => {
                let started = state.begin(task, &placement, now);
                drop(state);
                started.map_or(Submitted::Refused(Reason::NoCapacity), |begun| {
                    Submitted::Placed(self.slot(task, placement, begun))
                })
            }
            SubmitOutcome::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                state.wait(key, task, sender);
                Submitted::Queued(Ticket::new(self.clone(), key, receiver))
            }
        }
    }

    /// Returns the VMs whose lease is held, sorted by name.
    #[must_use]
    pub fn status(&self) -> Vec<VmStatus> {
        self.state().status()
    }

    /// Returns true when the lease of at least one VM is held.
    #[must_use]
    pub fn any(&self) -> bool {
        self.owned() > 0
    }

    /// Returns the number of VMs whose lease is held.
    #[must_use]
    pub fn owned(&self) -> usize {
        self.state().scheduler.fleet().len()
    }

    /// Returns the largest owned VM, resource by resource.
    #[must_use]
    pub fn largest(&self) -> Option<Size> {
        let state = self.state();
        let vms = state.scheduler.fleet().iter();
        vms.map(|(_, vm)| vm.capacity)
            .reduce(crate::peers::elementwise_max)
    }

    /// Returns how the owned VMs did lately.
    #[must_use]
    pub fn health(&self) -> Health {
        self.state().health()
    }

    /// Takes in how the VMs of other nodes did, against which the owned ones are judged.
    pub fn hear_health(&self, others: Health) {
        self.state().hear_health(others);
    }

    /// Returns what is free on VMs that take new work, less what waits.
    #[must_use]
    pub fn spare(&self) -> Size {
        self.state().spare()
    }

    /// Returns the present load.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state().scheduler.load().clone()
    }

    /// Returns the number of tasks that this node has dispatched and that are not settled.
    #[must_use]
    pub fn live(&self) -> usize {
        self.state().live()
    }

    /// Returns the VM's adapter, while the VM is known.
    #[must_use]
    pub fn upstream(&self, vm: &VmId) -> Option<Arc<dyn Upstream>> {
        self.state().upstream(vm)
    }

    /// Returns the adapters of all known VMs.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Arc<dyn Upstream>> {
        self.state().upstreams()
    }

    /// Hands freed capacity to waiting tasks.
    fn pump(&self) {
        let now = self.inner.clock.now();
        let mut ready = Vec::new();
        {
            let mut state = self.state();
            while let Some((key, _, placement)) = state.scheduler.place_next(now) {
                let Some((task, sender)) = state.take_waiter(key) else {
                    state.scheduler.release(placement.hold);
                    continue;
                };
                if let Some(begun) = state.begin(task, &placement, now) {
                    ready.push((sender, self.slot(task, placement, begun)));
                }
            }
        }
        for (sender, slot) in ready {
            // A slot that nobody waits for any more gives its capacity back when dropped.
            drop(sender.send(slot));
        }
    }

    fn slot(&self, task: TaskId, placement: Placement, begun: Begun) -> Slot {
        Slot::new(self.clone(), task, placement, begun)
    }

    /// Lets a VM forget a task whose outcome is recorded.
    pub fn forget(&self, vm: &VmId, task: TaskId) {
        self.state().forget(vm, task);
    }

    /// Sets the allotments of teams on this node.
    pub fn allot(&self, pieces: &[Piece]) {
        let mut state = self.state();
        let quotas = state.scheduler.quotas_mut();
        for piece in pieces {
            // A service that never had a limit needs no allotment.
            if piece.limit.is_some() || quotas.team(&piece.service).is_some() {
                let team = quotas.set(&piece.team, piece.limit.unwrap_or(NO_LIMIT));
                quotas.assign(&piece.service, team);
            }
        }
        drop(state);
        self.pump();
    }

    fn rename(&self, vm: &VmId, from: TaskId, to: TaskId) {
        self.state().change(vm, from, |task| task.id = to);
    }

    fn adopt(&self, vm: &VmId, task: TaskId) {
        self.state().change(vm, task, |task| task.live = false);
    }

    fn finish(&self, vm: &VmId, task: TaskId, end: End) {
        let now = self.inner.clock.now();
        self.state().finish(vm, task, end, now);
        self.pump();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a placed task needs for its start.
struct Begun {
    permit: Permit,
    epoch: Epoch,
    upstream: Arc<dyn Upstream>,
}
