//! Bounds on the preemption of runs that can resume.

use dotterel_cell::{JobId, JobRecord, Order, RunOutcome};

use crate::support::{Bench, ended, record, size, step, task};

/// Returns a job whose tasks need almost a whole VM each.
fn wide(priority: u8, count: u32, estimate: u64) -> JobRecord {
    let mut wide = step(count, estimate);
    wide.size = size(30_000, 4096);
    wide.checkpoint = true;
    record(priority, vec![wide])
}

/// Returns a cell whose VMs are full of runs that have lasted for 1.5 s and can resume.
fn full(vms: u32, estimate: u64) -> Bench {
    let mut bench = Bench::new(vms as usize);
    bench.submit(9, wide(3, vms, estimate));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.advance(1500);
    bench.report_running(15);
    bench
}

/// Submits an urgent job and returns how many runs are stopped for it within half a second.
fn stops_for_urgent(bench: &mut Bench, id: u64, count: u32, percent: u8) -> usize {
    bench.submit(id, wide(0, count, 60_000));
    bench.commit_all();
    stops_within_half_a_second(bench, percent)
}

fn stops_within_half_a_second(bench: &mut Bench, percent: u8) -> usize {
    let mut stops = 0;
    for _ in 0..5 {
        bench.advance(100);
        bench.report_running(percent);
        bench.plan();
        // Stops wait until the store names their VMs.
        bench.commit_all();
        let orders = bench.cell.take_orders();
        let is_stop = |order: &&Order| matches!(order, Order::Stop { .. });
        stops += orders.iter().filter(is_stop).count();
    }
    stops
}

/// Load: urgent work on a full VM whose run is about to end. Guards against stops that free the capacity no
/// sooner than the end would.
#[test]
fn a_run_that_ends_soon_is_not_preempted() {
    let mut nearly_done = full(1, 10_000);
    let mut half_done = full(1, 10_000);

    assert_eq!(stops_for_urgent(&mut nearly_done, 1, 1, 99), 0);
    assert_eq!(stops_for_urgent(&mut half_done, 1, 1, 50), 1);
}

/// Load: urgent jobs one after the other on a full VM. Guards against a run that is stopped again and again
/// with hardly any progress in between.
#[test]
fn a_run_that_has_just_resumed_is_not_preempted() {
    let mut bench = full(1, 60_000);
    assert_eq!(stops_for_urgent(&mut bench, 1, 1, 15), 1);
    let mut stopped = ended(1, task(9, 0), 1, RunOutcome::Stopped);
    stopped.saved = "state".into();
    bench.report(0, &[], &[stopped]);
    bench.plan();
    bench.confirm_starts();
    bench.cell.cancel(JobId(1), bench.now);
    let end = ended(2, task(1, 0), 1, RunOutcome::Stopped);
    bench.report(0, &[], &[end]);
    bench.commit_all();
    bench.plan();
    assert_eq!(bench.confirm_starts().len(), 1, "it resumes");

    bench.advance(1500);
    assert_eq!(stops_for_urgent(&mut bench, 2, 1, 20), 0);
    bench.advance(1500);
    assert_eq!(stops_within_half_a_second(&mut bench, 25), 1);
}

/// Load: urgent jobs keep coming while all VMs are full. Guards against so many runs being stopped at a time
/// that a good part of the cell does no work: a stop takes up to a second.
#[test]
fn no_more_runs_are_preempted_while_many_are_being_stopped() {
    let mut bench = full(4, 60_000);
    let first = stops_for_urgent(&mut bench, 1, 1, 15);
    let second = stops_for_urgent(&mut bench, 2, 1, 15);

    assert_eq!(
        (first, second),
        (1, 0),
        "a quarter of the cell is being stopped"
    );
}
