//! VMs are never given more than they hold.

use dotterel_cell::JobState;
use dotterel_cell::record::EndRecord;
use dotterel_kernel::Millis;

use crate::support::{self, Bench, ended, independent_tasks, running, task, vm_info};
use dotterel_cell::{JobId, RunOutcome, StartAnswer};

#[test]
fn a_stopping_run_occupies_capacity_until_its_end_is_reported() {
    let mut bench = Bench::new(1);
    let mut wide = independent_tasks(1, 5000);
    wide.spec.steps[0].size = support::size(30_000, 4096);
    bench.submit(1, wide.clone());
    bench.submit(2, wide);
    bench.commit_all();
    bench.plan();
    let started = bench.confirm_starts();
    let first = started[0].task.job;
    bench.cell.cancel(first, bench.now);
    bench.advance(20);
    bench
        .cell
        .stop_answered(bench.vms[0], started[0].task, 1, bench.now);
    bench.advance(50);

    // While being stopped, the run occupies capacity without being listed.
    bench.report(0, &[], &[]);
    bench.plan();
    let early = bench.take_starts();
    bench.report(
        0,
        &[],
        &[ended(1, task(first.0, 0), 1, RunOutcome::Stopped)],
    );
    bench.plan();
    let late = bench.take_starts();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}

#[test]
fn an_unanswered_start_occupies_capacity_until_it_is_stopped() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    let start = bench.take_starts().remove(0);
    let vm_index = bench.index_of(start.vm);

    bench
        .cell
        .start_answered(start.vm, start.task, 1, StartAnswer::Unknown, bench.now);
    bench.plan();
    let early = bench.take_starts();
    let used = bench.vm(vm_index).used;
    bench.cell.stop_answered(start.vm, start.task, 1, bench.now);
    bench.advance(800);
    bench.report_running(0);
    bench.report(vm_index, &[], &[]);
    bench.plan();
    let late = bench.take_starts();

    assert!(early.is_empty(), "the start may still be carried out");
    assert_eq!(used, support::size(2000, 4096));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].run, 2);
    assert_eq!(late[0].task.job, JobId(1));
}

#[test]
fn a_run_of_an_ended_job_occupies_the_whole_vm() {
    let mut bench = Bench::with_term(0, 2);
    let key = bench.cell.vm_listed(vm_info(0), bench.now);
    bench.vms.push(key);
    let end = EndRecord {
        state: JobState::Cancelled,
        ended_at: Millis(1),
        queue: "queue-1".into(),
    };
    bench.cell.restore_ended_job(JobId(9), &end, 0, bench.now);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.advance(10);
    let leftover = running(task(9, 0), 1, 40);
    bench.report(0, std::slice::from_ref(&leftover), &[]);
    bench.commit_all();
    bench.advance(600);
    bench.report(0, &[leftover], &[]);

    bench.plan();
    let early = bench.take_starts();
    bench.report(0, &[], &[ended(1, task(9, 0), 1, RunOutcome::Stopped)]);
    bench.plan();
    let late = bench.take_starts();

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
}
