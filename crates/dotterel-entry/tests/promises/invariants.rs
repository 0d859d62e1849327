//! The invariants checked after every scenario: compares the event logs of the workers with the
//! outcomes that callers got.

use std::time::Duration;

use dotterel_kernel::{Document, Fate, Millis, Record, RequestId, VmId};
use dotterel_standin::FakeWorker;
use dotterel_standin::checker::{self, Run, RunEnd};

use http::StatusCode;

use crate::callers::{Call, Outcome, get};
use crate::cell::{Cell, DOCUMENT};

/// Upper bound of the time that a start request sent under faults can still be in flight.
const MAX_START_DELAY: Duration = Duration::from_millis(600);

/// Clears all faults, waits for calls in flight and late starts, and returns all violations.
pub(crate) async fn find_violations(cell: &mut Cell) -> Vec<String> {
    cell.clear_faults();
    cell.finish().await;
    tokio::time::sleep(MAX_START_DELAY).await;
    let (workers, calls) = (cell.cluster.workers(), cell.callers.calls());
    let runs = checker::runs(&workers);
    let mut violations = cell.monitor.violations();
    let found = checker::over_capacity(&workers).into_iter();
    let found = found.chain(checker::overlapping_runs(&workers));
    violations.extend(found.map(|violation| format!("{violation:?}")));
    violations.extend(
        calls
            .iter()
            .filter_map(|call| check_outcome(cell, call, &runs)),
    );
    violations.extend(repeated_runs(&calls, &runs));
    violations.extend(runs.iter().filter_map(undersized));
    violations.extend(
        cell.leaving
            .iter()
            .flat_map(|l| starts_after_leaving(&workers, l)),
    );
    violations.extend(false_records(cell, &calls, &runs).await);
    violations.extend(changed_texts(cell).await);
    violations
}

/// Checks that the outcome of a call is true. A call may be disconnected or time out only if its
/// node crashed or paused.
fn check_outcome(cell: &Cell, call: &Call, runs: &[Run]) -> Option<String> {
    let disrupted = cell
        .entries
        .iter()
        .any(|e| e.name == call.node && e.disrupted);
    let violation = match call.outcome.as_ref() {
        None => "has no outcome",
        Some(Outcome::Ran(body)) if *body != call.body => "got the body of another call",
        Some(Outcome::Ran(_)) if !runs.iter().any(|run| finished(run, call)) => {
            "got the fate ran, but no worker finished it"
        }
        Some(Outcome::NotRun(_)) if call.request.is_some_and(|id| started(runs, id)) => {
            "got the fate not-run, but a worker started it"
        }
        Some(Outcome::NotRun(_))
            if call.key.is_none() && runs.iter().any(|run| is_run_of(run, call)) =>
        {
            "got the fate not-run, but a worker started work with its index"
        }
        Some(Outcome::Refused(status)) if *status != StatusCode::SERVICE_UNAVAILABLE => {
            "was refused with a status other than 503"
        }
        Some(Outcome::Refused(_))
            if runs.iter().any(|run| is_run_of(run, call)) && call.key.is_none() =>
        {
            "was refused, but a worker started work with its index"
        }
        Some(Outcome::Disconnected(_)) if !disrupted => {
            "was disconnected by a node that neither crashed nor paused"
        }
        Some(Outcome::TimedOut) if !disrupted => {
            "timed out at a node that neither crashed nor paused"
        }
        _ => return None,
    };
    Some(format!("{call:?} {violation}"))
}

fn started(runs: &[Run], request: RequestId) -> bool {
    runs.iter().any(|run| run.info.request == Some(request))
}

fn is_run_of(run: &Run, call: &Call) -> bool {
    run.info.index == Some(call.index) && run.info.class == call.class
}

fn finished(run: &Run, call: &Call) -> bool {
    is_run_of(run, call) && matches!(run.end, Some((_, RunEnd::Finished(_))))
}

/// Checks that a task started with at least the size that its class declares.
fn undersized(run: &Run) -> Option<String> {
    let document = Document::parse(DOCUMENT).expect("the document is valid");
    let class = document.class(&run.info.class);
    let is_declared = class.is_some_and(|class| class.size.fits(&run.info.size));
    (!is_declared).then(|| format!("started with a smaller size than declared: {run:?}"))
}

/// Finds orders that ran more than once, also under different request identifiers.
fn repeated_runs(calls: &[Call], runs: &[Run]) -> Vec<String> {
    let keyed = calls.iter().filter(|call| call.key.is_some());
    let repeated = keyed.filter_map(|call| {
        let found: Vec<&Run> = runs.iter().filter(|run| is_run_of(run, call)).collect();
        (found.len() > 1).then(|| format!("key {:?} ran more than once: {found:?}", call.key))
    });
    let mut repeated: Vec<String> = repeated.collect();
    repeated.dedup();
    repeated
}

/// Finds tasks that started on a leaving worker after the time from which none may start.
fn starts_after_leaving(workers: &[FakeWorker], leaving: &(VmId, Millis)) -> Vec<String> {
    let worker = workers.iter().filter(|worker| worker.vm() == leaving.0);
    let worker: Vec<FakeWorker> = worker.cloned().collect();
    let late = checker::started_after(&worker, leaving.1);
    late.iter()
        .map(|violation| format!("{violation:?}"))
        .collect()
}

/// Compares the records of the live nodes with the event logs of the workers.
async fn false_records(cell: &Cell, calls: &[Call], runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    for call in calls {
        let node = cell
            .entries
            .iter()
            .find(|e| e.name == call.node && e.is_up());
        let (Some(node), Some(request)) = (node, call.request) else {
            continue;
        };
        let record: Option<Record> = get(node.http, &format!("/v1/requests/{request}")).await;
        let Some(record) = record else { continue };
        let ran = started(runs, request);
        if matches!(record.fate, Some(Fate::NotRun(_))) && ran {
            violations.push(format!(
                "recorded as not-run, but a worker started it: {record:?}"
            ));
        }
        if record.fate == Some(Fate::Ran) && !ran {
            violations.push(format!(
                "recorded as ran, but no worker started it: {record:?}"
            ));
        }
    }
    violations
}

/// Checks that the document on each live node has the text accepted for its revision.
async fn changed_texts(cell: &Cell) -> Vec<String> {
    let mut violations = Vec::new();
    for entry in cell.entries.iter().filter(|entry| entry.is_up()) {
        let Some((revision, text)) = entry.document().await else {
            continue;
        };
        if cell
            .monitor
            .text(revision)
            .is_some_and(|accepted| accepted != text)
        {
            violations.push(format!(
                "{} has another text for revision {revision}",
                entry.name
            ));
        }
    }
    violations
}
