//! A list of VMs that lags behind the truth.

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{CallError, Changes, DataCentreHash, ListedVm, Listing, VmList, VmState};

use crate::gate::{Gate, faulty, lock};

#[derive(Debug, Default)]
struct State {
    /// What was true from when on, the oldest first.
    history: Vec<(Millis, Vec<ListedVm>)>,
    lag: Millis,
    frozen: Option<Millis>,
}

/// A [`VmList`] in memory.
#[derive(Clone, Debug)]
pub struct FakeVmList {
    gate: Gate,
    state: Arc<Mutex<State>>,
}

faulty!(FakeVmList);

impl FakeVmList {
    /// Returns an empty list without lag.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            gate: Gate::new(clock),
            state: Arc::default(),
        }
    }

    /// Says how far the list lags.
    pub fn set_lag(&self, lag: Millis) {
        lock(&self.state).lag = lag;
    }

    /// Stops the list from being updated, or lets it catch up.
    pub fn freeze(&self, frozen: bool) {
        let now = self.gate.clock().now();
        let mut state = lock(&self.state);
        state.frozen = frozen.then(|| now - state.lag);
    }

    /// Adds a VM or replaces the one of the same name.
    pub fn put(&self, vm: ListedVm) {
        self.change(|vms| match vms.binary_search_by(|v| v.id.cmp(&vm.id)) {
            Ok(index) => vms[index] = vm,
            Err(index) => vms.insert(index, vm),
        });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, id: &str) {
        self.change(|vms| vms.retain(|vm| vm.id != id));
    }

    /// Changes the state of a VM.
    pub fn set_state(&self, id: &str, to: VmState) {
        self.change(|vms| {
            for vm in vms.iter_mut().filter(|vm| vm.id == id) {
                vm.state = to;
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        let now = self.gate.clock().now();
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
        let (state, clock) = (self.state.clone(), *self.gate.clock());
        self.gate
            .call(move || lock(&state).listing(clock.now()))
            .await
    }

    async fn changes(&self, held: &[DataCentreHash]) -> Result<Changes, CallError> {
        let (state, clock, held) = (self.state.clone(), *self.gate.clock(), held.to_vec());
        self.gate
            .call(move || lock(&state).listing(clock.now()).changes(&held))
            .await
    }
}
