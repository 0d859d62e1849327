//! What an engine has its host do, beside its rounds.

use std::sync::Arc;

use dotterel_kernel::{JobId, NodeId, TaskId};
use dotterel_platform::Pressure;
use tokio::task::JoinSet;

use crate::jobs::host::{AttemptState, HoldId, JobHost, LaunchOutcome, TaskStart};
use crate::jobs::place::{self, Need, Plan};
use crate::jobs::record::AttemptRecord;

/// The most calls of one effect under way at once.
const CALLS: usize = 32;

/// What came of an effect.
#[derive(Debug)]
pub(super) enum Event {
    /// Capacity is held, or there is none.
    Placed(Need, Option<Plan>),
    /// The starts of a job's attempts are over.
    Launched(JobId, Vec<(u32, TaskId, LaunchOutcome)>),
    /// The standing of attempts.
    Stood(Vec<(JobId, u32, TaskId, AttemptState)>),
    /// Nothing to tell.
    Done,
}

pub(super) async fn place(host: Arc<dyn JobHost>, need: Need) -> Event {
    let plan = place::place(host.owners(), &need).await;
    Event::Placed(need, plan)
}

pub(super) async fn release(host: Arc<dyn JobHost>, holds: Vec<(HoldId, NodeId)>) -> Event {
    place::release(&host.owners(), &holds).await;
    Event::Done
}

pub(super) async fn press(
    host: Arc<dyn JobHost>,
    attempt: AttemptRecord,
    pressure: Pressure,
) -> Event {
    host.press(&attempt, pressure).await;
    Event::Done
}

/// Starts attempts once all of their holds are made to last.
pub(super) async fn launch(
    host: Arc<dyn JobHost>,
    job: JobId,
    holds: Vec<(HoldId, NodeId)>,
    starts: Vec<TaskStart>,
) -> Event {
    let tasks: Vec<_> = starts.iter().map(|s| (s.index, s.attempt.task)).collect();
    if !place::commit(&host.owners(), &holds).await {
        let never = |(index, task)| (index, task, LaunchOutcome::NotRun);
        return Event::Launched(job, tasks.into_iter().map(never).collect());
    }
    let mut calls = JoinSet::new();
    for start in starts {
        let host = Arc::clone(&host);
        calls.spawn(async move {
            let (index, task) = (start.index, start.attempt.task);
            (index, task, host.launch(start).await)
        });
    }
    Event::Launched(job, calls.join_all().await)
}

/// Stops attempts, a bounded number at a time.
pub(super) async fn stop(
    host: Arc<dyn JobHost>,
    job: JobId,
    attempts: Vec<(u32, AttemptRecord)>,
) -> Event {
    let mut found = Vec::new();
    for batch in attempts.chunks(CALLS) {
        let mut calls = JoinSet::new();
        for (index, attempt) in batch.iter().cloned() {
            let host = Arc::clone(&host);
            calls.spawn(async move { (job, index, attempt.task, host.stop(&attempt).await) });
        }
        found.extend(calls.join_all().await);
    }
    Event::Stood(found)
}

pub(super) async fn survey(
    host: Arc<dyn JobHost>,
    running: Vec<(JobId, u32, AttemptRecord)>,
) -> Event {
    let attempts: Vec<_> = running.iter().map(|entry| entry.2.clone()).collect();
    let standings = host.query_attempts(&attempts).await;
    let found = running.into_iter().zip(standings);
    Event::Stood(
        found
            .map(|((job, index, attempt), standing)| (job, index, attempt.task, standing))
            .collect(),
    )
}
