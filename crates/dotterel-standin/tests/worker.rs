//! The worker fake follows the contract of `dotterel_platform::upstream`.

use bytes::Bytes;
use dotterel_kernel::{Clock, Epoch, Incarnation, JobId, Millis, Size, TaskId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, CallError, Grant, Owner, Refusal, RenewRequest, RenewResponse,
    StartRequest, StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};
use dotterel_standin::{FakeWorker, checker};

const TTL: Millis = Millis(3000);
const TASK_TTL: Millis = Millis(10_000);

fn owner(node: &str) -> Owner {
    Owner {
        node: node.into(),
        incarnation: Incarnation(1),
    }
}

fn slots(count: u32) -> Size {
    Size {
        slots: count,
        ..Size::ZERO
    }
}

fn worker() -> FakeWorker {
    let clock = Clock::starting_at(Millis(1_000_000));
    FakeWorker::new("w1".into(), slots(2), clock)
}

async fn acquire_lease(worker: &FakeWorker, node: &str) -> AcquireResponse {
    let request = AcquireRequest {
        owner: owner(node),
        ttl: TTL,
    };
    worker.acquire(&request).await.expect("no fault is set")
}

async fn grant(worker: &FakeWorker, node: &str) -> Grant {
    match acquire_lease(worker, node).await {
        AcquireResponse::Granted(grant) => grant,
        held @ AcquireResponse::Held { .. } => panic!("{held:?}"),
    }
}

fn start(epoch: Epoch) -> StartRequest {
    StartRequest {
        epoch,
        task: TaskId::generate(),
        request: None,
        job: None,
        service: "quotes".into(),
        class: "roof".into(),
        size: slots(1),
        task_ttl: TASK_TTL,
        timeout: Millis::secs(3600),
    }
}

fn body(run_ms: u64) -> Bytes {
    format!("{{\"run_ms\":{run_ms}}}").into()
}

fn renewal(epoch: Epoch, tasks: &[TaskId], forget: &[TaskId]) -> RenewRequest {
    RenewRequest {
        epoch,
        ttl: TTL,
        tasks: tasks.to_vec(),
        task_ttl: TASK_TTL,
        forget: forget.to_vec(),
    }
}

async fn advance_time(time: Millis) {
    tokio::time::advance(time.duration()).await;
}

#[tokio::test(start_paused = true)]
async fn a_run_answers_with_its_body() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;

    let outcome = worker.run(&start(epoch), body(40)).await;

    let Ok(StartResponse::Finished(answer)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((answer.status, answer.body), (200, body(40)));
}

#[tokio::test(start_paused = true)]
async fn a_lease_has_one_holder_until_it_expires() {
    let worker = worker();
    let first = grant(&worker, "a").await;

    let early = acquire_lease(&worker, "b").await;
    advance_time(TTL).await;
    let late = grant(&worker, "b").await;

    let left = TTL;
    let by = owner("a");
    assert_eq!(early, AcquireResponse::Held { by, left });
    assert!(late.epoch > first.epoch);
}

#[tokio::test(start_paused = true)]
async fn a_stale_epoch_is_rejected() {
    let worker = worker();
    let old = grant(&worker, "a").await.epoch;
    advance_time(TTL).await;
    let newest = grant(&worker, "b").await.epoch;

    let launched = worker.launch(&start(old), body(1)).await;
    let renewed = worker.renew(&renewal(old, &[], &[])).await;
    let signalled = worker
        .signal(old, TaskId::generate(), TaskSignal::Throttle)
        .await;

    let refusal = Refusal::StaleEpoch { newest };
    assert_eq!(launched, Ok(StartResponse::Refused(refusal)));
    assert_eq!(renewed, Ok(RenewResponse::Lost { newest }));
    assert!(matches!(signalled, Err(CallError::Unavailable(_))));
}

#[tokio::test(start_paused = true)]
async fn an_expired_lease_starts_no_task_even_without_a_new_holder() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    advance_time(TTL).await;

    let launched = worker.launch(&start(epoch), body(1)).await;

    let refusal = Refusal::StaleEpoch { newest: epoch };
    assert_eq!(launched, Ok(StartResponse::Refused(refusal)));
}

#[tokio::test(start_paused = true)]
async fn a_full_worker_rejects_tasks() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    for _ in 0..2 {
        let launched = worker.launch(&start(epoch), body(5000)).await;
        assert_eq!(launched, Ok(StartResponse::Accepted));
    }

    let third = worker.launch(&start(epoch), body(5000)).await;

    assert_eq!(third, Ok(StartResponse::Refused(Refusal::Full)));
    assert_eq!(checker::over_capacity(&[worker]), []);
}

#[tokio::test(start_paused = true)]
async fn a_barred_task_never_starts() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let start = start(epoch);

    let stopped = worker.stop(start.task).await;
    let launched = worker.launch(&start, body(1)).await;

    assert_eq!(stopped, Ok(StopResponse::Barred));
    assert_eq!(launched, Ok(StartResponse::Refused(Refusal::Stopped)));
    assert_eq!(worker.state(start.task).await, Ok(TaskState::Barred));
}

#[tokio::test(start_paused = true)]
async fn a_known_task_never_starts_again() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let start = start(epoch);
    let first = worker.run(&start, body(5)).await;
    let renewed = worker.renew(&renewal(epoch, &[], &[start.task])).await;

    let again = worker.launch(&start, body(5)).await;
    advance_time(TTL).await;
    let stale = worker.launch(&start, body(5)).await;

    assert!(matches!(first, Ok(StartResponse::Finished(_))));
    assert!(matches!(renewed, Ok(RenewResponse::Done(_))));
    assert_eq!(again, Ok(StartResponse::Refused(Refusal::Seen)));
    assert_eq!(stale, Ok(StartResponse::Refused(Refusal::Seen)));
    assert_eq!(worker.stop(start.task).await, Ok(StopResponse::Cut));
}

#[tokio::test(start_paused = true)]
async fn a_task_stops_when_its_lease_expires() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let (with_renewal, without_renewal) = (start(epoch), start(epoch));
    for start in [&with_renewal, &without_renewal] {
        worker
            .launch(start, body(60_000))
            .await
            .expect("no fault is set");
    }
    advance_time(TTL - Millis(1)).await;
    worker
        .renew(&renewal(epoch, &[with_renewal.task], &[]))
        .await
        .expect("no fault is set");

    advance_time(TASK_TTL - TTL + Millis(1)).await;

    assert_eq!(
        worker.state(with_renewal.task).await,
        Ok(TaskState::Running)
    );
    assert_eq!(worker.state(without_renewal.task).await, Ok(TaskState::Cut));
}

#[tokio::test(start_paused = true)]
async fn only_the_named_successor_acquires_a_released_lease() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    worker
        .release(epoch, Some(&"b".into()))
        .await
        .expect("no fault is set");

    let other = acquire_lease(&worker, "c").await;
    let successor = acquire_lease(&worker, "b").await;

    assert!(matches!(other, AcquireResponse::Held { by, .. } if by.node.as_str() == "b"));
    assert!(matches!(successor, AcquireResponse::Granted(_)));
}

#[tokio::test(start_paused = true)]
async fn a_grant_lists_the_running_tasks() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let start = start(epoch);
    worker
        .launch(&start, body(60_000))
        .await
        .expect("no fault is set");
    advance_time(TTL).await;

    let next = grant(&worker, "b").await;

    let listed: Vec<_> = next.running.iter().map(|r| (r.task, r.age)).collect();
    assert_eq!(listed, [(start.task, TTL)]);
}

#[tokio::test(start_paused = true)]
async fn epochs_grow_across_a_restart() {
    let worker = worker();
    let first = grant(&worker, "a").await;
    let start = start(first.epoch);
    worker
        .launch(&start, body(60_000))
        .await
        .expect("no fault is set");

    worker.restart();
    let next = grant(&worker, "b").await;

    assert!(next.epoch > first.epoch);
    assert_eq!(next.running, []);
    assert_eq!(worker.state(start.task).await, Ok(TaskState::Cut));
}

#[tokio::test(start_paused = true)]
async fn a_delayed_start_is_rejected_under_a_newer_epoch() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    worker.set_faults(|faults| faults.delay = TTL + Millis(1));
    let start = start(epoch);

    let timed_out =
        tokio::time::timeout(Millis(10).duration(), worker.launch(&start, body(1))).await;
    worker.set_faults(|faults| faults.delay = Millis::ZERO);
    advance_time(TTL).await;
    grant(&worker, "b").await;
    tokio::time::sleep(Millis(10).duration()).await;

    assert!(timed_out.is_err());
    assert_eq!(worker.state(start.task).await, Ok(TaskState::Unseen));
    assert_eq!(checker::runs(&[worker]), []);
}

#[tokio::test(start_paused = true)]
async fn a_call_takes_effect_although_its_reply_is_lost() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    worker.set_faults(|faults| faults.lose_answers = 1);
    let start = start(epoch);

    let launched = worker.launch(&start, body(60_000)).await;

    assert!(matches!(launched, Err(CallError::Unknown(_))));
    assert_eq!(worker.state(start.task).await, Ok(TaskState::Running));
}

#[tokio::test(start_paused = true)]
async fn faults_can_be_limited_to_one_caller() {
    let worker = worker();
    worker.set_faults(|faults| faults.cut.push("a".into()));
    let request = AcquireRequest {
        owner: owner("a"),
        ttl: TTL,
    };

    let cut = worker.for_caller("a").acquire(&request).await;
    let other = worker.for_caller("b").acquire(&request).await;

    assert!(matches!(cut, Err(CallError::NotSent(_))));
    assert!(matches!(other, Ok(AcquireResponse::Granted(_))));
}

#[tokio::test(start_paused = true)]
async fn a_checkpointed_task_resumes_where_it_stopped() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let job = Some(JobId::generate());
    let (first, second) = (start(epoch), start(epoch));
    let [first, second] = [first, second].map(|start| StartRequest { job, ..start });
    worker
        .launch(&first, body(2500))
        .await
        .expect("no fault is set");
    advance_time(Millis(2000)).await;

    worker
        .signal(epoch, first.task, TaskSignal::Checkpoint)
        .await
        .expect("the lease is held");
    worker
        .launch(&second, body(2500))
        .await
        .expect("no fault is set");
    advance_time(Millis(500)).await;

    assert_eq!(worker.state(first.task).await, Ok(TaskState::Cut));
    let state = worker.state(second.task).await;
    assert!(matches!(state, Ok(TaskState::Finished(_))));
}

#[tokio::test(start_paused = true)]
async fn the_checker_finds_overlapping_and_repeated_runs() {
    let workers = [worker(), worker()];
    let request = Some(dotterel_kernel::RequestId::generate());
    for worker in &workers {
        let epoch = grant(worker, "a").await.epoch;
        let start = StartRequest {
            request,
            ..start(epoch)
        };
        worker
            .launch(&start, body(60_000))
            .await
            .expect("no fault is set");
    }

    assert_eq!(checker::overlapping_runs(&workers).len(), 1);
    let unrepeatable: Vec<_> = request.into_iter().collect();
    assert_eq!(checker::repeated_runs(&workers, &unrepeatable).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_renewal_reports_an_ended_task_without_its_body() {
    let worker = worker();
    let epoch = grant(&worker, "a").await.epoch;
    let start = start(epoch);
    let ran = worker.run(&start, body(1)).await;
    assert!(matches!(ran, Ok(StartResponse::Finished(_))), "{ran:?}");

    let renewed = worker.renew(&renewal(epoch, &[], &[])).await;

    let Ok(RenewResponse::Done(granted)) = renewed else {
        panic!("{renewed:?}");
    };
    let TaskState::Finished(reported) = &granted.tasks[0].state else {
        panic!("{granted:?}");
    };
    assert_eq!((reported.status, reported.body.len()), (200, 0));
    let state = worker.state(start.task).await.expect("no fault is set");
    assert!(matches!(state, TaskState::Finished(full) if full.body == body(1)));
}
