//! Checks of what must always hold, on what workers saw.

use dotterel_kernel::{JobId, Millis, RequestId, Size, TaskId, VmId};

use serde::Serialize;

use crate::event_log::{CutCause, Event, RunInfo};
use crate::worker::FakeWorker;

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    /// The worker.
    pub vm: VmId,
    /// The task as its start described it.
    pub info: RunInfo,
    /// When it started.
    pub from: Millis,
    /// When and how it ended; none while it runs.
    pub end: Option<(Millis, RunEnd)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RunEnd {
    /// To its end, with this status.
    Finished(u16),
    /// Stopped before its end.
    Cut(CutCause),
}

/// Something that must never happen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// A worker was given more than it can hold.
    OverCapacity {
        /// The worker.
        vm: VmId,
        /// When.
        at: Millis,
        /// What ran there.
        used: Size,
        /// What it can hold.
        capacity: Size,
    },
    /// The same work ran twice at once.
    TwoPlaces(Box<(Run, Run)>),
    /// An unrepeatable request ran more than once.
    Repeated(RequestId, Vec<Run>),
    /// Work started on a worker that had been leaving for too long.
    AfterLeaving(Run),
}

/// The identity of work that must not run in two places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkKey {
    Request(RequestId),
    Task(JobId, u32),
}

/// Returns all runs, those of one worker in the order of their starts.
#[must_use]
pub fn runs(workers: &[FakeWorker]) -> Vec<Run> {
    workers.iter().flat_map(runs_on).collect()
}

/// Returns all runs of one request.
#[must_use]
pub fn runs_of(workers: &[FakeWorker], request: RequestId) -> Vec<Run> {
    let mut runs = runs(workers);
    runs.retain(|run| run.info.request == Some(request));
    runs
}

/// Returns all runs of one job's tasks.
#[must_use]
pub fn runs_of_job(workers: &[FakeWorker], job: JobId) -> Vec<Run> {
    let mut runs = runs(workers);
    runs.retain(|run| run.info.job == Some(job));
    runs
}

/// Finds the moments at which a worker held more than it can.
#[must_use]
pub fn over_capacity(workers: &[FakeWorker]) -> Vec<Violation> {
    workers.iter().flat_map(over_capacity_on).collect()
}

/// Finds work that ran in two places at once: one request, or one numbered task of a job.
#[must_use]
pub fn overlapping_runs(workers: &[FakeWorker]) -> Vec<Violation> {
    let mut keyed: Vec<_> = runs(workers)
        .into_iter()
        .filter_map(|run| Some((work_key(&run.info)?, run)))
        .collect();
    keyed.sort_by_key(|(key, run)| (*key, run.from));
    let groups = keyed.chunk_by(|a, b| a.0 == b.0);
    groups.flat_map(overlaps).collect()
}

/// Finds unrepeatable requests that started more than once.
#[must_use]
pub fn repeated(workers: &[FakeWorker], unrepeatable: &[RequestId]) -> Vec<Violation> {
    let runs = |request: &RequestId| (*request, runs_of(workers, *request));
    let twice = |(_, runs): &(RequestId, Vec<Run>)| runs.len() > 1;
    let found = unrepeatable.iter().map(runs).filter(twice);
    found
        .map(|(request, runs)| Violation::Repeated(request, runs))
        .collect()
}

/// Finds work that started on one of the workers later than `since`.
#[must_use]
pub fn started_after(workers: &[FakeWorker], since: Millis) -> Vec<Violation> {
    let late = runs(workers).into_iter().filter(|run| run.from > since);
    late.map(Violation::AfterLeaving).collect()
}

fn runs_on(worker: &FakeWorker) -> Vec<Run> {
    let vm = worker.vm();
    let mut runs: Vec<Run> = Vec::new();
    for seen in worker.event_log() {
        match seen.event {
            Event::Started(info) => runs.push(Run {
                vm: vm.clone(),
                info,
                from: seen.at,
                end: None,
            }),
            Event::Ended(task, status) => end(&mut runs, task, seen.at, RunEnd::Finished(status)),
            Event::Cut(task, cause) => end(&mut runs, task, seen.at, RunEnd::Cut(cause)),
            _ => {}
        }
    }
    runs
}

/// Ends the run of a task; tasks end soon after they start, so the search runs backwards.
fn end(runs: &mut [Run], task: TaskId, at: Millis, how: RunEnd) {
    let open = |run: &&mut Run| run.info.task == task && run.end.is_none();
    if let Some(run) = runs.iter_mut().rev().find(open) {
        run.end = Some((at, how));
    }
}

fn over_capacity_on(worker: &FakeWorker) -> Vec<Violation> {
    let (vm, capacity) = (worker.vm(), worker.capacity());
    let mut held: Vec<(TaskId, Size)> = Vec::new();
    let mut found = Vec::new();
    for seen in worker.event_log() {
        match seen.event {
            Event::Started(info) => held.push((info.task, info.size)),
            Event::Ended(task, _) | Event::Cut(task, _) => held.retain(|entry| entry.0 != task),
            _ => continue,
        }
        let used = held
            .iter()
            .fold(Size::ZERO, |sum, entry| sum.plus(&entry.1));
        if !used.fits(&capacity) {
            found.push(Violation::OverCapacity {
                vm: vm.clone(),
                at: seen.at,
                used,
                capacity,
            });
        }
    }
    found
}

fn work_key(info: &RunInfo) -> Option<WorkKey> {
    if let Some(request) = info.request {
        return Some(WorkKey::Request(request));
    }
    Some(WorkKey::Task(info.job?, info.index?))
}

/// Compares the runs of one piece of work, sorted by their starts.
fn overlaps(group: &[(WorkKey, Run)]) -> Vec<Violation> {
    let mut found = Vec::new();
    for (index, (_, first)) in group.iter().enumerate() {
        let until = first.end.map_or(Millis::MAX, |end| end.0);
        for (_, second) in &group[index + 1..] {
            if second.from < until {
                let pair = (first.clone(), second.clone());
                found.push(Violation::TwoPlaces(Box::new(pair)));
            }
        }
    }
    found
}
