//! A task has one run at a time, whichever leaders have started it.

use compact_str::CompactString;
use dotterel_cell::{JobId, RunOutcome, VmKey};

use crate::support::{Bench, ended, independent_tasks, task};

fn starts(bench: &mut Bench) -> Vec<VmKey> {
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();
    let starts = bench.take_starts();
    starts.iter().map(|start| start.vm).collect()
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
