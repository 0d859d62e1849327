//! Judges nodes by what the workers saw.

use dotterel_coord::DispatchOutcome;
use dotterel_kernel::Millis;
use dotterel_platform::Refusal;
use dotterel_standin::checker::{self, Run, RunEnd};
use dotterel_standin::{Event, FakeWorker};

use crate::node::{SLOTS, Sent};

/// Returns the most tasks that ran on the worker at once.
pub(crate) fn crest(worker: &FakeWorker) -> usize {
    let runs = checker::runs(std::slice::from_ref(worker));
    let end = |run: &Run| run.end.map_or(Millis::MAX, |end| end.0);
    let running = |time| {
        let then = runs
            .iter()
            .filter(|run| run.from <= time && time < end(run));
        then.count()
    };
    runs.iter().map(|run| running(run.from)).max().unwrap_or(0)
}

/// Returns how many starts the worker refused for this reason.
pub(crate) fn refused(worker: &FakeWorker, why: impl Fn(&Refusal) -> bool) -> usize {
    let log = worker.event_log();
    let hits = log.iter().filter(|seen| match &seen.event {
        Event::Refused(_, refusal) => why(refusal),
        _ => false,
    });
    hits.count()
}

/// Returns true when what a node told of a request is what the workers saw.
pub(crate) fn is_true(sent: &Sent, workers: &[FakeWorker]) -> bool {
    let mut runs = checker::runs(workers);
    runs.retain(|run| run.info.task == sent.task);
    let end = runs.first().map(|run| run.end.map(|end| end.1));
    match &sent.told {
        None | Some(DispatchOutcome::Unknown) => true,
        Some(DispatchOutcome::NotRun(_)) => runs.is_empty(),
        Some(DispatchOutcome::Cut) => matches!(end, Some(Some(RunEnd::Cut(_)))),
        Some(DispatchOutcome::Ran(answer)) => {
            let body = format!("{{\"run_ms\":{}}}", sent.run_ms);
            end == Some(Some(RunEnd::Finished(answer.status))) && answer.body == body
        }
    }
}

/// Finds what must never happen, whatever fails.
pub(crate) fn faults(workers: &[FakeWorker], sent: &[Sent]) -> Vec<String> {
    let full = workers
        .iter()
        .filter(|worker| crest(worker) > SLOTS as usize);
    let mut found: Vec<String> = full
        .map(|worker| format!("{} is too full", worker.vm()))
        .collect();
    let lies = sent.iter().filter(|sent| !is_true(sent, workers));
    found.extend(lies.map(|sent| format!("not true: {sent:?}")));
    let twice = checker::overlapping_runs(workers);
    found.extend(twice.iter().map(|twice| format!("{twice:?}")));
    found
}
