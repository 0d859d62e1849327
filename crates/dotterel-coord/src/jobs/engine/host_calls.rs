//! Calls of an engine to its host, which run concurrently with its rounds.

use std::sync::Arc;

use dotterel_kernel::{JobId, NodeId, TaskId};
use dotterel_platform::TaskSignal;
use tokio::task::JoinSet;

use crate::jobs::host::{AttemptState, HoldId, JobHost, LaunchOutcome, TaskStart};
use crate::jobs::place::{self, PlacementRequest, Reservation};
use crate::jobs::record::AttemptRecord;

/// The maximum number of concurrent calls to stop attempts.
const MAX_CONCURRENT_CALLS: usize = 32;

/// The outcome of a call to the host.
#[derive(Debug)]
pub(super) enum Event {
    /// Capacity is held; `None` if there is not enough.
    Placed(PlacementRequest, Option<Reservation>),
    /// The starts of a job's attempts have completed.
    Launched(JobId, Vec<(u32, TaskId, LaunchOutcome)>),
    /// The states of attempts.
    Polled(Vec<(JobId, u32, TaskId, AttemptState)>),
    /// The call has no result.
    Done,
}

pub(super) async fn place(host: Arc<dyn JobHost>, request: PlacementRequest) -> Event {
    let reservation = place::place(host.owners(), &request).await;
    Event::Placed(request, reservation)
}

pub(super) async fn release(host: Arc<dyn JobHost>, holds: Vec<(HoldId, NodeId)>) -> Event {
    place::release(&host.owners(), &holds).await;
    Event::Done
}

pub(super) async fn signal(
    host: Arc<dyn JobHost>,
    attempt: AttemptRecord,
    signal: TaskSignal,
) -> Event {
    host.signal(&attempt, signal).await;
    Event::Done
}

/// Commits the holds of attempts, then starts the attempts.
pub(super) async fn launch(
    host: Arc<dyn JobHost>,
    job: JobId,
    holds: Vec<(HoldId, NodeId)>,
    starts: Vec<TaskStart>,
) -> Event {
    let tasks: Vec<_> = starts.iter().map(|s| (s.index, s.attempt.task)).collect();
    if !place::commit(&host.owners(), &holds).await {
        let not_run = |(index, task)| (index, task, LaunchOutcome::NotRun);
        return Event::Launched(job, tasks.into_iter().map(not_run).collect());
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

/// Stops attempts, a limited number at a time.
pub(super) async fn stop(
    host: Arc<dyn JobHost>,
    job: JobId,
    attempts: Vec<(u32, AttemptRecord)>,
) -> Event {
    let mut polled = Vec::new();
    for batch in attempts.chunks(MAX_CONCURRENT_CALLS) {
        let mut calls = JoinSet::new();
        for (index, attempt) in batch.iter().cloned() {
            let host = Arc::clone(&host);
            calls.spawn(async move { (job, index, attempt.task, host.stop(&attempt).await) });
        }
        polled.extend(calls.join_all().await);
    }
    Event::Polled(polled)
}

pub(super) async fn poll(
    host: Arc<dyn JobHost>,
    running: Vec<(JobId, u32, AttemptRecord)>,
) -> Event {
    let attempts: Vec<_> = running.iter().map(|entry| entry.2.clone()).collect();
    let states = host.query_attempts(&attempts).await;
    let polled = running.into_iter().zip(states);
    Event::Polled(
        polled
            .map(|((job, index, attempt), state)| (job, index, attempt.task, state))
            .collect(),
    )
}
