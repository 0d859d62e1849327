//! The holder's side of the worker lease, and proofs of single dispatches.

use crate::judge;
use crate::node::{Sent, start};
use dotterel_coord::{
    AcquireOutcome, DispatchOutcome, DispatchTimeouts, Held, LaunchStatus, Permit, RawTerms,
    RenewOutcome, RenewalBatch, Terms, WorkerLease, dispatch, launch,
};
use dotterel_kernel::{Clock, Epoch, Incarnation, Millis, RequestId, Size, TaskId};
use dotterel_platform::{Owner, Refusal, RenewRequest, Upstream};
use dotterel_standin::FakeWorker;

const ROOM: Size = Size {
    slots: 1_000,
    ..Size::ZERO
};

fn fixture() -> (Clock, FakeWorker) {
    let clock = Clock::starting_at(Millis(1_000_000));
    (clock, FakeWorker::new("w".into(), ROOM, clock))
}

fn sent(run_ms: u64) -> Sent {
    Sent {
        request: RequestId::generate(),
        task: TaskId::generate(),
        vm: "w".into(),
        run_ms,
        told: None,
    }
}

async fn acquire(worker: &FakeWorker, clock: &Clock) -> WorkerLease<Held> {
    let owner = Owner {
        node: "a".into(),
        incarnation: Incarnation(1),
    };
    let lease = WorkerLease::new(owner, Terms::default());
    match lease.acquire(worker, clock).await {
        AcquireOutcome::Held(lease, _) => lease,
        other => panic!("{other:?}"),
    }
}

async fn renew(lease: WorkerLease<Held>, worker: &FakeWorker, clock: &Clock) -> RenewOutcome {
    lease.renew(worker, clock, RenewalBatch::default()).await
}

async fn pass(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

/// Starts a task every 10 ms as long as the lease gives permits; returns their number.
async fn use_up(lease: &WorkerLease<Held>, worker: &FakeWorker, clock: &Clock) -> usize {
    worker.set_faults(|faults| faults.answer_delay = Millis::ZERO);
    let mut count = 0;
    while let Some(permit) = lease.permit(clock.now()) {
        let body = "{\"run_ms\":1}".into();
        let limits = DispatchTimeouts::default();
        let launched = launch(worker, permit, start(&sent(1)), body, clock, &limits).await;
        assert_eq!(launched, LaunchStatus::Running);
        count += 1;
        pass(10).await;
    }
    count
}

fn stale(worker: &FakeWorker) -> usize {
    judge::refused(worker, |why| matches!(why, Refusal::StaleEpoch { .. }))
}

#[tokio::test(start_paused = true)]
async fn a_slow_grant_counts_from_before_the_call() {
    let (clock, worker) = fixture();
    worker.set_faults(|faults| faults.answer_delay = Millis(500));
    let lease = acquire(&worker, &clock).await;

    let started = use_up(&lease, &worker, &clock).await;

    assert!(started > 0);
    assert_eq!(stale(&worker), 0);
}

#[tokio::test(start_paused = true)]
async fn a_slow_renewal_counts_from_before_the_call() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    worker.set_faults(|faults| faults.answer_delay = Millis(500));
    let RenewOutcome::Held(lease, _) = renew(lease, &worker, &clock).await else {
        panic!("the lease is live");
    };

    let started = use_up(&lease, &worker, &clock).await;

    assert!(started > 0);
    assert_eq!(stale(&worker), 0);
}

#[tokio::test(start_paused = true)]
async fn after_a_pause_there_is_no_permit_until_a_renewal_is_answered() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    let before = lease.permit(clock.now()).expect("the lease is fresh");

    pass(Terms::default().ttl().0 - 1).await;

    assert_eq!(lease.permit(clock.now()), None);
    assert_eq!(before.epoch(clock.now()), None);
    let RenewOutcome::Held(lease, _) = renew(lease, &worker, &clock).await else {
        panic!("the VM still counts the lease as live");
    };
    assert!(lease.permit(clock.now()).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_lapsed_lease_is_not_renewed() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    let epoch = lease.epoch();

    pass(Terms::default().ttl().0 + 1).await;

    match renew(lease, &worker, &clock).await {
        RenewOutcome::Lost(lapsed) => assert_eq!(lapsed.epoch(), epoch),
        other => panic!("{other:?}"),
    }
}

#[test]
fn terms_name_the_field_at_fault() {
    let raw = RawTerms {
        task_ttl_ms: 5_000,
        ..RawTerms::default()
    };

    let fault = Terms::try_from(raw).expect_err("tasks would lapse before an heir comes");

    assert_eq!(
        fault.to_string(),
        "task_ttl_ms is 5000, allowed is 9000 to 600000"
    );
    assert_eq!(Terms::try_from(RawTerms::default()), Ok(Terms::default()));
}

async fn permit(worker: &FakeWorker, clock: &Clock) -> Permit {
    let lease = acquire(worker, clock).await;
    lease.permit(clock.now()).expect("the lease is fresh")
}

#[tokio::test(start_paused = true)]
async fn a_start_that_came_before_is_not_taken_for_a_refusal() {
    let (clock, worker) = fixture();
    let permit = permit(&worker, &clock).await;
    let sent = sent(300);
    let body = "{\"run_ms\":300}";
    let limits = DispatchTimeouts::default();
    launch(&worker, permit, start(&sent), body.into(), &clock, &limits).await;

    let told = dispatch(&worker, permit, start(&sent), body.into(), &clock, &limits).await;

    let told = Sent {
        told: Some(told),
        ..sent
    };
    assert!(judge::is_true(&told, &[worker]), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_forgotten_task_is_unknown() {
    let (clock, worker) = fixture();
    let permit = permit(&worker, &clock).await;
    let sent = sent(700);
    let forgetful = worker.clone();
    let renewal = RenewRequest {
        epoch: permit.epoch(clock.now()).unwrap_or(Epoch::default()),
        ttl: Millis(3_000),
        tasks: Vec::new(),
        task_ttl: Millis(15_000),
        forget: vec![sent.task],
    };
    tokio::spawn(async move {
        pass(600).await;
        forgetful.set_faults(|faults| faults.mute.push("*".into()));
        pass(150).await;
        forgetful.set_faults(|faults| faults.mute.clear());
        forgetful.renew(&renewal).await.expect("no fault is set");
    });

    let body = "{\"run_ms\":700}".into();
    let limits = DispatchTimeouts::default();
    let told = dispatch(&worker, permit, start(&sent), body, &clock, &limits).await;

    assert_eq!(told, DispatchOutcome::Unknown);
}
