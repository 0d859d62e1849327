//! Schedules that are overdue, and rounds that overlap.

use dotterel_cell::job::MAX_IDLE_ROUNDS;
use dotterel_cell::record::decode;
use dotterel_cell::vm::VmRun;
use dotterel_cell::{JobId, JobRecord, JobState, ReportedRun, RowWrite, RunOutcome, TaskName};
use dotterel_kernel::Millis;

use crate::crashing_vms::World;
use crate::support::{Bench, ended, independent_tasks, running, size, task};

const SCHEDULE: u64 = 1;
/// Half of what a row of the store holds.
const MAX_ROW_BYTES: usize = 32 * 1024;

/// Returns a schedule with a round of one small task each `period` ms, of which `overdue` were due before
/// `now`.
fn schedule(overdue: u32, rounds: u32, period: u64, now: Millis) -> JobRecord {
    let mut record = independent_tasks(1, 200);
    record.spec.steps[0].size = size(1000, 500);
    record.spec.repeats = rounds;
    record.spec.period = Millis(period);
    let before = Millis(period * u64::from(overdue));
    assert!(
        before < now,
        "the first round is due before the clock of the test begins"
    );
    record.spec.first_due = now - before;
    record
}

fn round_of(round: u32, index: u32) -> TaskName {
    TaskName {
        round,
        ..task(SCHEDULE, index)
    }
}

fn open_rounds(bench: &Bench) -> usize {
    let job = bench.cell.job(JobId(SCHEDULE));
    job.map_or(0, |job| job.rounds.len())
}

/// Has all VMs report that their runs go on.
fn keep_running(bench: &mut Bench, saved: &str) {
    for index in 0..bench.vms.len() {
        let runs = bench.vm(index).runs.iter();
        let report = |run: &VmRun| ReportedRun {
            saved: saved.into(),
            ..running(run.task, run.run, 10)
        };
        let runs: Vec<_> = runs.map(report).collect();
        bench.report(index, &runs, &[]);
    }
}

// Guards against passes whose length grows with the rounds that are due: the leader stood still and was
// replaced, and so were its successors.
#[test]
fn an_overdue_schedule_opens_a_bounded_number_of_rounds() {
    let mut bench = Bench::new(1);
    let record = schedule(25_920, 100_000, 10, bench.now);

    bench.submit(SCHEDULE, record);
    bench.commit_all();
    let submitted = open_rounds(&bench);
    bench.advance(150);
    bench.cell.tick(bench.now);
    let ticked = open_rounds(&bench);
    bench.plan();
    let started = bench.confirm_starts().len();
    bench.advance(150);
    bench.cell.tick(bench.now);
    let begun = open_rounds(&bench);

    assert_eq!((submitted, ticked), (MAX_IDLE_ROUNDS, MAX_IDLE_ROUNDS));
    assert_eq!(begun, MAX_IDLE_ROUNDS + started);
}

// The same at a takeover.
#[test]
fn a_restored_overdue_schedule_opens_a_bounded_number_of_rounds() {
    let mut bench = Bench::successor(1);
    let record = schedule(25_920, 100_000, 10, bench.now);

    bench
        .cell
        .restore_job(JobId(SCHEDULE), record, None, 0, bench.now);
    bench.advance(150);
    bench.cell.tick(bench.now);

    assert_eq!(open_rounds(&bench), MAX_IDLE_ROUNDS);
}

// Guards against many overdue schedules that together make passes long.
#[test]
fn many_overdue_schedules_open_few_rounds_each() {
    const SCHEDULES: u64 = 100;
    let mut bench = Bench::new(1);
    for id in 0..SCHEDULES {
        let record = schedule(1000, 2000, 100, bench.now);
        bench.submit(10 + id, record);
    }
    bench.advance(150);
    bench.cell.tick(bench.now);

    let open: Vec<usize> = bench.cell.jobs().map(|job| job.rounds.len()).collect();
    let sum: usize = open.iter().sum();
    assert!(sum <= 1000 + MAX_IDLE_ROUNDS + open.len(), "{sum} rounds");
    assert!(open.iter().all(|rounds| *rounds > 0));
}

// Guards against a bound that makes a schedule lose rounds, or run them out of order or twice.
#[test]
fn an_overdue_schedule_runs_each_round_once() {
    const ROUNDS: u32 = 600;
    let mut world = World::new(2);
    let record = schedule(ROUNDS - 1, ROUNDS, 1000, world.bench.now);

    world.submit(SCHEDULE, record);
    world.run_for(60_000);

    let state = world.bench.cell.state(JobId(SCHEDULE));
    assert_eq!(state, Some(JobState::Completed));
    assert_eq!(world.starts.len(), ROUNDS as usize);
    assert!(world.starts.values().all(|starts| *starts == 1));
}

// Guards against other jobs that wait behind rounds which are days late.
#[test]
fn other_jobs_start_before_overdue_rounds() {
    let mut world = World::new(1);
    let mut record = schedule(5000, 6000, 100, world.bench.now);
    record.spec.steps[0].size = size(16_000, 500);
    record.spec.steps[0].estimate = Millis(1000);
    world.submit(SCHEDULE, record);
    world.run_for(2000);

    let mut small = independent_tasks(1, 300);
    small.spec.steps[0].size = size(16_000, 500);
    for id in 2..6 {
        world.submit(id, small.clone());
    }
    // Two run at a time, and the rounds that run go on for a second at most.
    world.run_for(2400);

    let states = (2..6).map(|id| world.bench.cell.state(JobId(id)));
    let states: Vec<_> = states.collect();
    assert_eq!(states, [Some(JobState::Completed); 4]);
}

// Guards against rounds that are on time and wait, with capacity free, for earlier ones that still run.
#[test]
fn overlapping_rounds_start_when_they_are_due() {
    const ROUNDS: u32 = 200;
    let mut bench = Bench::new(16);
    let mut record = schedule(0, ROUNDS, 100, bench.now);
    record.spec.steps[0].estimate = Millis(600_000);
    bench.submit(SCHEDULE, record);
    bench.commit_all();

    let mut late = 0;
    for _ in 0..ROUNDS {
        bench.cell.tick(bench.now);
        bench.plan();
        bench.confirm_starts();
        let due = open_rounds(&bench);
        let runs: usize = bench.cell.vms().map(|(_, vm)| vm.runs.len()).sum();
        late += due - runs;
        bench.advance(100);
        keep_running(&mut bench, "");
    }

    assert_eq!((late, open_rounds(&bench)), (0, ROUNDS as usize));
}

// Guards against a progress row that the store refuses because many rounds are open.
#[test]
fn the_progress_of_many_rounds_fits_a_row() {
    let mut bench = Bench::new(64);
    let mut record = schedule(3000, 4000, 100, bench.now);
    let step = &mut record.spec.steps[0];
    step.count = 20;
    step.size = size(100, 100);
    step.estimate = Millis(600_000);
    step.checkpoint = true;
    bench.submit(SCHEDULE, record);
    bench.commit_all();

    let mut largest = 0;
    for beat in 0..60u32 {
        bench.advance(300);
        keep_running(&mut bench, &format!("{beat:016x}"));
        bench.cell.tick(bench.now);
        bench.plan();
        for start in bench.confirm_starts() {
            if start.task.index == 0 {
                // The end of one task makes the progress due.
                let index = bench.index_of(start.vm);
                let number = bench.vm(index).last_end + 1;
                let done = ended(number, start.task, start.run, RunOutcome::Done);
                bench.report(index, &[], &[done]);
            }
        }
        bench.advance(300);
        let batch = bench.cell.take_batch(0, bench.now);
        for write in &batch.writes {
            if let RowWrite::Progress(_, row) = write {
                largest = largest.max(row.len());
            }
        }
        bench.cell.batch_committed(&batch);
    }

    assert!(largest > 0);
    assert!(largest <= MAX_ROW_BYTES, "{largest} bytes");
}

// Guards against a report that makes the leader start all rounds before the one that it names.
#[test]
fn a_report_of_a_far_round_starts_that_round_alone() {
    const FAR: u32 = 500_000;
    let mut bench = Bench::successor(1);
    let record = schedule(1, 1_000_000, 10_000, bench.now);
    bench
        .cell
        .restore_job(JobId(SCHEDULE), record, None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(round_of(FAR, 0), 1, 30)], &[]);
    bench.cell.tick(bench.now);
    bench.commit_all();
    bench.plan();
    let mut started: Vec<u32> = bench
        .take_starts()
        .iter()
        .map(|start| start.task.round)
        .collect();
    started.sort_unstable();

    // Round 0 was due a period ago, and round 1 is due now.
    assert_eq!(open_rounds(&bench), 3);
    assert_eq!(started, [0, 1]);
}

// Guards against a second run of a round that ended before the rounds in front of it were started, also
// after another takeover.
#[test]
fn a_round_that_ended_ahead_of_others_runs_once() {
    let mut bench = Bench::successor(1);
    let record = schedule(1, 4, 10_000, bench.now);
    bench
        .cell
        .restore_job(JobId(SCHEDULE), record.clone(), None, 0, bench.now);
    bench.advance(10);
    let done = ended(1, round_of(3, 0), 1, RunOutcome::Done);
    bench.report(0, &[], &[done]);
    bench.advance(300);
    let batch = bench.cell.take_batch(0, bench.now);
    let progress = batch.writes.iter().find_map(|write| match write {
        RowWrite::Progress(_, row) => decode(row),
        _ => None,
    });

    let mut next = World::new(1);
    next.restore(SCHEDULE, record, progress.as_ref());
    next.run_for(60_000);

    let state = next.bench.cell.state(JobId(SCHEDULE));
    assert_eq!(state, Some(JobState::Completed));
    let rounds: Vec<u32> = next.starts.keys().map(|name| name.round).collect();
    assert_eq!(rounds, [0, 1, 2]);
}
