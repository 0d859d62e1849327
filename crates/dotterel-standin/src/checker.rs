//! Checks invariants on the event logs of workers.

use dotterel_kernel::{JobId, Millis, RequestId, Size, TaskId, VmId};

use serde::Serialize;

use crate::event_log::{CutCause, Event, RunInfo};
use crate::worker::FakeWorker;

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    /// The worker.
    pub vm: VmId,
    /// The task as described by its start request.
    pub info: RunInfo,
    /// The start time.
    pub from: Millis,
    /// The end time and how the run ended; `None` while it runs.
    pub end: Option<(Millis, RunEnd)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RunEnd {
    /// Completed with this status.
    Finished(u16),
    /// Stopped before it completed.
    Cut(CutCause),
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// The tasks on a worker exceeded its capacity.
    OverCapacity {
        /// The worker.
        vm: VmId,
        /// The time.
        at: Millis,
        /// The sum of the sizes of its tasks.
        used: Size,
        /// Its capacity.
        capacity: Size,
    },
    /// Two runs of the same work overlapped.
    TwoPlaces(Box<(Run, Run)>),
    /// A request that must not be repeated ran more than once.
    Repeated(RequestId, Vec<Run>),
    /// A task started on a worker that had been leaving for too long.
    AfterLeaving(Run),
}

/// Identifies work that must not run twice at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkKey {
    Request(RequestId),
    Task(JobId, u32),
}

/// Returns all runs, grouped by worker and ordered by start.
#[must_use]
pub fn runs(workers: &[FakeWorker]) -> Vec<Run> {
    workers.iter().flat_map(runs_on_worker).collect()
}

/// Returns the runs of a request.
#[must_use]
pub fn runs_of_request(workers: &[FakeWorker], request: RequestId) -> Vec<Run> {
    let mut runs = runs(workers);
    runs.retain(|run| run.info.request == Some(request));
    runs
}

/// Returns the runs of a job's tasks.
#[must_use]
pub fn runs_of_job(workers: &[FakeWorker], job: JobId) -> Vec<Run> {
    let mut runs = runs(workers);
    runs.retain(|run| run.info.job == Some(job));
    runs
}

/// Finds the events after which a worker's tasks exceeded its capacity.
#[must_use]
pub fn over_capacity(workers: &[FakeWorker]) -> Vec<Violation> {
    workers.iter().flat_map(over_capacity_on_worker).collect()
}

/// Finds overlapping runs of the same request, or of the same task of a job.
///
/// Tasks of jobs without an index are ignored.
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

/// Finds those of the given requests that started more than once.
#[must_use]
pub fn repeated_runs(workers: &[FakeWorker], unrepeatable: &[RequestId]) -> Vec<Violation> {
    let runs = |request: &RequestId| (*request, runs_of_request(workers, *request));
    let twice = |(_, runs): &(RequestId, Vec<Run>)| runs.len() > 1;
    let violations = unrepeatable.iter().map(runs).filter(twice);
    violations
        .map(|(request, runs)| Violation::Repeated(request, runs))
        .collect()
}

/// Finds runs that started on the workers after `since`.
#[must_use]
pub fn started_after(workers: &[FakeWorker], since: Millis) -> Vec<Violation> {
    let late = runs(workers).into_iter().filter(|run| run.from > since);
    late.map(Violation::AfterLeaving).collect()
}

fn runs_on_worker(worker: &FakeWorker) -> Vec<Run> {
    let vm = worker.vm();
    let mut runs: Vec<Run> = Vec::new();
    for logged in worker.event_log() {
        match logged.event {
            Event::Started(info) => runs.push(Run {
                vm: vm.clone(),
                info,
                from: logged.at,
                end: None,
            }),
            Event::Ended(task, status) => end(&mut runs, task, logged.at, RunEnd::Finished(status)),
            Event::Cut(task, cause) => end(&mut runs, task, logged.at, RunEnd::Cut(cause)),
            _ => {}
        }
    }
    runs
}

/// Sets the end of a task's run; searches backwards, because most tasks end soon after their start.
fn end(runs: &mut [Run], task: TaskId, at: Millis, run_end: RunEnd) {
    let is_open = |run: &&mut Run| run.info.task == task && run.end.is_none();
    if let Some(run) = runs.iter_mut().rev().find(is_open) {
        run.end = Some((at, run_end));
    }
}

fn over_capacity_on_worker(worker: &FakeWorker) -> Vec<Violation> {
    let (vm, capacity) = (worker.vm(), worker.capacity());
    let mut running: Vec<(TaskId, Size)> = Vec::new();
    let mut violations = Vec::new();
    for logged in worker.event_log() {
        match logged.event {
            Event::Started(info) => running.push((info.task, info.size)),
            Event::Ended(task, _) | Event::Cut(task, _) => running.retain(|entry| entry.0 != task),
            _ => continue,
        }
        let used = running
            .iter()
            .fold(Size::ZERO, |sum, entry| sum.plus(&entry.1));
        if !used.fits(&capacity) {
            violations.push(Violation::OverCapacity {
                vm: vm.clone(),
                at: logged.at,
                used,
                capacity,
            });
        }
    }
    violations
}

fn work_key(info: &RunInfo) -> Option<WorkKey> {
    if let Some(request) = info.request {
        return Some(WorkKey::Request(request));
    }
    Some(WorkKey::Task(info.job?, info.index?))
}

/// Finds overlaps between the runs of the same work, which are sorted by start.
fn overlaps(group: &[(WorkKey, Run)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, (_, first)) in group.iter().enumerate() {
        let until = first.end.map_or(Millis::MAX, |end| end.0);
        for (_, second) in &group[index + 1..] {
            if second.from < until {
                let pair = (first.clone(), second.clone());
                violations.push(Violation::TwoPlaces(Box::new(pair)));
            }
        }
    }
    violations
}
