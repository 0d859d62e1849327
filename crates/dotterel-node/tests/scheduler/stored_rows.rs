//! Rows of the store: those that it refuses for their content, and progress in several rows.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use dotterel_cell::record::{
    self, JobRow, PageStart, Progress, RoundProgress, StepProgress, TaskMark,
};
use dotterel_cell::{JobId, JobState, TaskName};
use dotterel_kernel::Millis;
use dotterel_node::link::{CellNo, Reply, Request, SchedulerMessage};
use dotterel_node::platform::Table;
use tokio::time::sleep;

use crate::support::{
    OneVm, connect, next_message, request, run, run_paused, start_scheduler, submit,
};
use crate::two_leaders::{lead, stored_record};
use crate::world::World;

const PART: fn() -> CompactString = || CellNo(0).part(0);

fn task(job: u64, index: u32) -> TaskName {
    TaskName {
        job: JobId(job),
        round: 0,
        step: 0,
        index,
    }
}

/// Stores an accepted job of two tasks.
fn store_job(world: &World, job: u64) {
    let row = JobRow::Open(Box::new(stored_record(2)));
    let row = record::encode(&row);
    world.put(&PART(), Table::Jobs, &format!("{}", JobId(job)), row);
}

/// Returns the stored end of a job.
fn stored_end(world: &World, job: u64) -> Option<JobState> {
    let row = world.row(&PART(), Table::Jobs, &format!("{}", JobId(job)))?;
    match record::decode(&row)? {
        JobRow::Ended(end) => Some(end.state),
        _ => None,
    }
}

/// Guards against a cell that stops for good since the store refuses one row: each transaction had it, also
/// those that renew the leadership.
#[test]
fn a_refused_row_keeps_nothing_else_from_being_stored() {
    run_paused(async {
        let world = World::new();
        world.add_vm("near");
        store_job(&world, 1);
        store_job(&world, 2);
        let refused = (Table::Progress, format_compact!("{}", JobId(1)));
        world.refused_row.replace(Some(refused));
        let view = world.view();
        let host = lead(&view, "entry-1", 1).await;
        sleep(Duration::from_secs(3)).await;

        world.finish("near", task(1, 0));
        sleep(Duration::from_secs(1)).await;
        for index in 0..2 {
            world.finish("near", task(2, index));
        }
        sleep(Duration::from_secs(1)).await;
        let other = stored_end(&world, 2);
        let early = stored_end(&world, 1);
        sleep(Duration::from_secs(8)).await;

        assert_eq!((other, early), (Some(JobState::Completed), None));
        assert_eq!(stored_end(&world, 1), Some(JobState::Failed));
        assert!(host.leads(CellNo(0)), "the leadership is renewed");
    });
}

/// Guards against callers who have cancelled a job that the store refuses, and get no answer.
#[test]
fn callers_of_a_refused_job_are_answered() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;
        platform.refuses_jobs.set(true);
        platform.store_delay.set(Millis(200));
        let job = Box::new(stored_record(1));
        request(&mut front, 2, Request::Submit(JobId(2), job)).await;
        request(&mut front, 3, Request::Cancel(JobId(2))).await;

        let mut replies = Vec::new();
        while replies.len() < 2 {
            if let SchedulerMessage::Reply(request, reply) = next_message(&mut front).await {
                replies.push((request, reply));
            }
        }

        let refused = Reply::Never("the store refuses the job".into());
        let cancelled = Reply::Cancelled(false);
        assert_eq!(replies, [(2, refused), (3, cancelled)]);
    });
}

/// Returns progress with two failed runs of a task.
fn failures_of(index: u32, run: u32) -> Progress {
    let mark = TaskMark {
        index,
        failed_runs: vec![run, run + 1],
        last_run: run + 1,
        ..TaskMark::default()
    };
    let step = StepProgress {
        done: vec![0],
        marks: vec![mark],
        failed_runs: Vec::new(),
    };
    let round = RoundProgress {
        round: 0,
        steps: vec![step],
    };
    Progress {
        rounds: vec![round],
        next_round: 1,
    }
}

/// Guards against failed runs in further rows that a successor doesn't read, and against rows that are left over.
#[test]
fn a_successor_reads_all_rows_of_a_jobs_progress_and_deletes_them_at_its_end() {
    run_paused(async {
        let world = World::new();
        world.add_vm("near");
        store_job(&world, 1);
        let key = format!("{}", JobId(1));
        let page = PageStart {
            round: 0,
            step: 0,
            index: 1,
        };
        let row = record::encode(&failures_of(0, 70_000));
        world.put(&PART(), Table::Progress, &key, row);
        let row = record::encode(&failures_of(1, 80_000));
        world.put(
            &PART(),
            Table::Progress,
            &format!("{key}.{page}"),
            row.clone(),
        );
        // A row of a job that has ended.
        let other = format!("{}.{page}", JobId(3));
        world.put(&PART(), Table::Progress, &other, row);
        let view = world.view();
        let _host = lead(&view, "entry-1", 1).await;
        sleep(Duration::from_secs(3)).await;

        let runs = [task(1, 0), task(1, 1)].map(|task| world.run_on("near", task));
        for index in 0..2 {
            world.finish("near", task(1, index));
        }
        sleep(Duration::from_secs(2)).await;

        assert_eq!(runs, [Some(70_002), Some(80_002)]);
        assert_eq!(stored_end(&world, 1), Some(JobState::Completed));
        assert_eq!(world.keys(Table::Progress), Vec::<CompactString>::new());
    });
}
