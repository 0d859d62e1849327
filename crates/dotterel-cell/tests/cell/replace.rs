//! Runs that fail, are far too slow or on a silent VM, beside VMs with free capacity.

use dotterel_cell::{JobId, JobRecord, JobState, Order, RunOutcome, VmKey};

use crate::support::{Bench, Start, ended, independent_tasks, running, task};

fn one_task() -> JobRecord {
    independent_tasks(1, 1000)
}

fn speculative() -> JobRecord {
    let mut record = one_task();
    record.spec.steps[0].speculative = true;
    record
}

/// Returns a cell of three VMs with a running task, and its start order.
fn with_running(record: JobRecord) -> (Bench, Start) {
    with_jobs(1, &record)
}

/// Returns a cell of three VMs with several jobs of one task, all on the same VM, and the start order
/// of the first.
fn with_jobs(count: u64, record: &JobRecord) -> (Bench, Start) {
    let mut bench = Bench::new(3);
    for id in 1..=count {
        bench.submit(id, record.clone());
    }
    bench.commit_all();
    bench.plan();
    let starts = bench.confirm_starts();
    assert!(starts.iter().all(|start| start.vm == starts[0].vm));
    let first = starts.into_iter().find(|start| start.task.job == JobId(1));
    (bench, first.expect("the first job has started"))
}

/// Lets time pass while the VM of `start` reports `percent`, or nothing, and the others report their
/// runs. Returns the orders of that time.
fn pass(bench: &mut Bench, start: &Start, steps: u64, percent: Option<u8>) -> Vec<Order> {
    let vm_index = bench.index_of(start.vm);
    let mut orders = Vec::new();
    for _ in 0..steps {
        bench.advance(200);
        for index in 0..bench.vms.len() {
            match percent {
                Some(percent) if index == vm_index => bench.report_runs(index, percent),
                None if index == vm_index => {}
                _ => bench.report_runs(index, 50),
            }
        }
        bench.cell.tick(bench.now);
        bench.plan();
        orders.extend(bench.cell.take_orders());
    }
    orders
}

fn stops(orders: &[Order]) -> Vec<(VmKey, u32, &'static str)> {
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop {
            vm, run, reason, ..
        } => Some((*vm, *run, *reason)),
        _ => None,
    });
    stops.collect()
}

fn starts(orders: &[Order]) -> Vec<Start> {
    crate::support::starts(orders)
}

/// Pattern: a few VMs turn slow, and urgent tasks take seconds there while others are idle.
#[test]
fn new_tasks_go_to_other_vms_than_a_slow_one() {
    let (mut bench, slow) = with_jobs(2, &independent_tasks(1, 10_000));
    pass(&mut bench, &slow, 20, Some(2));
    bench.submit(9, independent_tasks(2, 1000));
    bench.commit_all();

    bench.plan();

    let placed = bench.take_starts();
    assert_eq!(placed.len(), 2);
    assert!(placed.iter().all(|start| start.vm != slow.vm));
}

#[test]
fn a_task_on_a_slow_vm_is_stopped_and_moved_once() {
    let (mut bench, slow) = with_jobs(2, &one_task());

    let orders = pass(&mut bench, &slow, 4, Some(5));
    let stopped = stops(&orders);
    let vm_index = bench.index_of(slow.vm);
    let end = |number, job| ended(number, task(job, 0), 1, RunOutcome::Stopped);
    bench.report(vm_index, &[], &[end(1, 1), end(2, 2)]);
    bench.plan();
    let moved = bench.confirm_starts();
    let later = pass(&mut bench, &moved[0], 4, Some(5));

    assert_eq!(stopped, [(slow.vm, 1, "VM too slow"); 2]);
    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|start| start.vm != slow.vm));
    assert!(stops(&later).is_empty(), "the estimate may be wrong");
}

#[test]
fn slow_tasks_of_a_single_job_stay() {
    let (mut bench, start) = with_running(independent_tasks(3, 1000));

    let orders = pass(&mut bench, &start, 4, Some(5));

    assert!(orders.is_empty(), "the job's estimate may be wrong");
}

#[test]
fn a_task_at_half_the_estimated_speed_stays() {
    let (mut bench, start) = with_running(one_task());

    let early = pass(&mut bench, &start, 4, Some(40));
    let late = pass(&mut bench, &start, 4, Some(75));

    assert!(early.is_empty() && late.is_empty());
}

/// Pattern: VMs lose power; their tasks wait for a whole lease although copies are allowed.
#[test]
fn a_copy_starts_before_the_lease_of_a_silent_vm_expires() {
    let (mut bench, lost) = with_running(speculative());

    let orders = pass(&mut bench, &lost, 10, None);

    let copies = starts(&orders);
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0].vm, lost.vm);
    assert_eq!(copies[0].run, 2);
}

#[test]
fn a_task_without_copies_waits_for_the_lease_of_a_silent_vm() {
    let (mut bench, lost) = with_running(one_task());

    let orders = pass(&mut bench, &lost, 10, None);

    assert!(starts(&orders).is_empty(), "it may still run there");
}

#[test]
fn the_first_copy_that_is_done_counts_and_the_other_is_stopped() {
    let (mut bench, silent) = with_running(speculative());
    let copy = starts(&pass(&mut bench, &silent, 10, None)).remove(0);
    let (first, second) = (bench.index_of(silent.vm), bench.index_of(copy.vm));
    bench.report(second, &[running(task(1, 0), 2, 50)], &[]);

    bench.report(first, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    bench.commit_all();
    let stopped = stops(&bench.cell.take_orders());

    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
    assert_eq!(stopped.len(), 1);
    assert_eq!((stopped[0].0, stopped[0].1), (copy.vm, 2));
}

#[test]
fn a_copy_goes_on_when_the_replaced_run_fails() {
    let (mut bench, silent) = with_running(speculative());
    let copy = starts(&pass(&mut bench, &silent, 10, None)).remove(0);
    let (first, second) = (bench.index_of(silent.vm), bench.index_of(copy.vm));
    bench.report(first, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.plan();
    let orders = bench.cell.take_orders();

    bench.report(second, &[], &[ended(1, task(1, 0), 2, RunOutcome::Done)]);
    bench.commit_all();

    assert!(starts(&orders).is_empty() && stops(&orders).is_empty());
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops_all_copies() {
    let (mut bench, silent) = with_running(speculative());
    let copy = starts(&pass(&mut bench, &silent, 10, None)).remove(0);

    bench.cell.cancel(JobId(1), bench.now);

    let mut stopped: Vec<VmKey> = stops(&bench.cell.take_orders())
        .into_iter()
        .map(|(vm, ..)| vm)
        .collect();
    stopped.sort_unstable();
    let mut both = vec![silent.vm, copy.vm];
    both.sort_unstable();
    assert_eq!(stopped, both);
}

/// Pattern: a VM fails all that it starts, is free again at once, and draws the next tasks.
#[test]
fn three_failed_tasks_of_one_job_eject_a_vm() {
    let (mut bench, start) = with_running(independent_tasks(3, 1000));
    let vm_index = bench.index_of(start.vm);
    let ends: Vec<_> = (0..3u32)
        .map(|index| ended(u64::from(index) + 1, task(1, index), 1, RunOutcome::Failed))
        .collect();

    bench.report(vm_index, &[], &ends);

    let health = &bench.vm(vm_index).health;
    assert!(!health.accepts_task(0, bench.now));
}
