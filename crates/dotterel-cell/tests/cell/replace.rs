//! Runs that fail or are on a silent VM, beside VMs with free capacity.

use dotterel_cell::{JobId, JobRecord, JobState, Order, RunOutcome, VmKey};

use crate::support::{Bench, Start, ended, gang, independent_tasks, running, task};

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
    let mut bench = Bench::new(3);
    bench.submit(1, record);
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    (bench, start)
}

/// Lets time pass while the VM of `start` is silent and the others report their runs. Returns the
/// orders of that time.
fn silence(bench: &mut Bench, start: &Start, steps: u64) -> Vec<Order> {
    let vm_index = bench.index_of(start.vm);
    let mut orders = Vec::new();
    for _ in 0..steps {
        bench.advance(200);
        for index in (0..bench.vms.len()).filter(|index| *index != vm_index) {
            bench.report_runs(index, 50);
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

/// Pattern: VMs lose power; their tasks wait for a whole lease although copies are allowed.
#[test]
fn a_copy_starts_before_the_lease_of_a_silent_vm_expires() {
    let (mut bench, lost) = with_running(speculative());

    let orders = silence(&mut bench, &lost, 12);

    let copies = starts(&orders);
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0].vm, lost.vm);
    assert_eq!(copies[0].run, 2);
}

#[test]
fn a_lost_poll_starts_no_copy() {
    let (mut bench, silent) = with_running(speculative());

    let orders = silence(&mut bench, &silent, 8);

    assert!(starts(&orders).is_empty());
}

#[test]
fn a_task_without_copies_waits_for_the_lease_of_a_silent_vm() {
    let (mut bench, lost) = with_running(one_task());

    let orders = silence(&mut bench, &lost, 12);

    assert!(starts(&orders).is_empty(), "it may still run there");
}

#[test]
fn the_first_copy_that_is_done_counts_and_the_other_is_stopped() {
    let (mut bench, silent) = with_running(speculative());
    let copy = starts(&silence(&mut bench, &silent, 12)).remove(0);
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
    let copy = starts(&silence(&mut bench, &silent, 12)).remove(0);
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
    let copy = starts(&silence(&mut bench, &silent, 12)).remove(0);

    bench.cell.cancel(JobId(1), bench.now);
    bench.commit_all();

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

    assert!(!bench.vm(vm_index).accepts_task(bench.now));
}

/// Returns a VM that has been ejected while a task that lasts runs on it, once its ejection is over.
fn ejected_under_a_lasting_task() -> Bench {
    let mut bench = Bench::new(1);
    let mut record = independent_tasks(1, 1000);
    record.spec.steps[0].long_running = true;
    bench.submit(1, record);
    bench.submit(2, independent_tasks(3, 1000));
    bench.commit_all();
    bench.plan();
    assert_eq!(bench.confirm_starts().len(), 4);
    bench.advance(300);
    let ends: Vec<_> = (0..3u32)
        .map(|index| ended(u64::from(index) + 1, task(2, index), 1, RunOutcome::Failed))
        .collect();
    bench.report(0, &[running(task(1, 0), 1, 100)], &ends);
    assert!(!bench.vm(0).accepts_task(bench.now));
    bench.advance(2100);
    bench.report(0, &[running(task(1, 0), 1, 100)], &[]);
    bench
}

/// Guards against jobs that stay queued with room free: an ejected VM got its probe only once it ran
/// nothing, which never happens under a task that lasts.
#[test]
fn an_ejected_vm_is_probed_beside_a_task_that_lasts() {
    let mut bench = ejected_under_a_lasting_task();

    bench.plan();
    let probe = bench.confirm_starts();
    bench.plan();
    let beside = bench.take_starts();

    assert_eq!(probe.len(), 1);
    assert!(beside.is_empty(), "the probe has not shown anything yet");
}

/// Guards against gangs that wait for good for the only VM that may run them: a probe of one task would
/// never let all members start.
#[test]
fn a_gang_may_be_the_probe_of_an_ejected_vm() {
    let mut bench = ejected_under_a_lasting_task();
    bench.cell.cancel(JobId(2), bench.now);
    bench.submit(3, gang(4, 1000));
    bench.commit_all();

    bench.plan();

    assert_eq!(bench.confirm_starts().len(), 4);
}

#[test]
fn a_probe_that_lasts_shows_that_its_vm_is_sound() {
    let mut bench = ejected_under_a_lasting_task();
    let mut record = independent_tasks(1, 1000);
    record.spec.steps[0].long_running = true;
    record.policy.priority = 0;
    bench.submit(3, record);
    bench.commit_all();
    bench.plan();
    let probe = bench.confirm_starts();
    assert_eq!((probe.len(), probe[0].task.job), (1, JobId(3)));

    bench.advance(3100);
    bench.report_runs(0, 100);
    bench.plan();

    assert_eq!(bench.take_starts().len(), 3);
}
