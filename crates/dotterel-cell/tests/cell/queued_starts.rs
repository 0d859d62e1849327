//! Starts that wait behind others which their VM doesn't answer.

use dotterel_cell::cell::Withheld;
use dotterel_cell::{JobId, JobRecord, Order, RunOutcome, StartAnswer};
use dotterel_kernel::Millis;

use crate::support::{
    Bench, Start, ended, gang, independent_tasks, running, size, task, vm_info, with_advice,
};

/// Returns a cell with a start that waits in the queue of its VM, and the start.
fn with_queued_start(vms: usize, record: JobRecord) -> (Bench, Start) {
    let mut bench = Bench::new(vms);
    bench.submit(1, record);
    bench.commit_all();
    bench.plan();
    let start = bench.queue_starts().remove(0);
    (bench, start)
}

/// Returns the starts that the next plan issues.
fn plan_again(bench: &mut Bench) -> Vec<Start> {
    bench.cell.tick(bench.now);
    bench.plan();
    bench.queue_starts()
}

fn stops(bench: &mut Bench) -> usize {
    bench.commit_all();
    let orders = bench.cell.take_orders();
    let stops = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop { .. }));
    stops.count()
}

fn withhold(bench: &mut Bench, start: &Start) {
    let answer = StartAnswer::Withheld;
    bench
        .cell
        .start_answered(start.vm, start.task, start.run, answer, bench.now);
}

fn answered_unknown(bench: &mut Bench, start: &Start) {
    let answer = StartAnswer::Unknown;
    bench
        .cell
        .start_answered(start.vm, start.task, start.run, answer, bench.now);
}

/// Guards against tasks of a cancelled job that start from a queue, and that occupy their VM until a
/// stop is acknowledged.
#[test]
fn a_cancelled_job_withdraws_its_unsent_starts() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(1, 1000));

    bench.cell.cancel(JobId(1), bench.now);

    assert_eq!(bench.authorize(&start), Err(Withheld::Gone));
    assert_eq!(bench.vm(0).used, size(0, 0));
    assert_eq!(stops(&mut bench), 0);
}

#[test]
fn a_cancelled_job_stops_runs_whose_starts_were_sent() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(1, 1000));
    assert!(bench.authorize(&start).is_ok());

    bench.cell.cancel(JobId(1), bench.now);

    assert_eq!(bench.authorize(&start), Err(Withheld::Gone));
    assert_eq!(bench.vm(0).used, size(2000, 4096), "it may still start");
    assert_eq!(stops(&mut bench), 1);
}

/// Guards against a start on a VM that has announced that it leaves.
#[test]
fn a_draining_vm_gets_no_start_from_its_queue() {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 1000));
    let mut leaving = vm_info(bench.index_of(start.vm));
    leaving.draining = true;

    bench.cell.vm_listed(leaving, bench.now);
    let verdict = bench.authorize(&start);
    let again = plan_again(&mut bench);

    assert_eq!(verdict, Err(Withheld::VmUnusable));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].vm, start.vm);
}

/// Guards against tasks that wait for the lease of a silent VM which never heard of them, and against
/// counting them as lost with it.
#[test]
fn an_unsent_start_leaves_a_silent_vm_at_once() {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 1000));

    bench
        .cell
        .vm_unresponsive(start.vm, Some(bench.now), bench.now);
    let again = plan_again(&mut bench);

    assert_eq!(again.len(), 1);
    assert_ne!(again[0].vm, start.vm);
    let job = bench.cell.job(JobId(1)).expect("the job is known");
    assert!(job.rounds[0].steps[0].tasks[0].lost_runs.is_empty());
}

#[test]
fn a_sent_start_stays_on_a_silent_vm() {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 1000));
    assert!(bench.authorize(&start).is_ok());

    bench
        .cell
        .vm_unresponsive(start.vm, Some(bench.now), bench.now);
    let again = plan_again(&mut bench);

    assert!(again.is_empty(), "it may run there");
}

/// Guards against a start that brings a VM over a capacity that has shrunk.
#[test]
fn a_vm_that_has_shrunk_gets_only_starts_that_fit() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(3, 1000));
    let mut shrunk = vm_info(0);
    shrunk.capacity = size(4000, 65_536);

    bench.cell.vm_listed(shrunk, bench.now);
    let first = bench.authorize(&start);
    withhold(&mut bench, &start);
    let left = bench.vm(0).used;

    assert_eq!(first, Err(Withheld::NoRoom));
    assert_eq!(left, size(4000, 8192), "the others fit");
}

/// Guards against a start that is planned and withheld again and again, as the capacity that it needs
/// is free while another is exceeded.
#[test]
fn no_start_is_planned_that_would_be_withheld() {
    let (mut bench, _) = with_queued_start(1, independent_tasks(3, 1000));
    let mut shrunk = vm_info(0);
    shrunk.capacity = size(4000, 65_536);
    bench.cell.vm_listed(shrunk, bench.now);
    let mut filler = independent_tasks(1, 1000);
    filler.spec.steps[0].best_effort = true;
    bench.submit(2, filler);
    bench.commit_all();

    bench.plan();
    let planned = bench.queue_starts();

    assert_eq!(planned, []);
}

/// Guards against starts that a VM receives long after they were decided, and against blaming the VM
/// for an order that it never received.
#[test]
fn an_overdue_start_is_placed_again() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(1, 1000));
    bench.advance(1000);
    bench.report(0, &[], &[]);
    bench.advance(1001);
    bench.report(0, &[], &[]);

    let verdict = bench.authorize(&start);
    let again = plan_again(&mut bench);

    assert_eq!(verdict, Err(Withheld::Overdue));
    assert_eq!(again.len(), 1, "the VM isn't blamed");
    assert_eq!(stops(&mut bench), 0);
}

/// Guards against a second attempt after the time on which other decisions rely.
#[test]
fn an_overdue_start_that_was_sent_is_not_sent_again() {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 1000));
    bench.advance(1900);
    bench.report(0, &[], &[]);
    bench.report(1, &[], &[]);
    assert!(bench.authorize(&start).is_ok());
    bench.advance(500);

    let second = bench.authorize(&start);
    answered_unknown(&mut bench, &start);
    let again = plan_again(&mut bench);

    assert_eq!(second, Err(Withheld::Overdue));
    assert!(again.is_empty(), "the first copy may still be carried out");
    assert_eq!(stops(&mut bench), 1);
}

/// Guards against a VM that gets no work for a while since the leader's own lease ran out.
#[test]
fn a_start_without_leadership_is_withheld_and_its_vm_not_blamed() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(1, 1000));

    let verdict = bench.authorize_within(&start, Millis::ZERO);
    withhold(&mut bench, &start);
    let again = plan_again(&mut bench);

    assert_eq!(verdict, Err(Withheld::NoLease));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].vm, start.vm);
}

/// Guards against a start that its VM refuses, as the ticket has expired in the queue.
#[test]
fn a_start_whose_ticket_has_expired_is_withheld() {
    let mut bench = Bench::new(1);
    bench.cell.adviser_joined(1);
    bench.submit(1, with_advice(independent_tasks(1, 1000)));
    bench.commit_all();
    bench.plan();
    let orders = bench.cell.take_orders();
    let request = crate::support::advice_requests(&orders).remove(0);
    let good = [("vm-000".into(), "ticket".into())];
    let validity = Millis(1000);
    bench
        .cell
        .advice_received(request.step, &request.vms, &good, validity, bench.now);
    bench.plan();
    let start = bench.queue_starts().remove(0);
    bench.advance(1000);

    assert_eq!(bench.authorize(&start), Err(Withheld::TicketExpired));
}

/// Guards against copies that start after their task is done.
#[test]
fn an_unsent_copy_is_withdrawn_once_the_task_is_done() {
    let mut record = independent_tasks(1, 1000);
    record.spec.steps[0].speculative = true;
    let (mut bench, first) = with_queued_start(2, record);
    assert!(bench.authorize(&first).is_ok());
    answered_unknown(&mut bench, &first);
    bench.plan();
    let copy = bench.queue_starts().remove(0);

    let vm_index = bench.index_of(first.vm);
    bench.report(vm_index, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);

    assert_eq!(copy.run, 2);
    assert_eq!(bench.authorize(&copy), Err(Withheld::Gone));
    assert_eq!(bench.vm(bench.index_of(copy.vm)).used, size(0, 0));
}

/// Guards against a gang of which some members start and the others don't.
#[test]
fn a_gang_is_withdrawn_as_a_whole() {
    let (mut bench, start) = with_queued_start(1, gang(3, 1000));

    withhold(&mut bench, &start);

    assert!(bench.vm(0).runs.is_empty());
    assert_eq!(stops(&mut bench), 0);
    assert_eq!(plan_again(&mut bench).len(), 3);
}

/// Guards against stopping a run whose start got no reply although the VM has listed it since.
#[test]
fn a_reported_run_goes_on_without_a_reply_to_its_start() {
    let (mut bench, start) = with_queued_start(1, independent_tasks(1, 1000));
    assert!(bench.authorize(&start).is_ok());
    bench.report(0, &[running(task(1, 0), 1, 10)], &[]);

    answered_unknown(&mut bench, &start);

    assert_eq!(stops(&mut bench), 0);
}

/// Guards against a VM that answers orders late and collects a queue of starts, as it looks the fullest,
/// beside VMs that would start them at once.
#[test]
fn tasks_are_placed_on_vms_that_answer_their_orders() {
    let (mut bench, late) = with_queued_start(2, independent_tasks(1, 1000));
    assert!(bench.authorize(&late).is_ok());
    bench.advance(600);
    bench.report(0, &[], &[]);
    bench.report(1, &[], &[]);
    bench.submit(2, independent_tasks(1, 1000));
    bench.commit_all();

    let start = plan_again(&mut bench).remove(0);

    assert_ne!(start.vm, late.vm);
}

#[test]
fn tasks_are_placed_on_a_vm_with_late_orders_if_there_is_no_other() {
    let (mut bench, late) = with_queued_start(1, independent_tasks(1, 1000));
    assert!(bench.authorize(&late).is_ok());
    bench.advance(600);
    bench.report(0, &[], &[]);
    bench.submit(2, independent_tasks(1, 1000));
    bench.commit_all();

    assert_eq!(plan_again(&mut bench).len(), 1);
}

/// Returns a cell in which the start of a task got no reply, the VM fell silent until its lease had
/// expired, and the task has started elsewhere.
fn with_late_start() -> (Bench, Start) {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 60_000));
    assert!(bench.authorize(&start).is_ok());
    answered_unknown(&mut bench, &start);
    let other = 1 - bench.index_of(start.vm);
    let mut again = Vec::new();
    for _ in 0..20 {
        bench.advance(500);
        bench.report_runs(other, 10);
        again.append(&mut plan_again(&mut bench));
        bench.advance(200);
        bench.commit_all();
        again.append(&mut bench.queue_starts());
    }
    assert_eq!(again.len(), 1, "it starts elsewhere");
    assert_eq!(bench.index_of(again[0].vm), other);
    (bench, start)
}

/// Guards against a task that runs twice, as a start without a reply is carried out after its VM has
/// been given up and has got a new lease.
#[test]
fn a_vm_gets_no_lease_before_late_starts_are_barred() {
    let (mut bench, late) = with_late_start();
    let vm_index = bench.index_of(late.vm);
    bench.cell.take_orders();

    bench.report(vm_index, &[], &[]);
    let before = bench.extend_lease(late.vm);
    let ordered = stops(&mut bench);
    bench
        .cell
        .stop_answered(late.vm, late.task, late.run, bench.now);
    let after = bench.extend_lease(late.vm);

    assert_eq!(before, None, "the start could be carried out");
    assert_eq!(ordered, 1);
    assert!(after.is_some());
}

#[test]
fn the_stop_of_a_late_start_is_repeated_until_it_is_acknowledged() {
    let (mut bench, late) = with_late_start();
    let vm_index = bench.index_of(late.vm);

    let mut ordered = 0;
    for _ in 0..10 {
        bench.report(vm_index, &[], &[]);
        bench.cell.tick(bench.now);
        ordered += stops(&mut bench);
        bench.advance(200);
    }

    assert!((2..=3).contains(&ordered), "{ordered} stops");
}

/// Guards against waiting for a stop on a restarted VM that neither of its lives was sent a start.
#[test]
fn an_unsent_start_is_not_stopped_on_a_restarted_vm() {
    let (mut bench, start) = with_queued_start(2, independent_tasks(1, 1000));
    let mut restarted = vm_info(bench.index_of(start.vm));
    restarted.incarnation += 1;

    bench.cell.vm_listed(restarted, bench.now);
    let again = plan_again(&mut bench);

    assert_eq!(again.len(), 1, "it starts elsewhere at once");
    assert_eq!(stops(&mut bench), 0);
}
