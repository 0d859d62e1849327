//! A successor finds out what is running before it starts anything.

use crate::support::{self, Bench, ended, loose, running, task};
use dotterel_cell::record::{Progress, decode};
use dotterel_cell::{JobId, RowWrite, RunOutcome};
use dotterel_kernel::Millis;

#[test]
fn a_run_of_an_earlier_term_is_taken_over_not_repeated() {
    let mut bench = Bench::successor(1);
    bench
        .cell
        .restore_job(JobId(1), loose(1, 1000), None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(task(1, 0), 1, 30)], &[]);
    bench.cell.tick(bench.now);
    bench.plan();

    assert!(bench.cell.take_orders().is_empty(), "it runs already");
    bench.advance(600);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.plan();
    let again = bench.take_starts();
    assert!(
        again[0].run > 64,
        "run numbers of the earlier term are not used again"
    );
}

#[test]
fn an_earlier_terms_tasks_wait_until_every_vm_has_answered() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), loose(1, 1000), None, 0, bench.now);
    bench.submit(2, loose(1, 1000));
    bench.store();
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.advance(500);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    bench.plan();
    let first = bench.take_starts();
    bench.advance(10);
    bench.report(1, &[], &[]);
    bench.advance(500);
    bench.report(0, &[], &[]);
    bench.report(1, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let second = bench.take_starts();

    assert_eq!(
        first.iter().map(|start| start.task.job).collect::<Vec<_>>(),
        [JobId(2)]
    );
    assert_eq!(
        second
            .iter()
            .map(|start| start.task.job)
            .collect::<Vec<_>>(),
        [JobId(1)]
    );
}

#[test]
fn a_silent_vm_holds_an_earlier_terms_tasks_back_only_for_a_lease() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), loose(1, 1000), None, 0, bench.now);
    let lease = bench.cell.limits().lease_ttl;

    bench.advance(lease.0 - 100);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let early = bench.take_starts();
    bench.advance(1000);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let late = bench.take_starts();

    assert!(early.is_empty(), "the silent VM may still run it");
    assert_eq!(late.len(), 1);
}

#[test]
fn progress_that_was_written_is_not_done_again() {
    let mut first = Bench::new(1);
    first.submit(1, loose(3, 1000));
    first.store();
    first.plan();
    first.start_all();
    first.advance(300);
    first.report(0, &[], &[ended(1, task(1, 1), 1, RunOutcome::Done)]);
    first.advance(300);
    let batch = first.cell.take_batch(0, first.now);
    let progress = batch.writes.iter().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::of_term(1, 2);
    second
        .cell
        .restore_job(JobId(1), loose(3, 1000), progress.as_ref(), 0, second.now);
    second.advance(Millis::secs(5).0);
    second.beat(0);
    second.advance(600);
    second.beat(0);
    second.cell.tick(second.now);
    second.plan();
    let starts = second.take_starts();

    let indices: Vec<u32> = starts.iter().map(|start| start.task.index).collect();
    assert_eq!(indices, [0, 2]);
}

#[test]
fn failed_runs_of_earlier_terms_count_against_the_attempts() {
    let mut first = Bench::new(2);
    let mut record = support::gang(2, 1000);
    record.policy.max_attempts = 3;
    first.submit(1, record.clone());
    first.store();
    let mut rows = Vec::new();
    for run in 1..=2 {
        first.advance(300);
        first.plan();
        let starts = first.start_all();
        assert_eq!(starts.len(), 2);
        first.advance(300);
        let at = first.index_of(starts[0].vm);
        let first_end = u64::from(run * 2 - 1);
        first.report(
            at,
            &[],
            &[
                ended(first_end, task(1, 0), run, RunOutcome::Failed),
                ended(first_end + 1, task(1, 1), run, RunOutcome::Broken),
            ],
        );
        first.advance(300);
        let batch = first.cell.take_batch(0, first.now);
        first.cell.batch_committed(&batch);
        rows.extend(batch.writes);
    }
    let progress = rows.iter().rev().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::of_term(2, 2);
    second
        .cell
        .restore_job(JobId(1), record, progress.as_ref(), 0, second.now);
    second.advance(600);
    second.plan();
    let starts = second.start_all();
    let at = second.index_of(starts[0].vm);
    second.report(
        at,
        &[],
        &[ended(1, task(1, 0), starts[0].run, RunOutcome::Failed)],
    );
    second.store();

    assert_eq!(
        second.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Failed)
    );
}

#[test]
fn the_lease_of_a_silent_vm_runs_out_although_it_is_still_asked() {
    let mut bench = Bench::new(2);
    bench.submit(1, loose(1, 60_000));
    bench.store();
    bench.plan();
    let start = bench.start_all().remove(0);
    let silent = bench.index_of(start.vm);
    let mut starts = Vec::new();

    for _ in 0..16 {
        bench.advance(500);
        bench.report(1 - silent, &[], &[]);
        bench.cell.extend_lease(bench.vms[silent], bench.now);
        bench.cell.tick(bench.now);
        bench.plan();
        starts.extend(bench.take_starts());
    }

    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].vm, start.vm);
}

#[test]
fn an_end_that_is_listed_again_counts_once() {
    let mut first = Bench::new(1);
    let mut record = loose(1, 1000);
    record.policy.max_attempts = 2;
    first.submit(1, record.clone());
    first.store();
    first.plan();
    first.start_all();
    let end = ended(1, task(1, 0), 1, RunOutcome::Failed);
    first.report(0, &[], std::slice::from_ref(&end));
    first.advance(300);
    let batch = first.cell.take_batch(0, first.now);
    let progress = batch.writes.iter().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::successor(1);
    second
        .cell
        .restore_job(JobId(1), record, progress.as_ref(), 0, second.now);
    second.advance(10);
    second.report(0, &[], &[end]);
    second.store();

    assert_eq!(
        second.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Running)
    );
}

#[test]
fn a_failure_of_an_earlier_run_counts_although_the_next_run_was_found_first() {
    let mut bench = Bench::successor(2);
    let mut record = loose(1, 1000);
    record.policy.max_attempts = 2;
    bench.cell.restore_job(JobId(1), record, None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(task(1, 0), 2, 30)], &[]);
    bench.report(1, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.advance(500);
    bench.report(0, &[], &[ended(1, task(1, 0), 2, RunOutcome::Failed)]);
    bench.store();

    assert_eq!(
        bench.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Failed)
    );
}

#[test]
fn room_that_a_former_scheduler_was_freeing_is_not_given_away_yet() {
    let mut bench = Bench::of_term(1, 2);
    bench.submit(1, loose(1, 1000));
    bench.store();

    bench.plan();
    let early = bench.take_starts();
    bench.advance(bench.cell.limits().stop_timeout.0 + 100);
    bench.report(0, &[], &[]);
    bench.plan();
    let late = bench.take_starts();

    assert!(
        early.is_empty(),
        "a stopped run takes room without being listed"
    );
    assert_eq!(late.len(), 1);
}

#[test]
fn an_order_that_may_have_reached_a_vms_new_life_is_barred_there() {
    let mut bench = Bench::new(2);
    bench.submit(1, loose(1, 1000));
    bench.store();
    bench.plan();
    let start = bench.take_starts().remove(0);
    let at = bench.index_of(start.vm);
    let mut reborn = support::info(at);
    reborn.incarnation += 1;

    let key = bench.cell.vm_listed(reborn);
    bench.plan();
    let orders = bench.cell.take_orders();
    bench.vms[at] = key;
    bench.cell.stop_answered(key, start.task, 1, bench.now);
    bench.advance(800);
    bench.beat(0);
    let report = dotterel_cell::Report {
        incarnation: 8,
        clock: Millis(900),
        ..dotterel_cell::Report::default()
    };
    bench.cell.apply_report(key, &report, bench.now, bench.now);
    bench.plan();
    let again = bench.take_starts();

    assert!(
        support::starts(&orders).is_empty(),
        "the new life may run it"
    );
    assert!(
        orders
            .iter()
            .any(|order| matches!(order, dotterel_cell::Order::Stop { vm, .. } if *vm == key))
    );
    assert_eq!(again.len(), 1);
}

#[test]
fn runs_that_a_vms_former_life_reported_are_over_at_once() {
    let mut bench = Bench::new(2);
    bench.submit(1, loose(1, 1000));
    bench.store();
    bench.plan();
    let start = bench.start_all().remove(0);
    let at = bench.index_of(start.vm);
    bench.beat(10);
    let mut reborn = support::info(at);
    reborn.incarnation += 1;

    bench.cell.vm_listed(reborn);
    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

#[test]
fn a_vm_that_goes_from_the_registry_unheard_holds_an_earlier_terms_tasks_back() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), loose(1, 1000), None, 0, bench.now);
    let beat = |bench: &mut Bench, ms: u64| {
        bench.advance(ms);
        bench.report(0, &[], &[]);
        bench.cell.tick(bench.now);
        bench.plan();
        bench.take_starts().len()
    };
    beat(&mut bench, 10);

    // The VM may still run the task and only be cut off from the registry.
    bench.cell.vm_unlisted("vm-001", bench.now);
    let early = beat(&mut bench, 600);
    let late: usize = (0..5).map(|_| beat(&mut bench, 1000)).sum();

    assert_eq!((early, late), (0, 1), "its lease has to run out first");
}
