//! A task has one run at a time, whichever leaders have started it.

use compact_str::CompactString;
use dotterel_cell::cell::Withheld;
use dotterel_cell::{JobId, JobRecord, JobState, RunOutcome, VmKey};

use crate::support::{Bench, ended, gang, independent_tasks, running, task};

/// Returns a successor with a job whose first task runs on the first VM, and which a former leader has started
/// on the second one as well after it had read that the first run has failed.
fn successor_with_two_runs(job: JobRecord) -> Bench {
    let mut bench = Bench::successor(3);
    bench.cell.restore_job(JobId(1), job, None, 0, bench.now);
    bench.advance(10);
    bench.report(0, &[running(task(1, 0), 1, 30)], &[]);
    bench.report(1, &[running(task(1, 0), 2, 0)], &[]);
    bench.report(2, &[], &[]);
    bench
}

/// Has the first run fail, and returns the VMs on which tasks start then.
fn starts_after_failure(bench: &mut Bench) -> Vec<VmKey> {
    bench.advance(5);
    let failed = ended(1, task(1, 0), 1, RunOutcome::Failed);
    bench.report(0, &[], &[failed]);
    starts(bench)
}

fn starts(bench: &mut Bench) -> Vec<VmKey> {
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();
    let starts = bench.take_starts();
    starts.iter().map(|start| start.vm).collect()
}

/// Guards against a task that runs twice as a failure and a takeover cross: both leaders started it again.
#[test]
fn a_task_waits_until_a_run_of_a_former_leader_has_stopped() {
    let mut bench = successor_with_two_runs(independent_tasks(1, 1000));
    let early = starts_after_failure(&mut bench);
    let key = bench.vms[1];
    bench.cell.stop_answered(key, task(1, 0), 2, bench.now);
    let stopping = starts(&mut bench);

    bench.advance(400);
    bench.report(1, &[], &[ended(1, task(1, 0), 2, RunOutcome::Stopped)]);
    let late = starts(&mut bench);

    assert_eq!((early, stopping), (vec![], vec![]));
    assert_eq!(late.len(), 1);
}

/// Guards against the same if the stop is lost: the VM was cut off just after its first report.
#[test]
fn a_task_waits_until_the_lease_of_a_run_of_a_former_leader_is_over() {
    let mut bench = successor_with_two_runs(independent_tasks(1, 1000));
    let lease = bench.cell.limits().lease_ttl;
    starts_after_failure(&mut bench);
    let report_others = |bench: &mut Bench| {
        bench.report(0, &[], &[]);
        bench.report(2, &[], &[]);
    };

    bench.advance(lease.0);
    report_others(&mut bench);
    let early = starts(&mut bench);
    bench.advance(500);
    report_others(&mut bench);
    let mut late = starts(&mut bench);
    // The lost run may have crashed its VM, so the start waits until its record is written.
    bench.advance(300);
    report_others(&mut bench);
    late.extend(starts(&mut bench));
    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
}

/// Guards against a task that is done by the run of a former leader, and starts again.
#[test]
fn a_task_that_a_run_of_a_former_leader_has_done_is_not_started() {
    let mut bench = successor_with_two_runs(independent_tasks(1, 1000));
    let early = starts_after_failure(&mut bench);

    bench.report(1, &[], &[ended(1, task(1, 0), 2, RunOutcome::Done)]);
    let late = starts(&mut bench);

    assert_eq!((early, late), (vec![], vec![]));
    assert!(bench.cell.state(JobId(1)).is_some_and(JobState::is_final));
}

/// Returns how many tasks start before and after the run of the former leader has stopped.
fn starts_around_stop(job: JobRecord) -> (usize, usize) {
    let mut bench = successor_with_two_runs(job);
    let early = starts_after_failure(&mut bench).len();
    bench.advance(400);
    bench.report(1, &[], &[ended(1, task(1, 0), 2, RunOutcome::Stopped)]);
    (early, starts(&mut bench).len())
}

/// Guards against the same for a gang: none of its members starts while a former run of one goes on.
#[test]
fn a_gang_waits_until_a_run_of_a_former_leader_has_stopped() {
    assert_eq!(starts_around_stop(gang(2, 1000)), (0, 2));
}

/// Guards against a task that lasts, which is started again however it ends.
#[test]
fn a_task_that_lasts_waits_until_a_run_of_a_former_leader_has_stopped() {
    let mut job = independent_tasks(1, 1000);
    job.spec.steps[0].long_running = true;

    assert_eq!(starts_around_stop(job), (0, 1));
}

/// Copies may run in parallel, so a task of which one run has failed doesn't wait for the other.
#[test]
fn a_task_that_may_have_copies_starts_beside_a_run_of_a_former_leader() {
    let mut job = independent_tasks(1, 1000);
    job.spec.steps[0].speculative = true;
    let mut bench = successor_with_two_runs(job);

    assert_eq!(starts_after_failure(&mut bench).len(), 1);
}

/// Guards against a start that waits in a VM's queue while another run of the task is found.
#[test]
fn a_queued_start_is_withheld_once_another_run_is_found() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    let start = bench.queue_starts().remove(0);
    let other = 1 - bench.index_of(start.vm);

    bench.report(other, &[running(task(1, 0), 7, 0)], &[]);
    let found = bench.authorize(&start);

    assert_eq!(found, Err(Withheld::OtherRun));
}

/// Returns a successor with a job, whose predecessor may have been stopping runs on the first VM.
fn successor_beside_stops() -> Bench {
    let mut bench = Bench::successor(2);
    let job = independent_tasks(1, 1000);
    bench.cell.restore_job(JobId(1), job, None, 0, bench.now);
    let stopping = [CompactString::from("vm-000")];
    bench.cell.restore_stop_list(&stopping);
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.report(1, &[], &[]);
    bench
}

/// Guards against a task that runs twice after a takeover: the run that the former leader was stopping is
/// listed neither as running nor as ended, and the task started on another VM.
#[test]
fn restored_tasks_wait_until_stops_of_the_former_leader_are_over() {
    let mut bench = successor_beside_stops();
    let early = starts(&mut bench);
    let left = bench.cell.awaited_stops(bench.vms[0], bench.now);

    bench.advance(left.expect("stops may be in progress").0);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Stopped)]);
    bench.advance(1);
    let late = starts(&mut bench);

    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
    assert_eq!(bench.cell.awaited_stops(bench.vms[0], bench.now), None);
}

/// New jobs have no runs of former leaders, and don't wait for their stops.
#[test]
fn new_jobs_start_beside_stops_of_the_former_leader() {
    let mut bench = successor_beside_stops();
    bench.submit(2, independent_tasks(1, 1000));
    bench.commit_all();

    assert_eq!(starts(&mut bench), [bench.vms[1]]);
}
