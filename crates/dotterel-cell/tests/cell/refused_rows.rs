//! A row that the store refuses for its content doesn't keep other rows from being written.

use dotterel_cell::cell::RefusedBatch;
use dotterel_cell::{Batch, JobId, JobState, RowWrite, RunOutcome};

use crate::support::{Bench, ended, independent_tasks, task};

/// Returns true if the batch has a row of `job` that isn't about its end.
fn has_row(batch: &Batch, job: u64) -> bool {
    let is_row = |write: &RowWrite| match write {
        RowWrite::Job(id, _) => *id == JobId(job) && !batch.ended.contains(id),
        RowWrite::Progress(id, _) | RowWrite::ProgressPage(id, ..) => *id == JobId(job),
        _ => false,
    };
    batch.writes.iter().any(is_row)
}

/// Writes what a lane has, to a store that refuses all rows of `bad` but that of its end. Returns what became of
/// the refused transactions.
fn write_all(bench: &mut Bench, bad: u64) -> Vec<RefusedBatch> {
    let mut refused = Vec::new();
    while bench.cell.has_new_rows() || bench.cell.has_rows(0, bench.now) {
        let batch = bench.cell.take_batch(0, bench.now);
        if has_row(&batch, bad) {
            refused.push(bench.cell.batch_refused(&batch, bench.now));
        } else {
            bench.cell.batch_committed(&batch);
        }
        assert!(refused.len() < 50, "rows are refused without end");
    }
    refused
}

/// Returns a cell with 20 accepted jobs, of each of which a task has just failed.
fn cell_with_failures() -> Bench {
    let mut bench = Bench::new(2);
    for job in 1..=20 {
        bench.submit(job, independent_tasks(2, 1000));
    }
    bench.commit_all();
    let ends: Vec<_> = (1..=20)
        .map(|job| ended(job, task(job, 0), 1, RunOutcome::Failed))
        .collect();
    bench.report(0, &[], &ends);
    bench.advance(300);
    bench
}

/// Guards against a job whose row is refused without end, while no other job is accepted.
#[test]
fn a_new_job_that_the_store_refuses_is_not_accepted() {
    let mut bench = Bench::new(1);
    for job in 1..=20 {
        bench.submit(job, independent_tasks(1, 1000));
    }

    let refused = write_all(&mut bench, 13);

    assert_eq!(refused.last(), Some(&RefusedBatch::NotAccepted(JobId(13))));
    assert!(refused.len() <= 8, "{refused:?}");
    assert!(bench.cell.job(JobId(13)).is_none());
    let accepted = (1..=20).filter(|id| bench.cell.state(JobId(*id)).is_some());
    assert_eq!(accepted.count(), 19);
}

/// Guards against progress that is refused without end, while nothing else is stored.
#[test]
fn progress_that_the_store_refuses_is_set_aside() {
    let mut bench = cell_with_failures();
    bench.submit(30, independent_tasks(1, 1000));
    bench.cell.cancel(JobId(7), bench.now);

    let refused = write_all(&mut bench, 13);

    let aside = RefusedBatch::SetAside(Some(JobId(13)));
    assert_eq!(refused.last(), Some(&aside));
    assert_eq!(bench.cell.state(JobId(30)), Some(JobState::Queued));
    assert_eq!(bench.cell.state(JobId(7)), Some(JobState::Cancelled));
    assert_eq!(bench.vm(0).durable_end, 12, "the later ends wait");
    // Other jobs go on meanwhile.
    bench.submit(31, independent_tasks(1, 1000));
    assert_eq!(write_all(&mut bench, 13), []);
    assert_eq!(bench.cell.state(JobId(31)), Some(JobState::Queued));
}

/// Guards against a set-aside job that isn't written once the store accepts its rows.
#[test]
fn rows_that_were_set_aside_are_tried_again() {
    let mut bench = cell_with_failures();
    write_all(&mut bench, 13);
    bench.advance(2000);

    let refused = write_all(&mut bench, 0);

    assert_eq!(refused, []);
    assert_eq!(bench.vm(0).durable_end, 20);
}

/// Guards against ends that can't be acknowledged for good, so that their VMs list no later ones.
#[test]
fn a_job_whose_progress_stays_refused_is_given_up() {
    let mut bench = cell_with_failures();
    let mut refused = write_all(&mut bench, 13);
    for _ in 0..2 {
        bench.advance(2000);
        refused = write_all(&mut bench, 13);
    }

    assert_eq!(refused, [RefusedBatch::GivenUp(JobId(13))]);
    assert_eq!(bench.cell.state(JobId(13)), Some(JobState::Failed));
    assert_eq!(bench.vm(0).durable_end, 20);
}

/// Guards against a list of VMs that is refused in each transaction.
#[test]
fn a_list_that_the_store_refuses_is_set_aside() {
    let mut bench = Bench::new(0);
    bench.cell.vm_listed(crate::support::vm_info(0), bench.now);
    bench.cell.assume_stops_on_all();
    bench.commit_all();
    bench.submit(1, independent_tasks(1, 1000));
    let key = bench.cell.vm_by_id("vm-000").expect("it is listed");
    bench.vms.push(key);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);
    let mut refusals = 0;
    while bench.cell.has_new_rows() || bench.cell.has_rows(0, bench.now) {
        let batch = bench.cell.take_batch(0, bench.now);
        let is_list = |write: &RowWrite| matches!(write, RowWrite::VmList(..));
        if batch.writes.iter().any(is_list) {
            bench.cell.batch_refused(&batch, bench.now);
            refusals += 1;
        } else {
            bench.cell.batch_committed(&batch);
        }
        assert!(refusals < 10, "the list is refused without end");
    }

    assert!(refusals > 0);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Queued));
}

/// Guards against an end that is refused for long: the count of its refusals overflowed after 256 of them, and
/// between two of them empty transactions were sent, as the further rows of its progress were still to be deleted.
#[test]
fn an_end_that_stays_refused_is_tried_again_at_intervals() {
    let mut bench = Bench::new(1);
    bench.submit(1, independent_tasks(10_000, 1000));
    bench.commit_all();
    let ends = (0u32..10_000).map(|index| {
        let number = u64::from(index) + 1;
        ended(number, task(1, index), 1, RunOutcome::Failed)
    });
    let ends: Vec<_> = ends.collect();
    bench.report(0, &[], &ends);
    bench.advance(300);
    bench.commit_all();
    let pages = bench.cell.job(JobId(1)).map(|job| job.pages.len());
    bench.cell.cancel(JobId(1), bench.now);

    let mut batches = 0;
    for _ in 0..300 {
        while bench.cell.has_rows(0, bench.now) {
            let batch = bench.cell.take_batch(0, bench.now);
            if batch.ended.is_empty() {
                bench.cell.batch_committed(&batch);
            } else {
                bench.cell.batch_refused(&batch, bench.now);
            }
            batches += 1;
            assert!(batches < 400, "batches follow each other without end");
        }
        bench.advance(2000);
    }

    assert!(pages.is_some_and(|pages| pages > 0));
    assert!(batches >= 300);
    let batch = bench.cell.take_batch(0, bench.now);
    bench.cell.batch_committed(&batch);
    assert_eq!(bench.cell.state(JobId(1)), Some(JobState::Cancelled));
}
