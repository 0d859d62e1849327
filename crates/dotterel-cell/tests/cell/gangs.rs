//! Gangs that need much capacity at once, competing with urgent and less urgent work.

use dotterel_cell::{AdviceRequest, JobId, JobRecord, VmKey};
use dotterel_kernel::Millis;

use crate::support::{
    Bench, advice_requests, answer, gang, record, size, starts, step, with_advice, with_slow_advice,
};

const CORE: u32 = 1000;

/// Returns a job whose tasks need `cores` cores each.
fn tasks(priority: u8, count: u32, cores: u32, estimate: u64) -> JobRecord {
    let mut step = step(count, estimate);
    step.size = size(cores * CORE, 1024);
    record(priority, vec![step])
}

/// Returns a gang whose members need `cores` cores each.
fn wide_gang(count: u32, cores: u32, estimate: u64) -> JobRecord {
    let mut record = gang(count, estimate);
    record.spec.steps[0].size = size(cores * CORE, 1024);
    record
}

/// Returns a cell whose VMs are nearly full, with three gangs that lack capacity.
fn nearly_full() -> Bench {
    let mut bench = Bench::new(4);
    bench.submit(1, tasks(0, 4, 30, 60_000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    for id in 2..5 {
        bench.submit(id, wide_gang(4, 20, 3000));
    }
    bench.commit_all();
    for _ in 0..2 {
        bench.advance(50);
        bench.report_running(1);
        bench.plan();
    }
    bench.take_starts();
    bench
}

#[test]
fn work_with_slack_waits_while_gangs_lack_capacity() {
    let mut bench = nearly_full();

    bench.submit(9, tasks(2, 1, 1, 1000));
    bench.commit_all();
    bench.plan();

    assert!(bench.take_starts().is_empty());
}

#[test]
fn work_without_slack_runs_beside_gangs_that_lack_capacity() {
    let mut bench = nearly_full();
    let mut tight = tasks(2, 1, 1, 1000);
    tight.policy.stretch_pct = 100;
    tight.policy.allowance = Millis(100);

    bench.submit(9, tight);
    bench.commit_all();
    bench.plan();

    let started = bench.take_starts();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, JobId(9));
}

#[test]
fn urgent_tasks_avoid_reserved_capacity_if_possible() {
    let mut bench = Bench::new(3);
    bench.cell.adviser_joined(1);
    bench.submit(1, with_advice(wide_gang(2, 20, 3000)));
    bench.commit_all();
    bench.plan();
    let first = advice_requests(&bench.cell.take_orders()).remove(0);
    let allowed = [bench.vms[0], bench.vms[1]];
    answer(&mut bench, &first, &allowed, 10);
    // The tickets have expired, so they are renewed while the capacity is reserved.
    bench.advance(300);
    bench.report_running(0);
    bench.plan();
    let renewal = advice_requests(&bench.cell.take_orders()).remove(0);

    bench.submit(2, tasks(0, 1, 20, 500));
    bench.commit_all();
    bench.plan();
    let urgent = bench.confirm_starts();
    answer(&mut bench, &renewal, &allowed, 2500);
    bench.plan();
    let members = bench.take_starts();

    assert_eq!(urgent.len(), 1);
    assert!(!allowed.contains(&urgent[0].vm));
    assert_eq!(members.len(), 2);
}

#[test]
fn waiting_gangs_make_few_advice_calls() {
    const GANGS: u64 = 20;
    let mut bench = Bench::new(60);
    for adviser in 0..10 {
        bench.cell.adviser_joined(adviser);
    }
    bench.submit(1, tasks(0, 60, 30, 60_000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    for id in 10..10 + GANGS {
        bench.submit(id, with_slow_advice(wide_gang(10, 10, 3000), 450, 6000));
    }
    bench.commit_all();

    let mut in_flight: Vec<(Millis, AdviceRequest)> = Vec::new();
    let mut calls = 0;
    for _ in 0..200 {
        bench.advance(25);
        bench.report_running(1);
        let now = bench.now;
        let (due, later) = in_flight.into_iter().partition(|(at, _)| *at <= now);
        in_flight = later;
        for (_, request) in due {
            let approved: Vec<VmKey> = request.vms.iter().copied().step_by(3).collect();
            answer(&mut bench, &request, &approved, 2500);
        }
        bench.plan();
        let orders = bench.cell.take_orders();
        assert!(starts(&orders).is_empty(), "there is no free capacity");
        for request in advice_requests(&orders) {
            calls += 1;
            in_flight.push((now + request.cost, request));
        }
    }

    assert!(calls <= 3 * GANGS, "{calls} calls for {GANGS} gangs in 5 s");
}

#[test]
fn a_gang_whose_members_failed_on_all_allowed_vms_is_not_stuck() {
    let mut bench = Bench::new(2);
    let mut record = wide_gang(2, 20, 3000);
    record.policy.max_attempts = 4;
    bench.submit(1, record);
    bench.commit_all();
    bench.plan();
    let first = bench.confirm_starts();
    for (number, start) in (1..).zip(&first) {
        let end = crate::support::ended(number, start.task, 1, dotterel_cell::RunOutcome::Failed);
        let at = bench.index_of(start.vm);
        bench.report(at, &[], &[end]);
    }
    bench.advance(50);
    bench.report_running(0);

    bench.plan();

    assert_eq!(bench.take_starts().len(), 2);
}

#[test]
fn a_backlog_of_independent_tasks_names_many_vms_per_call() {
    let mut bench = Bench::new(60);
    for adviser in 0..4 {
        bench.cell.adviser_joined(adviser);
    }
    bench.submit(1, tasks(0, 60, 30, 60_000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.submit(2, with_slow_advice(tasks(1, 25, 2, 2000), 100, 1400));
    bench.commit_all();

    bench.plan();

    let calls = advice_requests(&bench.cell.take_orders());
    let named: usize = calls.iter().map(|request| request.vms.len()).sum();
    assert!(named >= 30, "{named} VMs in {} calls", calls.len());
}

/// Returns how many of four tasks of 12 cores start beside a gang of `members` of the same size, in a cell
/// that has room for eight.
fn started_beside_waiting_gang(members: u32, lasts: bool) -> usize {
    let mut bench = Bench::new(4);
    let mut blocker = tasks(1, 4, 4, 600_000);
    blocker.spec.steps[0].max_per_vm = 1;
    blocker.spec.steps[0].long_running = lasts;
    bench.submit(1, blocker);
    bench.submit(2, wide_gang(members, 12, 500));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.submit(3, tasks(2, 4, 12, 3000));
    bench.commit_all();
    let mut started = 0;
    for _ in 0..10 {
        bench.advance(100);
        bench.report_running(1);
        bench.plan();
        let starts = bench.confirm_starts();
        started += starts
            .iter()
            .filter(|start| start.task.job == JobId(3))
            .count();
    }
    started
}

/// Guards against capacity that is kept idle for good for a gang larger than the cell, or than what tasks that
/// last leave of it.
#[test]
fn no_capacity_is_kept_for_a_gang_that_never_fits() {
    assert_eq!(started_beside_waiting_gang(40, false), 4);
    assert_eq!(started_beside_waiting_gang(9, true), 4);
}

/// Guards against a gang that starves behind other work although the cell is large enough.
#[test]
fn capacity_is_kept_for_a_gang_that_fits_once_others_have_ended() {
    let mut bench = Bench::new(4);
    let mut blocker = tasks(1, 1, 20, 600_000);
    blocker.spec.steps[0].max_per_vm = 1;
    bench.submit(1, blocker);
    bench.submit(2, wide_gang(8, 12, 500));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.submit(3, tasks(2, 4, 12, 3000));
    bench.commit_all();
    bench.advance(100);
    bench.report_running(1);
    bench.plan();

    assert_eq!(bench.take_starts().len(), 0);
}
