//! Queries about the outcomes of forwarded tasks.

use bytes::Bytes;
use dotterel_entry::messages::{TaskOutcome, Verdict};
use dotterel_entry::requests::{ReceivedTasks, TaskStatus};
use dotterel_kernel::{Millis, Reason, TaskId};
use dotterel_platform::TaskResponse;

const NOW: Millis = Millis::secs(1_000);
const DAY: Millis = Millis::secs(86_400);

fn ran(length: usize) -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::Ran(TaskResponse {
            status: 200,
            content_type: "text/plain".into(),
            body: Bytes::from(vec![0; length]),
        }),
        attempt: None,
    }
}

fn not_run() -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::NotRun(Reason::Refused),
        attempt: None,
    }
}

#[test]
fn a_task_that_is_queried_before_it_arrives_never_begins() {
    let received = ReceivedTasks::default();
    let task = TaskId::generate();

    let status = received.query(task, Millis(10), NOW);

    assert_eq!(status, TaskStatus::Done(not_run()));
    assert!(!received.begin(task, NOW + Millis(5)));
}

#[test]
fn a_task_begins_once_and_is_pending_until_it_is_settled() {
    let received = ReceivedTasks::default();
    let task = TaskId::generate();

    let first = received.begin(task, NOW);
    let repeat = received.begin(task, NOW);
    let running = received.query(task, DAY, NOW + DAY);
    received.settle(task, ran(3), NOW + DAY);

    assert!(first && !repeat);
    assert_eq!(running, TaskStatus::Pending);
    assert_eq!(
        received.query(task, DAY, NOW + DAY),
        TaskStatus::Done(ran(3))
    );
}

#[test]
fn a_task_whose_record_was_pruned_is_not_reported_as_not_run() {
    let received = ReceivedTasks::default();
    let task = TaskId::generate();
    let began = received.begin(task, NOW);
    received.settle(task, ran(3), NOW);
    received.settle(TaskId::generate(), ran(1), NOW + DAY);

    let status = received.query(task, DAY, NOW + DAY);

    assert!(began);
    assert_eq!(status, TaskStatus::Forgotten);
}

#[test]
fn a_task_whose_answer_was_dropped_is_reported_as_unknown() {
    let received = ReceivedTasks::default();
    let tasks: Vec<TaskId> = (0..40).map(|_| TaskId::generate()).collect();
    for task in &tasks {
        assert!(received.begin(*task, NOW));
        received.settle(*task, ran(1 << 20), NOW);
    }

    let status = received.query(tasks[0], Millis(10), NOW);

    let TaskStatus::Done(outcome) = status else {
        panic!("the task itself is still recorded: {status:?}");
    };
    assert_eq!(outcome.verdict, Verdict::Unknown);
}
