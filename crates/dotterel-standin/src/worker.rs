//! A worker that runs tasks under leases.

mod state;
mod task;

use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_kernel::{Clock, Epoch, Millis, NodeId, Size, TaskId, VmId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, CallError, RenewRequest, RenewResponse, StartRequest,
    StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};
use tokio::sync::Notify;

use crate::gate::{Gate, faulty, lock};
use crate::seen::Seen;
use crate::workload::{JsonWorkload, Workload};
use state::State;

pub use task::Checkpoints;

/// An [`Upstream`] in memory.
#[derive(Clone)]
pub struct FakeWorker {
    gate: Gate,
    state: Arc<Mutex<State>>,
    /// Told when a task may have ended before its due time.
    changed: Arc<Notify>,
    workload: Arc<dyn Workload>,
}

faulty!(FakeWorker);

impl FakeWorker {
    /// Returns a worker that runs [`JsonWorkload`].
    #[must_use]
    pub fn new(vm: VmId, capacity: Size, clock: Clock) -> Self {
        let state = State::new(vm, capacity, clock.now());
        Self {
            gate: Gate::new(clock),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            workload: Arc::new(JsonWorkload),
        }
    }

    /// Returns a handle whose starts run another workload.
    #[must_use]
    pub fn with_workload(mut self, workload: impl Workload + 'static) -> Self {
        self.workload = Arc::new(workload);
        self
    }

    /// Makes the worker resume tasks that other workers with the same store saved.
    #[must_use]
    pub fn with_checkpoints(self, checkpoints: Checkpoints) -> Self {
        self.settled().checkpoints = checkpoints;
        self
    }

    /// Returns the worker's name.
    #[must_use]
    pub fn vm(&self) -> VmId {
        lock(&self.state).vm.clone()
    }

    /// Returns what the worker can hold.
    #[must_use]
    pub fn capacity(&self) -> Size {
        lock(&self.state).capacity
    }

    /// Returns what runs on the worker now.
    #[must_use]
    pub fn used(&self) -> Size {
        self.settled().used()
    }

    /// Returns everything that the worker saw up to now.
    #[must_use]
    pub fn witness(&self) -> Vec<Seen> {
        self.settled().log.clone()
    }

    /// Says whether the worker keeps its log; long load runs do without.
    pub fn set_logging(&self, logging: bool) {
        self.settled().logging = logging;
    }

    /// Makes the worker refuse new work, or take it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.settled().set_leaving(leaving);
    }

    /// Restarts the worker: the lease and all running tasks end, task ids stay known.
    pub fn restart(&self) {
        self.settled().restart();
        self.changed.notify_waiters();
    }

    fn settled(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.settle(self.gate.clock().now());
        state
    }

    async fn call<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce(&mut State) -> T + Send + 'static,
    {
        let worker = self.clone();
        self.gate
            .call(move || {
                let answer = effect(&mut worker.settled());
                worker.changed.notify_waiters();
                answer
            })
            .await
    }

    async fn start(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let (worker, start) = (self.clone(), start.clone());
        let effect = move || {
            let mut work = worker.workload.work(&start, &body);
            if worker.gate.faults().fail_tasks {
                work.run = Millis::ZERO;
                work.answer.status = 500;
            }
            let begun = worker.settled().start(&start, work);
            begun.map_or_else(StartResponse::Refused, |()| StartResponse::Accepted)
        };
        self.gate.arrive(effect).await
    }

    /// Waits until a started task has ended.
    async fn ended(&self, task: TaskId) -> StartResponse {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let due = match self.settled().due(task) {
                Ok(due) => due,
                Err(ended) => return ended,
            };
            tokio::select! {
                () = changed => {}
                () = self.gate.clock().sleep_until(due) => {}
            }
        }
    }
}

impl std::fmt::Debug for FakeWorker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FakeWorker")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

#[async_trait]
impl Upstream for FakeWorker {
    async fn acquire(&self, ask: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        let ask = ask.clone();
        self.call(move |state| state.acquire(&ask)).await
    }

    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError> {
        let renewal = renewal.clone();
        self.call(move |state| state.renew(&renewal)).await
    }

    async fn release(&self, epoch: Epoch, heir: Option<&NodeId>) -> Result<(), CallError> {
        let heir = heir.cloned();
        self.call(move |state| state.release(epoch, heir)).await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let begun = self.start(start, body).await?;
        let outcome = match begun {
            StartResponse::Accepted => self.ended(start.task).await,
            other => other,
        };
        self.gate.reply().await?;
        Ok(outcome)
    }

    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let begun = self.start(start, body).await?;
        self.gate.reply().await?;
        Ok(begun)
    }

    async fn state(&self, task: TaskId) -> Result<TaskState, CallError> {
        self.call(move |state| state.state(task)).await
    }

    async fn stop(&self, task: TaskId) -> Result<StopResponse, CallError> {
        self.call(move |state| state.stop(task)).await
    }

    async fn signal(
        &self,
        epoch: Epoch,
        task: TaskId,
        signal: TaskSignal,
    ) -> Result<(), CallError> {
        self.call(move |state| state.press(epoch, task, signal))
            .await?
            .map_err(|why| CallError::Unavailable(why.into()))
    }
}
