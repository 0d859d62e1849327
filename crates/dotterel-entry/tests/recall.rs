//! What a node tells of tasks that others sent it.

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

fn refused() -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::NotRun(Reason::Refused),
        attempt: None,
    }
}

#[test]
fn a_task_that_was_asked_for_before_it_came_never_begins() {
    let recall = ReceivedTasks::default();
    let task = TaskId::generate();

    let told = recall.query(task, Millis(10), NOW);

    assert_eq!(told, TaskStatus::Done(refused()));
    assert!(!recall.begin(task, NOW + Millis(5)));
}

#[test]
fn a_task_begins_once_and_is_pending_until_it_is_settled() {
    let recall = ReceivedTasks::default();
    let task = TaskId::generate();

    let first = recall.begin(task, NOW);
    let again = recall.begin(task, NOW);
    let open = recall.query(task, DAY, NOW + DAY);
    recall.settle(task, ran(3), NOW + DAY);

    assert!(first && !again);
    assert_eq!(open, TaskStatus::Pending);
    assert_eq!(recall.query(task, DAY, NOW + DAY), TaskStatus::Done(ran(3)));
}

#[test]
fn a_task_forgotten_long_ago_is_not_told_as_not_run() {
    let recall = ReceivedTasks::default();
    let task = TaskId::generate();
    let began = recall.begin(task, NOW);
    recall.settle(task, ran(3), NOW);
    recall.settle(TaskId::generate(), ran(1), NOW + DAY);

    let told = recall.query(task, DAY, NOW + DAY);

    assert!(began);
    assert_eq!(told, TaskStatus::Forgotten);
}

#[test]
fn answers_beyond_the_bound_are_dropped_without_a_false_word() {
    let recall = ReceivedTasks::default();
    let tasks: Vec<TaskId> = (0..40).map(|_| TaskId::generate()).collect();
    for task in &tasks {
        assert!(recall.begin(*task, NOW));
        recall.settle(*task, ran(1 << 20), NOW);
    }

    let told = recall.query(tasks[0], Millis(10), NOW);

    let TaskStatus::Done(done) = told else {
        panic!("the task itself stays known: {told:?}");
    };
    assert_eq!(done.verdict, Verdict::Unknown);
}
