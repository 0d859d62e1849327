//! Ends are acknowledged to VMs only once they are durable.

use compact_str::format_compact;
use dotterel_cell::cell::CellEvent;
use dotterel_cell::record::{Progress, decode};
use dotterel_cell::vm::VmRun;
use dotterel_cell::{JobId, ReportedRun, RowWrite, RunOutcome, Submitted};

use crate::support::{self, Bench, ended, task};

/// What a row of the store holds.
const MAX_ROW_BYTES: usize = 65_536;

#[test]
fn an_end_is_not_acknowledged_while_its_row_is_in_flight() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::independent_tasks(2, 1000));
    bench.commit_all();
    bench.plan();
    let runs = bench.take_starts();
    assert_eq!(runs.len(), 2);
    bench.advance(300);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    bench.advance(300);

    let batch = bench.cell.take_batch(0, bench.now);
    bench.report(0, &[], &[]);

    assert_eq!(bench.vm(0).durable_end, 0, "the row is not durable yet");
    bench.cell.batch_committed(&batch);
    assert_eq!(bench.vm(0).durable_end, 1);
}

#[test]
fn progress_is_written_during_a_burst_of_new_jobs() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::independent_tasks(2, 1000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    for id in 100..400 {
        bench.submit(id, support::independent_tasks(1, 1000));
    }
    bench.advance(700);

    let batch = bench.cell.take_batch(0, bench.now);

    let progress = batch
        .writes
        .iter()
        .any(|write| matches!(write, RowWrite::Progress(JobId(1), _)));
    assert!(progress, "a batch full of new jobs includes progress");
}

#[test]
fn concurrent_batches_hold_no_rows_of_the_same_job() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::independent_tasks(1, 1000));
    let first = bench.cell.take_batch(0, bench.now);
    bench.cell.cancel(JobId(1), bench.now);
    let second = bench.cell.take_batch(1, bench.now);

    assert_eq!(first.accepted, [JobId(1)]);
    assert!(
        second.writes.is_empty(),
        "the first batch may commit after the second"
    );
    bench.cell.batch_committed(&first);
    let third = bench.cell.take_batch(0, bench.now);
    assert_eq!(third.ended, [JobId(1)]);
}

#[test]
fn ends_are_acknowledged_in_order_despite_late_batches() {
    let mut bench = Bench::new(1);
    for lane in 0..2 {
        bench.submit(1 + u64::from(lane), support::independent_tasks(1, 1000));
        let accepted = bench.cell.take_batch(lane, bench.now);
        bench.cell.batch_committed(&accepted);
    }
    bench.plan();
    bench.confirm_starts();
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    let first = bench.cell.take_batch(0, bench.now);
    bench.report(0, &[], &[ended(2, task(2, 0), 1, RunOutcome::Done)]);
    let second = bench.cell.take_batch(1, bench.now);

    bench.cell.batch_committed(&second);
    let early = bench.vm(0).durable_end;
    bench.cell.batch_committed(&first);

    assert_eq!((early, bench.vm(0).durable_end), (0, 2));
}

#[test]
fn a_stuck_lane_does_not_block_jobs_of_other_lanes() {
    let mut bench = Bench::new(2);
    bench.submit(1, support::independent_tasks(1, 1000));
    let stuck = bench.cell.take_batch(0, bench.now);
    bench.submit(2, support::independent_tasks(1, 1000));
    let quick = bench.cell.take_batch(1, bench.now);
    bench.cell.batch_committed(&quick);
    bench.plan();
    let started = bench.confirm_starts();
    let vm_index = bench.index_of(started[0].vm);
    bench.report(vm_index, &[], &[ended(1, task(2, 0), 1, RunOutcome::Done)]);

    let done = bench.cell.take_batch(1, bench.now);
    bench.cell.batch_committed(&done);

    assert_eq!(stuck.accepted, [JobId(1)]);
    assert_eq!(done.ended, [JobId(2)]);
    assert_eq!(bench.vm(vm_index).durable_end, 1);
}

#[test]
fn only_the_lane_of_a_job_has_its_rows() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::independent_tasks(1, 1000));
    let accepted = bench.cell.take_batch(3, bench.now);
    bench.cell.batch_committed(&accepted);
    bench.plan();
    bench.confirm_starts();

    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);

    let wants: Vec<u8> = (0..6)
        .filter(|lane| bench.cell.has_rows(*lane, bench.now))
        .collect();
    assert_eq!(wants, [3]);
    assert!(
        !bench.cell.has_new_rows(),
        "other lanes have nothing to write"
    );
}

#[test]
fn a_job_can_be_rejected_before_its_row_is_sent() {
    let mut bench = Bench::new(1);
    bench.submit(1, support::independent_tasks(1, 1000));
    let in_flight = bench.cell.take_batch(0, bench.now);
    bench.submit(2, support::independent_tasks(1, 1000));

    let refused = bench.cell.reject_new_jobs();
    bench.cell.batch_committed(&in_flight);
    bench.commit_all();
    bench.plan();
    let started = bench.confirm_starts();

    assert_eq!(refused, [JobId(2)], "the first job may still be stored");
    assert!(bench.cell.job(JobId(2)).is_none());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, JobId(1));
    assert_eq!(
        bench.submit(2, support::independent_tasks(1, 1000)),
        Submitted::New,
        "the caller may retry"
    );
}

#[test]
fn a_failed_batch_is_written_again() {
    let mut bench = Bench::new(1);
    for id in 1..3 {
        bench.submit(id, support::independent_tasks(1, 1000));
    }
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Done)]);
    bench.submit(3, support::independent_tasks(1, 1000));
    bench.cell.cancel(JobId(2), bench.now);

    let refused = bench.cell.take_batch(0, bench.now);
    bench.cell.batch_failed(&refused, bench.now);
    let again = bench.cell.take_batch(0, bench.now);

    assert_eq!(refused.ended.len(), 2);
    let sorted = |mut ids: Vec<JobId>| {
        ids.sort_unstable();
        ids
    };
    assert_eq!(sorted(again.ended.clone()), sorted(refused.ended.clone()));
    assert_eq!(again.accepted, refused.accepted);
    assert_eq!(bench.vm(0).durable_end, 0);
    bench.cell.batch_committed(&again);
    assert_eq!(bench.vm(0).durable_end, 1);
}

/// Returns the progress rows of a job of `count` tasks that all run and have saved their state, of which one
/// has ended, and the number of warnings about them.
fn rows_of_large_job(count: u32) -> (Vec<Vec<u8>>, usize) {
    let mut bench = Bench::new(count.div_ceil(320) as usize);
    let mut record = support::independent_tasks(count, 600_000);
    record.spec.steps[0].size = support::size(100, 100);
    record.spec.steps[0].checkpoint = true;
    bench.submit(1, record);
    bench.commit_all();
    bench.plan();
    assert_eq!(bench.confirm_starts().len(), count as usize);
    let mut rows = Vec::new();
    for beat in 0..3u64 {
        bench.advance(300);
        for index in 0..bench.vms.len() {
            let runs = bench.vm(index).runs.iter();
            let report = |run: &VmRun| ReportedRun {
                saved: format_compact!("{beat:016x}"),
                ..support::running(run.task, run.run, 10)
            };
            let runs: Vec<ReportedRun> = runs.map(report).collect();
            let first = &runs[0];
            let done = ended(beat + 1, first.task, first.run, RunOutcome::Done);
            let ends = if index == 0 { vec![done] } else { Vec::new() };
            bench.report(index, &runs[ends.len()..], &ends);
        }
        bench.advance(300);
        let batch = bench.cell.take_batch(0, bench.now);
        rows.extend(batch.writes.iter().filter_map(|write| match write {
            RowWrite::Progress(_, row) => Some(row.clone()),
            _ => None,
        }));
        bench.cell.batch_committed(&batch);
    }
    let events = bench.cell.take_events();
    let is_warning = |event: &&CellEvent| matches!(event, CellEvent::ProgressShortened { .. });
    (rows, events.iter().filter(is_warning).count())
}

// Guards against a row that the store refuses without end, so that no end of the job is acknowledged.
#[test]
fn the_progress_of_a_large_job_fits_a_row() {
    let (rows, warnings) = rows_of_large_job(4000);

    assert_eq!(rows.len(), 3);
    let progress: Progress = decode(&rows[2]).expect("the row is valid");
    assert!(rows.iter().all(|row| row.len() <= MAX_ROW_BYTES));
    let done = progress.rounds[0].steps[0].done.iter();
    assert_eq!(done.map(|bits| bits.count_ones()).sum::<u32>(), 3);
    assert_eq!(warnings, 1);
}

// Guards against states that are left out although they fit.
#[test]
fn the_progress_of_a_smaller_job_keeps_the_saved_states() {
    let (rows, warnings) = rows_of_large_job(1000);

    let progress: Progress = decode(&rows[2]).expect("the row is valid");
    assert_eq!(progress.rounds[0].steps[0].marks.len(), 997);
    assert_eq!(warnings, 0);
}
