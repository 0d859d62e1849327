//! Times of lease grants, releases and starts, from the event logs of the workers.

use dotterel_kernel::{Millis, VmId};
use dotterel_standin::{Event, FakeWorker, LoggedEvent};

use crate::report::Phase;

/// A worker without a start for this long counts as ejected; shorter gaps occur by chance.
const MIN_EJECTION_GAP: Millis = Millis(2_000);

/// Returns, for each worker that `node` owned at `end`, the time at which it granted its lease to
/// another node; `None` if it did not.
pub(crate) fn regrants(
    workers: &[FakeWorker],
    node: &str,
    end: Millis,
) -> Vec<(VmId, Option<Millis>)> {
    let owned = workers
        .iter()
        .filter(|worker| owner_at(worker, end) == Some(node.into()));
    let found = owned.map(|worker| {
        let is_regrant = |entry: &LoggedEvent| {
            let owner = entry.owner.as_ref().map(|owner| owner.node.as_str());
            entry.event == Event::Granted && entry.at >= end && owner != Some(node)
        };
        let granted = worker.event_log().into_iter().find(is_regrant);
        (worker.vm(), granted.map(|entry| entry.at))
    });
    found.collect()
}

/// Returns the node that owned a worker at this time.
pub(crate) fn owner_at(worker: &FakeWorker, at: Millis) -> Option<String> {
    let log = worker.event_log();
    let last = log
        .iter()
        .filter(|entry| entry.event == Event::Granted)
        .rfind(|entry| entry.at <= at)?;
    Some(last.owner.as_ref()?.node.to_string())
}

/// Returns the time of the first lease release of a worker since `since`.
pub(crate) fn release_time(worker: &FakeWorker, since: Millis) -> Option<Millis> {
    let log = worker.event_log();
    let is_release =
        |entry: &&LoggedEvent| matches!(entry.event, Event::Released(_)) && entry.at >= since;
    log.iter().find(is_release).map(|entry| entry.at)
}

/// Returns the times of all starts on a worker within a phase.
pub(crate) fn starts(worker: &FakeWorker, phase: &Phase) -> Vec<Millis> {
    let log = worker.event_log().into_iter();
    let is_start =
        |entry: &LoggedEvent| matches!(entry.event, Event::Started(_)) && phase.contains(entry.at);
    log.filter(is_start).map(|entry| entry.at).collect()
}

/// Returns the last start before the first gap of [`MIN_EJECTION_GAP`]; `None` if there is none.
pub(crate) fn ejection_time(starts: &[Millis], phase: &Phase) -> Option<Millis> {
    let next_starts = starts.iter().skip(1).copied().chain([phase.until]);
    let mut pairs = starts.iter().copied().zip(next_starts);
    let found = pairs.find(|(start, next)| next.since(*start) >= MIN_EJECTION_GAP);
    found.map(|(start, _)| start)
}
