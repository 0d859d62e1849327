//! The bound on the memory of jobs.

use std::mem::size_of;

use dotterel_cell::cell::RefusalGround;
use dotterel_cell::job::{Job, StepState, Task};
use dotterel_cell::{JobId, JobRecord, JobState, Submitted};
use dotterel_kernel::Millis;

use crate::support::{Bench, independent_tasks, record, step};

/// A job of 200,000 tasks, which takes more than half of what the jobs of a cell may.
fn largest_job() -> JobRecord {
    record(1, vec![step(20_000, 1000); 10])
}

fn is_full(submitted: Submitted) -> bool {
    matches!(submitted, Submitted::Refused(refusal)
        if matches!(refusal.ground, RefusalGround::OpenJobs { .. }))
}

/// Guards against accepting more than the machine holds, and against refusals that outlast their cause.
#[test]
fn jobs_beyond_the_memory_are_refused() {
    let mut bench = Bench::new(1);
    assert_eq!(bench.submit(1, largest_job()), Submitted::New);
    assert!(is_full(bench.submit(2, largest_job())));
    assert_eq!(bench.submit(3, independent_tasks(1, 1000)), Submitted::New);
    bench.commit_all();
    assert_eq!(bench.submit(1, largest_job()), Submitted::Known);
    assert_eq!(bench.cell.state(JobId(2)), None, "it was refused");

    bench.cell.cancel(JobId(1), bench.now);
    bench.commit_all();
    bench.advance(1000);
    assert_eq!(bench.submit(2, largest_job()), Submitted::New);
}

/// Guards against a successor that gives up accepted jobs, as it holds more than it would accept.
#[test]
fn a_successor_keeps_all_jobs() {
    let mut bench = Bench::successor(1);
    for id in 1..=3 {
        bench
            .cell
            .restore_job(JobId(id), largest_job(), None, 0, bench.now);
    }
    bench.advance(1000);
    for id in 1..=3 {
        assert_eq!(bench.cell.state(JobId(id)), Some(JobState::Queued));
    }
    assert!(is_full(bench.submit(4, independent_tasks(1, 1000))));
}

/// Guards against schedules that grow after they were accepted: each of them opens dozens of rounds once they
/// are due, if no round can begin.
#[test]
fn schedules_open_few_rounds_while_the_memory_is_full() {
    const SCHEDULES: u64 = 1000;
    const DUE_AFTER: Millis = Millis::secs(5);
    let mut bench = Bench::new(0);
    let mut schedule = record(1, vec![step(1, 1000); 20]);
    schedule.spec.repeats = 1000;
    schedule.spec.period = Millis(1);
    schedule.spec.first_due = bench.now + DUE_AFTER;
    for id in 0..SCHEDULES {
        assert_eq!(bench.submit(id, schedule.clone()), Submitted::New);
    }
    bench.commit_all();
    bench.advance(DUE_AFTER.0 + 2000);
    for _ in 0..5 {
        bench.cell.tick(bench.now);
        bench.advance(300);
    }

    // One round of each schedule is opened all the same.
    let rounds: usize = bench.cell.jobs().map(|job| job.rounds.len()).sum();
    let bytes: usize = bench.cell.jobs().map(Job::held_bytes).sum();
    assert!(bytes <= 25 << 20, "{bytes} bytes, {rounds} rounds");
    assert!(bench.cell.jobs().all(|job| !job.rounds.is_empty()));
}

/// Guards against ended jobs that are known for a while, and keep what only open ones need.
#[test]
fn ended_jobs_take_little() {
    let mut bench = Bench::new(1);
    let steps = vec![step(1, 1000); 256];
    bench.submit(1, record(1, steps));
    bench.commit_all();
    let open = bench.cell.job(JobId(1)).map(Job::held_bytes);
    assert!(open > Some(64 * 1024), "{open:?}");

    bench.cell.cancel(JobId(1), bench.now);
    bench.commit_all();

    let job = bench.cell.job(JobId(1)).expect("it is known for a while");
    assert!(job.held_bytes() < 1024, "{}", job.held_bytes());
    assert!(job.remaining.is_empty());
    assert_eq!(job.remaining_from(0), Millis::ZERO);
}

/// Guards against fields that each of hundreds of thousands of tasks pays for.
#[test]
fn tasks_and_steps_that_have_not_run_are_small() {
    assert!(size_of::<Task>() <= 64, "{}", size_of::<Task>());
    assert!(size_of::<StepState>() <= 96, "{}", size_of::<StepState>());
}
