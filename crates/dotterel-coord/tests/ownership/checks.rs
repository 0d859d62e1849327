//! Checks of the nodes against what the workers recorded.

use dotterel_coord::DispatchOutcome;
use dotterel_kernel::Millis;
use dotterel_platform::Refusal;
use dotterel_standin::checker::{self, Run, RunEnd};
use dotterel_standin::{Event, FakeWorker};

use crate::node::{SLOTS, Sent};

/// Returns the maximum number of tasks that ran on the worker at the same time.
pub(crate) fn max_concurrent_tasks(worker: &FakeWorker) -> usize {
    let runs = checker::runs(std::slice::from_ref(worker));
    let end = |run: &Run| run.end.map_or(Millis::MAX, |end| end.0);
    let running = |time| {
        let active = runs
            .iter()
            .filter(|run| run.from <= time && time < end(run));
        active.count()
    };
    runs.iter().map(|run| running(run.from)).max().unwrap_or(0)
}

/// Returns the number of starts that the worker refused with a matching reason.
pub(crate) fn count_refusals(worker: &FakeWorker, predicate: impl Fn(&Refusal) -> bool) -> usize {
    let log = worker.event_log();
    let refusals = log.iter().filter(|seen| match &seen.event {
        Event::Refused(_, refusal) => predicate(refusal),
        _ => false,
    });
    refusals.count()
}

/// Returns true if the outcome that a node reported agrees with the runs that the workers recorded.
pub(crate) fn outcome_matches_runs(sent: &Sent, workers: &[FakeWorker]) -> bool {
    let mut runs = checker::runs(workers);
    runs.retain(|run| run.info.task == sent.task);
    let end = runs.first().map(|run| run.end.map(|end| end.1));
    match &sent.outcome {
        None | Some(DispatchOutcome::Unknown) => true,
        Some(DispatchOutcome::NotRun(_)) => runs.is_empty(),
        Some(DispatchOutcome::Cut) => matches!(end, Some(Some(RunEnd::Cut(_)))),
        Some(DispatchOutcome::Ran(response)) => {
            let body = format!("{{\"run_ms\":{}}}", sent.run_ms);
            end == Some(Some(RunEnd::Finished(response.status))) && response.body == body
        }
    }
}

/// Returns the violations of the invariants that must hold under any failure.
pub(crate) fn violations(workers: &[FakeWorker], sent: &[Sent]) -> Vec<String> {
    let overloaded = workers
        .iter()
        .filter(|worker| max_concurrent_tasks(worker) > SLOTS as usize);
    let mut violations: Vec<String> = overloaded
        .map(|worker| format!("{} is over its declared capacity", worker.vm()))
        .collect();
    let mismatches = sent
        .iter()
        .filter(|sent| !outcome_matches_runs(sent, workers));
    violations.extend(mismatches.map(|sent| format!("wrong outcome: {sent:?}")));
    let overlapping = checker::overlapping_runs(workers);
    violations.extend(
        overlapping
            .iter()
            .map(|overlapping| format!("{overlapping:?}")),
    );
    violations
}
