//! Tests of worker leases on the holder's side, and of single dispatches.

use crate::checks;
use crate::node::{Sent, start};
use dotterel_coord::{
    AcquireOutcome, DispatchOutcome, DispatchTimeouts, Held, LaunchStatus, Permit, RawTerms,
    RenewOutcome, RenewalBatch, Terms, WorkerLease, dispatch, launch,
};
use dotterel_kernel::{Clock, Epoch, Incarnation, Millis, RequestId, Size, TaskId};
use dotterel_platform::{Owner, Refusal, RenewRequest, Upstream};
use dotterel_standin::FakeWorker;

const CAPACITY: Size = Size {
    slots: 1_000,
    ..Size::ZERO
};

fn fixture() -> (Clock, FakeWorker) {
    let clock = Clock::starting_at(Millis(1_000_000));
    (clock, FakeWorker::new("w".into(), CAPACITY, clock))
}

fn sent(run_ms: u64) -> Sent {
    Sent {
        request: RequestId::generate(),
        task: TaskId::generate(),
        vm: "w".into(),
        run_ms,
        outcome: None,
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

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

/// Starts a task every 10 ms while the lease gives permits; returns the number of tasks.
async fn launch_until_expiry(
    lease: &WorkerLease<Held>,
    worker: &FakeWorker,
    clock: &Clock,
) -> usize {
    worker.set_faults(|faults| faults.answer_delay = Millis::ZERO);
    let mut count = 0;
    while let Some(permit) = lease.permit(clock.now()) {
        let body = "{\"run_ms\":1}".into();
        let timeouts = DispatchTimeouts::default();
        let launched = launch(worker, permit, start(&sent(1)), body, clock, &timeouts).await;
        assert_eq!(launched, LaunchStatus::Running);
        count += 1;
        sleep_ms(10).await;
    }
    count
}

fn stale_epoch_refusals(worker: &FakeWorker) -> usize {
    checks::count_refusals(worker, |refusal| {
        matches!(refusal, Refusal::StaleEpoch { .. })
    })
}

#[tokio::test(start_paused = true)]
async fn the_lease_ttl_starts_before_a_slow_acquire_call() {
    let (clock, worker) = fixture();
    worker.set_faults(|faults| faults.answer_delay = Millis(500));
    let lease = acquire(&worker, &clock).await;

    let started = launch_until_expiry(&lease, &worker, &clock).await;

    assert!(started > 0);
    assert_eq!(stale_epoch_refusals(&worker), 0);
}

#[tokio::test(start_paused = true)]
async fn the_lease_ttl_starts_before_a_slow_renew_call() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    worker.set_faults(|faults| faults.answer_delay = Millis(500));
    let RenewOutcome::Held(lease, _) = renew(lease, &worker, &clock).await else {
        panic!("the lease has not expired");
    };

    let started = launch_until_expiry(&lease, &worker, &clock).await;

    assert!(started > 0);
    assert_eq!(stale_epoch_refusals(&worker), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lease_about_to_expire_gives_no_permit_until_it_is_renewed() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    let old_permit = lease
        .permit(clock.now())
        .expect("the lease was just acquired");

    sleep_ms(Terms::default().ttl().0 - 1).await;

    assert_eq!(lease.permit(clock.now()), None);
    assert_eq!(old_permit.epoch(clock.now()), None);
    let RenewOutcome::Held(lease, _) = renew(lease, &worker, &clock).await else {
        panic!("the lease has not expired on the VM");
    };
    assert!(lease.permit(clock.now()).is_some());
}

#[tokio::test(start_paused = true)]
async fn an_expired_lease_is_not_renewed() {
    let (clock, worker) = fixture();
    let lease = acquire(&worker, &clock).await;
    let epoch = lease.epoch();

    sleep_ms(Terms::default().ttl().0 + 1).await;

    match renew(lease, &worker, &clock).await {
        RenewOutcome::Lost(expired) => assert_eq!(expired.epoch(), epoch),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_error_in_the_terms_names_the_field() {
    let raw = RawTerms {
        task_ttl_ms: 5_000,
        ..RawTerms::default()
    };

    let err =
        Terms::try_from(raw).expect_err("tasks would expire before a successor acquires the lease");

    assert_eq!(
        err.to_string(),
        "task_ttl_ms is 5000, allowed is 9000 to 600000"
    );
    assert_eq!(Terms::try_from(RawTerms::default()), Ok(Terms::default()));
}

async fn permit(worker: &FakeWorker, clock: &Clock) -> Permit {
    let lease = acquire(worker, clock).await;
    lease
        .permit(clock.now())
        .expect("the lease was just acquired")
}

#[tokio::test(start_paused = true)]
async fn a_duplicate_start_is_not_reported_as_not_run() {
    let (clock, worker) = fixture();
    let permit = permit(&worker, &clock).await;
    let sent = sent(300);
    let body = "{\"run_ms\":300}";
    let timeouts = DispatchTimeouts::default();
    launch(
        &worker,
        permit,
        start(&sent),
        body.into(),
        &clock,
        &timeouts,
    )
    .await;

    let outcome = dispatch(
        &worker,
        permit,
        start(&sent),
        body.into(),
        &clock,
        &timeouts,
    )
    .await;

    let outcome = Sent {
        outcome: Some(outcome),
        ..sent
    };
    assert!(
        checks::outcome_matches_runs(&outcome, &[worker]),
        "{outcome:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn the_outcome_of_a_forgotten_task_is_unknown() {
    let (clock, worker) = fixture();
    let permit = permit(&worker, &clock).await;
    let sent = sent(700);
    let worker_clone = worker.clone();
    let renewal = RenewRequest {
        epoch: permit.epoch(clock.now()).unwrap_or(Epoch::default()),
        ttl: Millis(3_000),
        tasks: Vec::new(),
        task_ttl: Millis(15_000),
        forget: vec![sent.task],
    };
    tokio::spawn(async move {
        sleep_ms(600).await;
        worker_clone.set_faults(|faults| faults.mute.push("*".into()));
        sleep_ms(150).await;
        worker_clone.set_faults(|faults| faults.mute.clear());
        worker_clone
            .renew(&renewal)
            .await
            .expect("no fault is injected");
    });

    let body = "{\"run_ms\":700}".into();
    let timeouts = DispatchTimeouts::default();
    let outcome = dispatch(&worker, permit, start(&sent), body, &clock, &timeouts).await;

    assert_eq!(outcome, DispatchOutcome::Unknown);
}
