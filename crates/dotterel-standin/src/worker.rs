//! An in-memory worker that simulates tasks under leases.

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

use crate::event_log::LoggedEvent;
use crate::fault_injector::{FaultInjector, impl_faults, lock};
use crate::workload::{JsonWorkload, Workload};
use state::State;

pub use task::Checkpoints;

/// An in-memory [`Upstream`].
#[derive(Clone)]
pub struct FakeWorker {
    injector: FaultInjector,
    state: Arc<Mutex<State>>,
    /// Notified when a task may have ended before its due time, or got another due time.
    changed: Arc<Notify>,
    workload: Arc<dyn Workload>,
}

impl_faults!(FakeWorker);

impl FakeWorker {
    /// Returns a worker that runs [`JsonWorkload`].
    #[must_use]
    pub fn new(vm: VmId, capacity: Size, clock: Clock) -> Self {
        let state = State::new(vm, capacity, clock.now());
        Self {
            injector: FaultInjector::new(clock),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            workload: Arc::new(JsonWorkload),
        }
    }

    /// Returns a handle that starts tasks with another workload.
    #[must_use]
    pub fn with_workload(mut self, workload: impl Workload + 'static) -> Self {
        self.workload = Arc::new(workload);
        self
    }

    /// Makes the worker share checkpoints with others, so that it resumes their tasks.
    #[must_use]
    pub fn with_checkpoints(self, checkpoints: Checkpoints) -> Self {
        self.current_state().checkpoints = checkpoints;
        self
    }

    /// Returns the worker's name.
    #[must_use]
    pub fn vm(&self) -> VmId {
        lock(&self.state).vm.clone()
    }

    /// Returns the worker's capacity.
    #[must_use]
    pub fn capacity(&self) -> Size {
        lock(&self.state).capacity
    }

    /// Returns the sum of the sizes of the running tasks.
    #[must_use]
    pub fn used(&self) -> Size {
        self.current_state().used()
    }

    /// Returns all events logged so far.
    #[must_use]
    pub fn event_log(&self) -> Vec<LoggedEvent> {
        self.current_state().log.clone()
    }

    /// Turns the event log on or off; long load tests turn it off, because it grows without bound.
    pub fn set_logging(&self, logging: bool) {
        self.current_state().logging = logging;
    }

    /// Makes the worker refuse new tasks, or accept them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.current_state().set_leaving(leaving);
    }

    /// Restarts the worker: its lease and all running tasks end; it still refuses to start their ids again.
    pub fn restart(&self) {
        self.current_state().restart();
        self.changed.notify_waiters();
    }

    /// Locks the state and brings it up to the present time.
    fn current_state(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.advance_to(self.injector.clock().now());
        state
    }

    async fn call<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce(&mut State) -> T + Send + 'static,
    {
        let worker = self.clone();
        self.injector
            .call(move || {
                let reply = effect(&mut worker.current_state());
                worker.changed.notify_waiters();
                reply
            })
            .await
    }

    async fn start(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let (worker, start) = (self.clone(), start.clone());
        let effect = move || {
            let mut simulated = worker.workload.simulate(&start, &body);
            if worker.injector.faults().fail_tasks {
                simulated.run_time = Millis::ZERO;
                simulated.answer.status = 500;
            }
            let started = worker.current_state().start(&start, simulated);
            started.map_or_else(StartResponse::Refused, |()| StartResponse::Accepted)
        };
        self.injector.deliver_call(effect).await
    }

    /// Waits until a started task ends, and returns how it ended.
    async fn wait_for_end(&self, task: TaskId) -> StartResponse {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let due = match self.current_state().due(task) {
                Ok(due) => due,
                Err(ended) => return ended,
            };
            tokio::select! {
                () = changed => {}
                () = self.injector.clock().sleep_until(due) => {}
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
    async fn acquire(&self, request: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        let request = request.clone();
        self.call(move |state| state.acquire(&request)).await
    }

    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError> {
        let renewal = renewal.clone();
        self.call(move |state| state.renew(&renewal)).await
    }

    async fn release(&self, epoch: Epoch, successor: Option<&NodeId>) -> Result<(), CallError> {
        let successor = successor.cloned();
        self.call(move |state| state.release(epoch, successor))
            .await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let started = self.start(start, body).await?;
        let outcome = match started {
            StartResponse::Accepted => self.wait_for_end(start.task).await,
            other => other,
        };
        self.injector.deliver_reply().await?;
        Ok(outcome)
    }

    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        let started = self.start(start, body).await?;
        self.injector.deliver_reply().await?;
        Ok(started)
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
        self.call(move |state| state.signal(epoch, task, signal))
            .await?
            .map_err(|cause| CallError::Unavailable(cause.into()))
    }
}
