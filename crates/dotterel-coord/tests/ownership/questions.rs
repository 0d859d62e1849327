//! How often a VM is asked about a task that runs on.

use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_coord::{
    AcquireOutcome, DispatchOutcome, DispatchTimeouts, Terms, WorkerLease, dispatch,
};
use dotterel_kernel::{Clock, Epoch, Incarnation, Millis, NodeId, RequestId, Size, TaskId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, CallError, Owner, RenewRequest, RenewResponse, StartRequest,
    StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};
use dotterel_standin::FakeWorker;

use crate::node::{Sent, start};

const RUN_MS: u64 = 14_000;

/// A worker that notes when it is asked about a task.
struct Asked {
    worker: FakeWorker,
    clock: Clock,
    at: Mutex<Vec<Millis>>,
}

#[async_trait]
impl Upstream for Asked {
    async fn acquire(&self, ask: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        self.worker.acquire(ask).await
    }

    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError> {
        self.worker.renew(renewal).await
    }

    async fn release(&self, epoch: Epoch, heir: Option<&NodeId>) -> Result<(), CallError> {
        self.worker.release(epoch, heir).await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        self.worker.run(start, body).await
    }

    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        self.worker.launch(start, body).await
    }

    async fn state(&self, task: TaskId) -> Result<TaskState, CallError> {
        let now = self.clock.now();
        self.at.lock().expect("no holder panics").push(now);
        self.worker.state(task).await
    }

    async fn stop(&self, task: TaskId) -> Result<StopResponse, CallError> {
        self.worker.stop(task).await
    }

    async fn signal(
        &self,
        epoch: Epoch,
        task: TaskId,
        signal: TaskSignal,
    ) -> Result<(), CallError> {
        self.worker.signal(epoch, task, signal).await
    }
}

#[tokio::test(start_paused = true)]
async fn a_task_that_runs_on_is_asked_about_less_and_less() {
    let clock = Clock::starting_at(Millis(1_000_000));
    let room = Size {
        slots: 1_000,
        ..Size::ZERO
    };
    let asked = Asked {
        worker: FakeWorker::new("w".into(), room, clock),
        clock,
        at: Mutex::default(),
    };
    let owner = Owner {
        node: "a".into(),
        incarnation: Incarnation(1),
    };
    let lease = WorkerLease::new(owner, Terms::default());
    let AcquireOutcome::Held(lease, _) = lease.acquire(&asked, &clock).await else {
        panic!("nobody else asks");
    };
    let permit = lease.permit(clock.now()).expect("the lease is fresh");
    let sent = Sent {
        request: RequestId::generate(),
        task: TaskId::generate(),
        vm: "w".into(),
        run_ms: RUN_MS,
        told: None,
    };
    let limits = DispatchTimeouts::default();
    let began = clock.now();

    let body = format!("{{\"run_ms\":{RUN_MS}}}").into();
    let told = dispatch(&asked, permit, start(&sent), body, &clock, &limits).await;

    assert!(matches!(told, DispatchOutcome::Ran(_)), "{told:?}");
    let at = asked.at.lock().expect("no holder panics");
    assert!(!at.is_empty());
    for pair in at.windows(2) {
        let quarter = Millis((pair[0] - began).0 / 4).min(Millis(limits.settle_timeout.0 / 2));
        assert_eq!(
            pair[1] - pair[0],
            quarter.max(limits.poll_interval),
            "{at:?}"
        );
    }
}
