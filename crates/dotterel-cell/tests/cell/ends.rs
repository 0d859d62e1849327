//! Ends of runs: lists that are cut off, and ends of runs that aren't current.

use crate::support::{Bench, Start, ended, gang, independent_tasks, running, starts, step, task};
use dotterel_cell::{JobId, JobRecord, JobState, Order, ReportedEnd, RunOutcome, Step, TaskName};
use dotterel_kernel::Millis;

/// Ends that a VM lists at most in these tests.
const PAGE_ENDS: usize = 3;

/// Returns a bench with one VM on which `count` tasks of job 1 run, for longer than a stop takes.
fn with_running_tasks(vms: usize, count: u32) -> Bench {
    let mut bench = Bench::new(vms);
    bench.submit(1, independent_tasks(count, 60_000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.advance(700);
    bench.report_running(10);
    bench
}

fn done_ends(indices: std::ops::Range<u32>) -> Vec<ReportedEnd> {
    let end = |index| ended(u64::from(index) + 1, task(1, index), 1, RunOutcome::Done);
    indices.map(end).collect()
}

/// Has the VM list the first page of these ends that aren't acknowledged, and nothing as running.
fn report_first_page(bench: &mut Bench, ends: &[ReportedEnd]) {
    let acked = bench.vm(0).durable_end;
    let left: Vec<ReportedEnd> = ends
        .iter()
        .filter(|end| end.number > acked)
        .cloned()
        .collect();
    let page = &left[..left.len().min(PAGE_ENDS)];
    bench.report_page(0, &[], page, left.len() >= PAGE_ENDS);
}

// Guards against a second start of tasks whose ends are beyond the first page while the store is away.
#[test]
fn runs_whose_ends_may_be_cut_off_are_not_lost() {
    let mut bench = with_running_tasks(1, 8);
    let ends = done_ends(0..8);

    for _ in 0..10 {
        bench.advance(500);
        report_first_page(&mut bench, &ends);
        bench.cell.tick(bench.now);
        bench.plan();
    }
    let while_store_is_away = bench.take_starts();
    for _ in 0..4 {
        bench.advance(500);
        bench.commit_all();
        report_first_page(&mut bench, &ends);
        bench.cell.tick(bench.now);
        bench.plan();
    }
    bench.commit_all();

    assert_eq!(
        while_store_is_away,
        [],
        "their ends may be on the next page"
    );
    assert_eq!(bench.take_starts(), []);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
}

// Guards against stops and ejection of VMs for runs that only show no progress as they have ended.
#[test]
fn capacity_of_runs_with_unlisted_ends_is_free() {
    let mut bench = with_running_tasks(1, 8);
    let ends = done_ends(0..8);

    for _ in 0..10 {
        bench.advance(500);
        report_first_page(&mut bench, &ends);
        bench.cell.tick(bench.now);
    }
    let orders = bench.cell.take_orders();

    assert_eq!(orders, [], "nothing runs that could be stopped");
    assert_eq!(bench.vm(0).runs.len(), 5);
    assert_eq!(bench.vm(0).free(), bench.vm(0).info.capacity);
}

// Guards against runs that are kept for good when their end never follows.
#[test]
fn a_run_absent_from_a_complete_list_is_lost() {
    let mut bench = with_running_tasks(1, 4);
    bench.advance(500);
    bench.report_page(0, &[], &done_ends(0..3), true);

    bench.advance(500);
    bench.report(0, &[], &done_ends(0..3));
    bench.plan();

    let restarted: Vec<u32> = bench
        .take_starts()
        .iter()
        .map(|start| start.task.index)
        .collect();
    assert_eq!(restarted, [3]);
}

/// Returns a successor that restores job 1 with eight tasks, all of which are done on its VM 0.
fn successor_with_done_tasks() -> Bench {
    let mut bench = Bench::successor(2);
    let record = independent_tasks(8, 60_000);
    bench.cell.restore_job(JobId(1), record, None, 0, bench.now);
    bench.advance(10);
    bench
}

// Guards against starts by a successor that has read only the first page of a VM's ends.
#[test]
fn a_successor_waits_for_complete_lists_of_ends() {
    let mut bench = successor_with_done_tasks();
    let ends = done_ends(0..8);

    // The store is slow for longer than the successor waits for silent VMs.
    for _ in 0..20 {
        bench.advance(500);
        bench.report(1, &[], &[]);
        report_first_page(&mut bench, &ends);
        bench.extend_lease(bench.vms[0]);
        bench.cell.tick(bench.now);
        bench.plan();
    }
    let before = bench.take_starts();
    for _ in 0..4 {
        bench.advance(500);
        bench.commit_all();
        bench.report(1, &[], &[]);
        report_first_page(&mut bench, &ends);
        bench.cell.tick(bench.now);
        bench.plan();
    }
    bench.commit_all();

    assert_eq!(before, [], "later ends are not known yet");
    assert_eq!(bench.take_starts(), []);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
}

// Guards against a recovery that never ends as a VM is lost before it has listed all its ends.
#[test]
fn a_successor_does_not_wait_for_ends_of_a_lost_vm() {
    let mut bench = successor_with_done_tasks();
    report_first_page(&mut bench, &done_ends(0..8));

    for percent in 0..40 {
        bench.advance(500);
        bench.commit_all();
        bench.report_runs(1, percent);
        bench.cell.tick(bench.now);
        bench.plan();
    }
    let mut started: Vec<u32> = bench
        .take_starts()
        .iter()
        .map(|start| start.task.index)
        .collect();
    started.sort_unstable();

    assert_eq!(started, [3, 4, 5, 6, 7]);
}

// Guards against idle VMs while a successor waits for the rest of their ends.
#[test]
fn new_jobs_start_on_a_vm_with_a_cut_off_list() {
    let mut bench = Bench::successor(1);
    bench.advance(10);
    bench.report_page(0, &[], &done_ends(0..3), true);
    bench.submit(2, independent_tasks(1, 1000));
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.advance(600);
    bench.report_page(0, &[], &done_ends(0..3), true);

    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

/// Returns a successor of two VMs that has started a task which an earlier term had run on VM 0, as
/// VM 0 has not replied in time, and the new start.
fn successor_that_started_again(record: JobRecord) -> (Bench, Vec<Start>) {
    let mut bench = Bench::successor(2);
    bench.cell.restore_job(JobId(1), record, None, 0, bench.now);
    for _ in 0..20 {
        bench.advance(500);
        bench.report_runs(1, 10);
        bench.cell.tick(bench.now);
        bench.commit_all();
    }
    bench.plan();
    let starts = bench.confirm_starts();
    (bench, starts)
}

fn stops(orders: &[Order]) -> Vec<(TaskName, u32)> {
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop { task, run, .. } => Some((*task, *run)),
        _ => None,
    });
    stops.collect()
}

// Guards against a second run that goes on to its end although the first one is done.
#[test]
fn a_late_done_of_an_earlier_run_completes_the_task() {
    let (mut bench, starts) = successor_that_started_again(independent_tasks(1, 60_000));

    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    let acked_early = bench.vm(0).durable_end;
    bench.advance(300);
    bench.commit_all();
    let orders = bench.cell.take_orders();

    assert_eq!(starts.len(), 1);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(stops(&orders), [(task(1, 0), starts[0].run)]);
    assert_eq!((acked_early, bench.vm(0).durable_end), (0, 1));
}

// Guards against later steps that wait for the second run of a task that is done.
#[test]
fn a_late_done_of_one_task_leaves_the_others_running() {
    let (mut bench, starts) = successor_that_started_again(independent_tasks(3, 60_000));

    bench.report(0, &[], &[ended(1, task(1, 1), 1, RunOutcome::Done)]);
    bench.advance(300);
    bench.commit_all();
    let orders = bench.cell.take_orders();

    assert_eq!(starts.len(), 3);
    assert_eq!(stops(&orders), [(task(1, 1), starts[1].run)]);
    assert_eq!(bench.vm(0).durable_end, 1);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Running));
}

// Guards against a gang that runs again although a member of its earlier run is done.
#[test]
fn a_late_done_of_a_gang_member_stops_the_later_run() {
    let mut record = gang(2, 60_000);
    record.spec.steps.push(Step {
        after: vec![0],
        ..step(1, 60_000)
    });
    let (mut bench, starts) = successor_that_started_again(record);

    bench.report(0, &[], &[ended(1, task(1, 1), 1, RunOutcome::Done)]);
    bench.advance(300);
    bench.commit_all();
    let orders = bench.cell.take_orders();
    bench.plan();
    let next = bench.take_starts();

    let run = starts[0].run;
    assert_eq!(stops(&orders), [(task(1, 0), run), (task(1, 1), run)]);
    assert_eq!(next.len(), 1, "the step after the gang starts");
    assert_eq!(next[0].task.step, 1);
}

// Guards against an attempt too many when an earlier run turns out to have failed.
#[test]
fn a_late_failure_counts_and_ends_a_job_without_attempts_left() {
    let mut record = independent_tasks(1, 60_000);
    record.policy.max_attempts = 1;
    let (mut bench, starts) = successor_that_started_again(record);

    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.commit_all();
    let orders = bench.cell.take_orders();

    assert_eq!(stops(&orders), [(task(1, 0), starts[0].run)]);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Failed));
}

// Guards against a job shown as failed for a run that failed after another one was done.
#[test]
fn a_failure_after_the_task_is_done_does_not_fail_the_job() {
    let mut record = independent_tasks(2, 60_000);
    record.policy.max_attempts = 1;
    let (mut bench, starts) = successor_that_started_again(record);
    let done = ended(1, task(1, 0), starts[0].run, RunOutcome::Done);

    bench.report(1, &[running(task(1, 1), starts[1].run, 20)], &[done]);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.advance(300);
    bench.commit_all();

    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Running));
}

// Guards against an acknowledged end of a task whose other, counted end is lost with its VM.
#[test]
fn an_end_without_effect_waits_until_the_one_that_counted_is_durable() {
    let (mut bench, starts) = successor_that_started_again(independent_tasks(2, 60_000));
    let done = ended(1, task(1, 0), starts[0].run, RunOutcome::Done);
    bench.report(1, &[running(task(1, 1), starts[1].run, 20)], &[done]);

    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    let early = bench.vm(0).durable_end;
    bench.advance(300);
    bench.commit_all();

    assert_eq!((early, bench.vm(0).durable_end), (0, 1));
}

/// Returns a job with a round every minute, of which the first was due before the clock of the bench.
fn repeating(rounds: u32) -> JobRecord {
    let mut record = independent_tasks(1, 60_000);
    record.spec.repeats = rounds;
    record.spec.first_due = Millis(999_000);
    record.spec.period = Millis::secs(60);
    record
}

fn task_of_round(round: u32) -> TaskName {
    TaskName {
        round,
        ..task(1, 0)
    }
}

// Guards against a second run of a round that the earlier leader, whose clock was ahead, has started.
#[test]
fn an_end_of_a_round_that_is_not_due_yet_counts() {
    let mut bench = Bench::successor(1);
    bench
        .cell
        .restore_job(JobId(1), repeating(2), None, 0, bench.now);
    bench.advance(10);

    let done = [
        ended(1, task_of_round(0), 1, RunOutcome::Done),
        ended(2, task_of_round(1), 1, RunOutcome::Done),
    ];
    bench.report(0, &[], &done);
    bench.advance(300);
    bench.commit_all();

    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(bench.vm(0).durable_end, 2);
}

// Guards against a stop of a round that the earlier leader, whose clock was ahead, has started.
#[test]
fn a_running_task_of_a_round_that_is_not_due_yet_is_adopted() {
    let mut bench = Bench::successor(1);
    bench
        .cell
        .restore_job(JobId(1), repeating(3), None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(task_of_round(1), 1, 30)], &[]);
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();
    let orders = bench.cell.take_orders();

    let started: Vec<u32> = starts(&orders)
        .iter()
        .map(|start| start.task.round)
        .collect();
    assert_eq!(started, [0], "round 1 runs, and round 2 is not due");
    assert_eq!(stops(&orders), []);
}

// Guards against a task that waits for good, or a run number used twice, after reports in odd order.
#[test]
fn an_end_of_a_later_run_leaves_the_adopted_run_current() {
    let mut bench = Bench::successor(2);
    let mut record = independent_tasks(1, 60_000);
    record.policy.max_attempts = 3;
    bench.cell.restore_job(JobId(1), record, None, 0, bench.now);
    bench.advance(10);
    bench.report(0, &[running(task(1, 0), 1, 30)], &[]);
    bench.report(1, &[], &[ended(1, task(1, 0), 2, RunOutcome::Failed)]);

    bench.advance(600);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Stopped)]);
    bench.report(1, &[], &[]);
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

// Guards against a run number that is used twice: its VM refuses it, and a failure would not count.
#[test]
fn run_numbers_rise_after_an_earlier_run_was_adopted() {
    let mut record = independent_tasks(1, 60_000);
    record.policy.max_attempts = 3;
    let (mut bench, starts) = successor_that_started_again(record);
    let first = starts[0].run;
    bench.report(1, &[], &[ended(1, task(1, 0), first, RunOutcome::Failed)]);
    bench.report(0, &[running(task(1, 0), 1, 30)], &[]);

    bench.advance(600);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Stopped)]);
    bench.report(1, &[], &[]);
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();

    let runs: Vec<u32> = bench.take_starts().iter().map(|start| start.run).collect();
    assert_eq!(runs, [first + 1]);
}
