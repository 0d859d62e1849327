//! The judgement at the end of every scenario: what workers saw against what callers were told.

use std::time::Duration;

use dotterel_kernel::{Document, Fate, Millis, Record, RequestId, VmId};
use dotterel_standin::FakeWorker;
use dotterel_standin::checker::{self, Run, RunEnd};

use http::StatusCode;

use crate::callers::{Call, Told, get};
use crate::cell::{Cell, DOCUMENT};

/// Longer than a start that was sent before the end of the faults can still be under way.
const LATE_STARTS: Duration = Duration::from_millis(600);

/// Finds everything that must not have happened.
pub(crate) async fn judge(cell: &mut Cell) -> Vec<String> {
    cell.heal();
    cell.finish().await;
    tokio::time::sleep(LATE_STARTS).await;
    let (workers, calls) = (cell.cluster.workers(), cell.callers.calls());
    let runs = checker::runs(&workers);
    let mut faults = cell.watch.faults();
    let seen = checker::over_capacity(&workers).into_iter();
    let seen = seen.chain(checker::overlapping_runs(&workers));
    faults.extend(seen.map(|fault| format!("{fault:?}")));
    faults.extend(calls.iter().filter_map(|call| answer(cell, call, &runs)));
    faults.extend(repeated(&calls, &runs));
    faults.extend(runs.iter().filter_map(undersized));
    faults.extend(cell.leaving.iter().flat_map(|l| after_leaving(&workers, l)));
    faults.extend(records(cell, &calls, &runs).await);
    faults.extend(texts(cell).await);
    faults
}

/// Checks what one caller was told.
fn answer(cell: &Cell, call: &Call, runs: &[Run]) -> Option<String> {
    let hurt = cell.entries.iter().any(|e| e.name == call.node && e.hurt);
    let fault = match call.told.as_ref() {
        None => "has no outcome",
        Some(Told::Ran(body)) if *body != call.body => "got another answer than its own",
        Some(Told::Ran(_)) if !runs.iter().any(|run| finished(run, call)) => {
            "was told ran, but no worker finished it"
        }
        Some(Told::NotRun(_)) if call.request.is_some_and(|id| started(runs, id)) => {
            "was told not-run, but a worker started it"
        }
        Some(Told::NotRun(_)) if call.key.is_none() && runs.iter().any(|run| named(run, call)) => {
            "was told not-run, but a worker started work of its number"
        }
        Some(Told::Refused(status)) if *status != StatusCode::SERVICE_UNAVAILABLE => {
            "was refused for good"
        }
        Some(Told::Refused(_)) if runs.iter().any(|run| named(run, call)) && call.key.is_none() => {
            "was refused, but a worker started work of its number"
        }
        Some(Told::Broken(_)) if !hurt => "was cut off",
        Some(Told::Silence) if !hurt => "was never answered",
        _ => return None,
    };
    Some(format!("{call:?} {fault}"))
}

fn started(runs: &[Run], request: RequestId) -> bool {
    runs.iter().any(|run| run.info.request == Some(request))
}

fn named(run: &Run, call: &Call) -> bool {
    run.info.index == Some(call.index) && run.info.class == call.class
}

fn finished(run: &Run, call: &Call) -> bool {
    named(run, call) && matches!(run.end, Some((_, RunEnd::Finished(_))))
}

/// Finds starts that took less of a worker than their class declares.
fn undersized(run: &Run) -> Option<String> {
    let document = Document::parse(DOCUMENT).expect("the document is valid");
    let class = document.class(&run.info.class);
    let declared = class.is_some_and(|class| class.size.fits(&run.info.size));
    (!declared).then(|| format!("started with another size than declared: {run:?}"))
}

/// Finds unrepeatable work that ran more than once, whatever its requests are called.
fn repeated(calls: &[Call], runs: &[Run]) -> Vec<String> {
    let keyed = calls.iter().filter(|call| call.key.is_some());
    let twice = keyed.filter_map(|call| {
        let found: Vec<&Run> = runs.iter().filter(|run| named(run, call)).collect();
        (found.len() > 1).then(|| format!("key {:?} ran more than once: {found:?}", call.key))
    });
    let mut twice: Vec<String> = twice.collect();
    twice.dedup();
    twice
}

fn after_leaving(workers: &[FakeWorker], leaving: &(VmId, Millis)) -> Vec<String> {
    let of = workers.iter().filter(|worker| worker.vm() == leaving.0);
    let of: Vec<FakeWorker> = of.cloned().collect();
    let late = checker::started_after(&of, leaving.1);
    late.iter().map(|fault| format!("{fault:?}")).collect()
}

/// Compares the records of the live nodes with what the workers saw.
async fn records(cell: &Cell, calls: &[Call], runs: &[Run]) -> Vec<String> {
    let mut faults = Vec::new();
    for call in calls {
        let node = cell.entries.iter().find(|e| e.name == call.node && e.up());
        let (Some(node), Some(request)) = (node, call.request) else {
            continue;
        };
        let record: Option<Record> = get(node.http, &format!("/v1/requests/{request}")).await;
        let Some(record) = record else { continue };
        let ran = started(runs, request);
        if matches!(record.fate, Some(Fate::NotRun(_))) && ran {
            faults.push(format!(
                "recorded as not-run, but a worker started it: {record:?}"
            ));
        }
        if record.fate == Some(Fate::Ran) && !ran {
            faults.push(format!(
                "recorded as ran, but no worker started it: {record:?}"
            ));
        }
    }
    faults
}

/// Checks that a revision has the text that was accepted under its number.
async fn texts(cell: &Cell) -> Vec<String> {
    let mut faults = Vec::new();
    for entry in cell.entries.iter().filter(|entry| entry.up()) {
        let Some((revision, text)) = entry.document().await else {
            continue;
        };
        if cell
            .watch
            .text(revision)
            .is_some_and(|accepted| accepted != text)
        {
            faults.push(format!(
                "{} has another text for revision {revision}",
                entry.name
            ));
        }
    }
    faults
}
