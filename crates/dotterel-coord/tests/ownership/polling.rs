//! Test of the interval at which the state of a running task is polled.

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

/// Forwards calls to a worker and records when the state of a task was polled.
struct RecordingWorker {
    worker: FakeWorker,
    clock: Clock,
    polled_at: Mutex<Vec<Millis>>,
}

#[async_trait]
impl Upstream for RecordingWorker {
    async fn acquire(&self, request: &AcquireRequest) -> Result<AcquireResponse, CallError> {
        self.worker.acquire(request).await
    }

    async fn renew(&self, renewal: &RenewRequest) -> Result<RenewResponse, CallError> {
        self.worker.renew(renewal).await
    }

    async fn release(&self, epoch: Epoch, successor: Option<&NodeId>) -> Result<(), CallError> {
        self.worker.release(epoch, successor).await
    }

    async fn run(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        self.worker.run(start, body).await
    }

    async fn launch(&self, start: &StartRequest, body: Bytes) -> Result<StartResponse, CallError> {
        self.worker.launch(start, body).await
    }

    async fn state(&self, task: TaskId) -> Result<TaskState, CallError> {
        let now = self.clock.now();
        self.polled_at
            .lock()
            .expect("the lock is not poisoned")
            .push(now);
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
async fn the_poll_interval_grows_with_the_run_time_of_a_task() {
    let clock = Clock::starting_at(Millis(1_000_000));
    let capacity = Size {
        slots: 1_000,
        ..Size::ZERO
    };
    let recorder = RecordingWorker {
        worker: FakeWorker::new("w".into(), capacity, clock),
        clock,
        polled_at: Mutex::default(),
    };
    let owner = Owner {
        node: "a".into(),
        incarnation: Incarnation(1),
    };
    let lease = WorkerLease::new(owner, Terms::default());
    let AcquireOutcome::Held(lease, _) = lease.acquire(&recorder, &clock).await else {
        panic!("no other node requests the lease");
    };
    let permit = lease
        .permit(clock.now())
        .expect("the lease was just acquired");
    let sent = Sent {
        request: RequestId::generate(),
        task: TaskId::generate(),
        vm: "w".into(),
        run_ms: RUN_MS,
        outcome: None,
    };
    let timeouts = DispatchTimeouts::default();
    let started_at = clock.now();

    let body = format!("{{\"run_ms\":{RUN_MS}}}").into();
    let outcome = dispatch(&recorder, permit, start(&sent), body, &clock, &timeouts).await;

    assert!(matches!(outcome, DispatchOutcome::Ran(_)), "{outcome:?}");
    let polled_at = recorder.polled_at.lock().expect("the lock is not poisoned");
    assert!(!polled_at.is_empty());
    for pair in polled_at.windows(2) {
        let quarter =
            Millis((pair[0] - started_at).0 / 4).min(Millis(timeouts.settle_timeout.0 / 2));
        assert_eq!(
            pair[1] - pair[0],
            quarter.max(timeouts.poll_interval),
            "{polled_at:?}"
        );
    }
}
