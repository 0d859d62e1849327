//! Rows are never longer than the store accepts, whatever jobs run and however their tasks end.

use std::collections::BTreeMap;

use dotterel_cell::job::{Crowding, Job, Phase, ProgressRow, Round};
use dotterel_cell::record::{
    LostRun, MAX_ROW_BYTES, PageStart, Progress, Suspicion, TaskMark, decode, encode,
};
use dotterel_cell::{
    Batch, Cell, JobId, JobRecord, JobState, Limits, RowWrite, RunOutcome, TaskName,
};
use dotterel_kernel::Millis;

use crate::support::{Bench, Random, Store, ended, gang, independent_tasks, record, size, step};

/// The store accepts 1 MB of encoded text and 100 entries, of which the writer adds some.
const MAX_TX_BYTES: usize = 700_000;
const MAX_TX_ROWS: usize = 96;

fn content(write: &RowWrite) -> &[u8] {
    match write {
        RowWrite::Job(_, bytes)
        | RowWrite::Progress(_, bytes)
        | RowWrite::ProgressPage(_, _, bytes)
        | RowWrite::VmList(_, bytes)
        | RowWrite::StopList(bytes) => bytes,
        RowWrite::DropProgress(_) | RowWrite::DropProgressPage(..) | RowWrite::DropJob(_) => &[],
    }
}

fn check_batch(batch: &Batch) {
    let bytes = batch.writes.iter().map(|write| content(write).len());
    assert!(bytes.clone().all(|bytes| bytes <= MAX_ROW_BYTES));
    assert!(bytes.sum::<usize>() <= MAX_TX_BYTES);
    assert!(batch.writes.len() <= MAX_TX_ROWS);
}

/// Commits all batches; returns their number.
fn commit(bench: &mut Bench, store: &mut Store) -> usize {
    let mut batches = 0;
    // Progress is due after a while.
    bench.advance(300);
    while bench.cell.has_new_rows() || bench.cell.has_rows(0, bench.now) {
        let batch = bench.cell.take_batch(0, bench.now);
        check_batch(&batch);
        store.apply(&batch);
        bench.cell.batch_committed(&batch);
        batches += 1;
    }
    batches
}

/// Has the VMs list ends of a run of each task of a job that isn't done, as `outcome` says.
fn end_all(bench: &mut Bench, id: u64, run: u32, outcome: impl Fn(TaskName) -> RunOutcome) {
    let job = bench.cell.job(JobId(id)).expect("the job is known");
    let mut tasks = Vec::new();
    for (step, state) in (0u16..).zip(&job.rounds[0].steps) {
        for (index, task) in (0u32..).zip(&state.tasks) {
            if task.phase != Phase::Done {
                let name = TaskName {
                    job: JobId(id),
                    round: 0,
                    step,
                    index,
                };
                tasks.push(name);
            }
        }
    }
    let mut ends = vec![Vec::new(); bench.vms.len()];
    for (at, task) in tasks.into_iter().enumerate() {
        let vm = at % bench.vms.len();
        let number = bench.vm(vm).last_end + 1 + ends[vm].len() as u64;
        ends[vm].push(ended(number, task, run, outcome(task)));
    }
    bench.advance(100);
    for (vm, ends) in ends.iter().enumerate() {
        bench.report(vm, &[], ends);
    }
}

/// Returns a job of steps of `count` small tasks each.
fn large_job(steps: usize, count: u32, max_attempts: u8) -> JobRecord {
    let mut step = step(count, 60_000);
    step.size = size(10, 10);
    let mut job = record(1, vec![step; steps]);
    job.policy.max_attempts = max_attempts;
    job
}

/// Guards against a progress row that the store refuses without end, after which nothing is stored any more:
/// all tasks of a job of 10,000 had failed.
#[test]
fn the_progress_of_a_large_job_that_fails_fits_its_rows() {
    let fails = [
        |_: TaskName| RunOutcome::Failed,
        |task: TaskName| {
            if task.index.is_multiple_of(3) {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            }
        },
    ];
    for fail in fails {
        let mut bench = Bench::new(8);
        let mut store = Store::default();
        bench.submit(1, large_job(2, 10_000, 255));
        commit(&mut bench, &mut store);
        for run in 1..=4 {
            end_all(&mut bench, 1, run * 100_000, fail);
            commit(&mut bench, &mut store);

            let acked = |vm| bench.vm(vm).durable_end == bench.vm(vm).last_end;
            assert!((0..8).all(acked), "all ends may be acknowledged");
        }
    }
}

/// Guards against failed runs that a successor doesn't know of, so that a task has too many attempts.
#[test]
fn a_successor_reads_the_failed_runs_of_all_rows() {
    let mut bench = Bench::new(8);
    let mut store = Store::default();
    bench.submit(1, large_job(2, 10_000, 3));
    commit(&mut bench, &mut store);
    for run in 1..=2 {
        end_all(&mut bench, 1, run, |_| RunOutcome::Failed);
        commit(&mut bench, &mut store);
    }

    let mut next = Bench::with_term(8, 2);
    store.restore(&mut next.cell, Millis::ZERO, next.now);

    let job = next.cell.job(JobId(1)).expect("the job is stored");
    let steps = &job.rounds[0].steps;
    let tasks = || steps.iter().flat_map(|step| &step.tasks);
    assert_eq!(tasks().count(), 20_000);
    assert!(tasks().all(|task| task.failed_runs.len() == 2));
    assert!(job.pages.len() >= 2);
    end_all(&mut next, 1, 3, |_| RunOutcome::Failed);
    commit(&mut next, &mut store);
    assert_eq!(next.cell.state(JobId(1)), Some(JobState::Failed));
    assert_eq!(store.count_progress(), 0, "no row is left over");
}

/// Guards against callers that wait until the progress of large jobs is written.
#[test]
fn other_jobs_are_stored_beside_the_progress_of_large_ones() {
    let mut bench = Bench::new(8);
    let mut store = Store::default();
    for id in 1..=3 {
        bench.submit(id, large_job(4, 10_000, 255));
    }
    commit(&mut bench, &mut store);
    for id in 1..=3 {
        end_all(&mut bench, id, 100_000, |_| RunOutcome::Failed);
    }
    bench.submit(9, independent_tasks(1, 1000));
    bench.advance(300);

    let first = bench.cell.take_batch(0, bench.now);
    check_batch(&first);
    bench.cell.batch_committed(&first);
    let batches = commit(&mut bench, &mut store);

    assert_eq!(first.accepted, [JobId(9)]);
    assert!(batches > 1, "the progress takes several batches");
}

/// Guards against rows that are taken for written although their transaction was refused.
#[test]
fn rows_of_a_failed_batch_are_written_again() {
    let mut bench = Bench::new(8);
    let mut store = Store::default();
    bench.submit(1, large_job(2, 10_000, 255));
    commit(&mut bench, &mut store);
    end_all(&mut bench, 1, 1, |_| RunOutcome::Failed);
    bench.advance(300);
    let lost = bench.cell.take_batch(0, bench.now);
    bench.cell.batch_failed(&lost, bench.now);
    commit(&mut bench, &mut store);

    let mut next = Bench::with_term(8, 2);
    store.restore(&mut next.cell, Millis::ZERO, next.now);

    let job = next.cell.job(JobId(1)).expect("the job is stored");
    let steps = &job.rounds[0].steps;
    let tasks = steps.iter().flat_map(|step| &step.tasks);
    assert!(tasks.into_iter().all(|task| task.failed_runs.len() == 1));
}

/// Guards against a list of failed runs of many gangs that outgrows the first row.
#[test]
fn the_failed_runs_of_many_gangs_fit_their_rows() {
    let mut job = gang(2, 1000);
    job.spec.steps = vec![job.spec.steps[0].clone(); 256];
    job.policy.max_attempts = 255;
    let mut job = started(job);
    for (number, step) in job.rounds[0].steps.iter_mut().enumerate() {
        let first = 1_000_000 * u32::try_from(number).expect("steps are few");
        step.failed_runs = (first..first + 254).collect();
        for task in &mut step.tasks {
            task.failed_runs = step.failed_runs.clone();
        }
    }

    let mut rows = BTreeMap::new();
    write(&mut job, &mut rows, usize::MAX);
    let restored = restore(&job, &rows);

    assert!(rows.len() > 10);
    for (step, known) in job.rounds[0].steps.iter().zip(&restored.rounds[0].steps) {
        assert_eq!(step.failed_runs, known.failed_runs);
        assert_eq!(step.tasks[1].failed_runs, known.tasks[1].failed_runs);
    }
}

type Rows = BTreeMap<Option<PageStart>, Vec<u8>>;

/// Returns a job whose first round has begun.
fn started(record: JobRecord) -> Job {
    let mut job = Job::new(JobId(1), record, Millis(1000));
    job.start_due_rounds(Crowding::None, Millis(1000));
    job
}

/// Writes up to `limit` of the rows that have changed; returns true if these were all.
fn write(job: &mut Job, rows: &mut Rows, limit: usize) -> bool {
    let (changed, _) = job.changed_progress();
    let count = changed.len();
    for row in changed.into_iter().take(limit) {
        assert!(row.bytes.len() <= MAX_ROW_BYTES);
        job.note_written(&row);
        let ProgressRow { page, bytes } = row;
        rows.insert(page, bytes);
    }
    count <= limit
}

/// Returns the job as a successor restores it.
fn restore(job: &Job, rows: &Rows) -> Job {
    let mut restored = started(JobRecord {
        spec: (*job.spec).clone(),
        policy: job.policy.clone(),
        ..JobRecord::default()
    });
    let mut progress: Progress = decode(&rows[&None]).expect("the row is valid");
    for page in rows.iter().filter(|(page, _)| page.is_some()) {
        progress.join(decode(page.1).expect("the row is valid"));
    }
    restored.restore(&progress, Millis(2000));
    let starts = rows.keys().filter_map(|page| *page).collect();
    restored.restore_pages(starts);
    restored
}

/// Guards against failures that are lost between the rows of a job: rows are written in several transactions,
/// pages are divided meanwhile, and the leader changes between any two of them.
#[test]
fn no_failure_is_lost_between_the_rows_of_a_job() {
    for seed in 1..=4 {
        let mut random = Random::new(seed);
        let mut job = started(large_job(3, 8000, 255));
        let mut rows = Rows::new();
        let mut durable: Vec<Vec<u32>> = Vec::new();
        write(&mut job, &mut rows, usize::MAX);
        for run in 1..40u32 {
            let from = random.below(24_000);
            let tasks = 1 + random.below(12_000);
            for number in from..24_000.min(from + tasks) {
                let (step, index) = (number / 8000, number % 8000);
                let step = &mut job.rounds[0].steps[usize::try_from(step).expect("few")];
                let task = &mut step.tasks[usize::try_from(index).expect("few")];
                task.failed_runs.push(run * 1000);
                task.highest_run = run * 1000;
            }
            let limit = usize::try_from(random.below(6)).expect("few");
            if write(&mut job, &mut rows, limit) {
                durable = failures(&job);
            }
            let restored = restore(&job, &rows);
            for (known, task) in failures(&restored).iter().zip(&durable) {
                assert!(known.starts_with(task), "seed {seed}: {known:?}, {task:?}");
            }
            if random.one_in(5) {
                job = restored;
            }
        }
        assert!(rows.len() > 4, "seed {seed}");
    }
}

fn failures(job: &Job) -> Vec<Vec<u32>> {
    let steps = job.rounds[0].steps.iter();
    let tasks = steps.flat_map(|step| &step.tasks);
    tasks.map(|task| task.failed_runs.clone()).collect()
}

/// Guards against failed runs that are lost as nodes are updated one by one: a leader of the last version reads and
/// writes the first row alone, beside pages that are older by then.
#[test]
fn a_page_that_is_older_than_the_first_row_takes_no_failure_away() {
    let mut job = started(large_job(2, 8000, 255));
    let mut rows = Rows::new();
    for task in job.rounds[0]
        .steps
        .iter_mut()
        .flat_map(|step| &mut step.tasks)
    {
        task.failed_runs = vec![1];
        task.highest_run = 1;
    }
    write(&mut job, &mut rows, usize::MAX);
    let mut first: Progress = decode(&rows[&None]).expect("the row is valid");
    let (last, failed) = (7999, vec![16_385, 16_386]);
    let marks = &mut first.rounds[0].steps[1].marks;
    assert!(marks.is_empty(), "the task's history is in a page");
    marks.push(TaskMark {
        index: last,
        failed_runs: failed.clone(),
        last_run: 16_386,
        ..TaskMark::default()
    });
    rows.insert(None, encode(&first));

    let restored = restore(&job, &rows);

    let task = &restored.rounds[0].steps[1].tasks[7999];
    assert_eq!(task.failed_runs, [failed, vec![1]].concat());
    assert_eq!(task.highest_run, 16_386);
}

/// Guards against rows that outgrow their limit by what else is stored of tasks: saved states of waiting tasks,
/// lost runs on VMs with long names, and rounds of a schedule that overlap.
#[test]
fn histories_of_every_kind_fit_their_rows() {
    for seed in 1..=6 {
        let mut random = Random::new(seed);
        let mut record = large_job(2, 300, 255);
        record.spec.steps[0].checkpoint = true;
        record.spec.repeats = 1000;
        record.spec.period = Millis(10);
        let mut job = started(record);
        let mut rows = Rows::new();
        for beat in 0..20u32 {
            job.start_due_rounds(Crowding::None, Millis(1000 + u64::from(beat) * 50));
            for round in &mut job.rounds {
                for task in round.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                    match random.below(12) {
                        0 => task.failed_runs.push(u32::MAX - beat),
                        1 => task.saved = "s".repeat(1 + beat as usize * 100).into(),
                        2 => task.lost_runs.push(lost_run(beat)),
                        _ => {}
                    }
                }
            }
            write(&mut job, &mut rows, usize::MAX);
            let restored = restore(&job, &rows);
            assert_eq!(restored.rounds.len(), job.rounds.len());
            for (round, known) in job.rounds.iter().zip(&restored.rounds) {
                let tasks = |round: &Round| {
                    let tasks = round.steps.iter().flat_map(|step| &step.tasks);
                    let kept = tasks.map(|task| {
                        let lost = task.lost_runs.len();
                        (task.failed_runs.clone(), task.saved.clone(), lost)
                    });
                    kept.collect::<Vec<_>>()
                };
                assert_eq!(tasks(round), tasks(known), "seed {seed}");
            }
        }
        assert!(rows.len() > 4, "seed {seed}");
    }
}

fn lost_run(run: u32) -> LostRun {
    LostRun {
        run,
        vm: "v".repeat(200).into(),
        address: "127.0.0.1:9000".into(),
        incarnation: 1_900_000_000_000,
        suspicion: Suspicion::Sole,
        confirmed: false,
    }
}

/// Guards against a list of VMs with stops that is longer than a row. A successor then spares all VMs.
#[test]
fn a_list_of_stops_that_is_too_long_is_left_empty() {
    let mut bench = Bench::new(0);
    bench.cell = Cell::new(Limits::default(), 2, bench.now, bench.now);
    for index in 0..700 {
        let mut info = crate::support::vm_info(index);
        info.id = format!("{index:0200}").into();
        bench.vms.push(bench.cell.vm_listed(info, bench.now));
    }
    bench.cell.assume_stops_on_all();

    let batch = bench.cell.take_batch(0, bench.now);

    check_batch(&batch);
    let stops = RowWrite::StopList(Vec::new());
    assert!(batch.writes.contains(&stops));
}
