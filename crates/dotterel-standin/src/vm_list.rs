//! An in-memory VM list that can lag behind its changes.

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{CallError, Changes, DataCentreHash, ListedVm, Listing, VmList, VmState};

use crate::fault_injector::{FaultInjector, impl_faults, lock};

#[derive(Debug, Default)]
struct State {
    /// The list after each change, with the time of the change; oldest first.
    history: Vec<(Millis, Vec<ListedVm>)>,
    lag: Millis,
    /// The time as of which the list is frozen, if it is.
    frozen: Option<Millis>,
}

/// An in-memory [`VmList`].
#[derive(Clone, Debug)]
pub struct FakeVmList {
    injector: FaultInjector,
    state: Arc<Mutex<State>>,
}

impl_faults!(FakeVmList);

impl FakeVmList {
    /// Returns an empty list without lag.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            injector: FaultInjector::new(clock),
            state: Arc::default(),
        }
    }

    /// Sets how far the list lags behind its changes.
    pub fn set_lag(&self, lag: Millis) {
        lock(&self.state).lag = lag;
    }

    /// Stops the list's updates, or resumes them.
    pub fn freeze(&self, frozen: bool) {
        let now = self.injector.clock().now();
        let mut state = lock(&self.state);
        state.frozen = frozen.then(|| now - state.lag);
    }

    /// Adds a VM or replaces the one with the same id.
    pub fn put(&self, vm: ListedVm) {
        self.update(|vms| match vms.binary_search_by(|v| v.id.cmp(&vm.id)) {
            Ok(index) => vms[index] = vm,
            Err(index) => vms.insert(index, vm),
        });
    }

    /// Removes a VM.
    pub fn remove(&self, id: &str) {
        self.update(|vms| vms.retain(|vm| vm.id != id));
    }

    /// Sets the state of a VM.
    pub fn set_state(&self, id: &str, new_state: VmState) {
        self.update(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.id == id) {
                vm.state = new_state;
            }
        });
    }

    fn update(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        let now = self.injector.clock().now();
        let mut state = lock(&self.state);
        let mut vms = state.history.last().map_or_else(Vec::new, |e| e.1.clone());
        change(&mut vms);
        state.history.push((now, vms));
    }
}

impl State {
    fn listing(&mut self, now: Millis) -> Listing {
        let as_of = self.frozen.unwrap_or(now - self.lag);
        let end = self.history.partition_point(|entry| entry.0 <= as_of);
        let vms = match end {
            0 => Vec::new(),
            end => self.history[end - 1].1.clone(),
        };
        Listing { as_of, vms }
    }
}

#[async_trait]
impl VmList for FakeVmList {
    async fn list(&self) -> Result<Listing, CallError> {
        let (state, clock) = (self.state.clone(), *self.injector.clock());
        self.injector
            .call(move || lock(&state).listing(clock.now()))
            .await
    }

    async fn changes(&self, known: &[DataCentreHash]) -> Result<Changes, CallError> {
        let (state, clock, known) = (self.state.clone(), *self.injector.clock(), known.to_vec());
        self.injector
            .call(move || lock(&state).listing(clock.now()).changes(&known))
            .await
    }
}
