//! How long workers were without an owner, and what they started, by their own logs.

use dotterel_kernel::{Millis, VmId};
use dotterel_standin::{Event, FakeWorker, LoggedEvent};

use crate::report::Phase;

/// How long a worker starts nothing once it is set aside; shorter breaks are by chance.
const BREAK: Millis = Millis(2_000);

/// Returns, for each worker that `node` owned at `end`, when it granted its lease to another.
pub(crate) fn regrants(
    workers: &[FakeWorker],
    node: &str,
    end: Millis,
) -> Vec<(VmId, Option<Millis>)> {
    let owned = workers
        .iter()
        .filter(|worker| owner_at(worker, end) == Some(node.into()));
    let found = owned.map(|worker| {
        let other = |seen: &LoggedEvent| {
            let owner = seen.owner.as_ref().map(|owner| owner.node.as_str());
            seen.event == Event::Granted && seen.at >= end && owner != Some(node)
        };
        let granted = worker.event_log().into_iter().find(other);
        (worker.vm(), granted.map(|seen| seen.at))
    });
    found.collect()
}

/// Returns the node that owned a worker.
pub(crate) fn owner_at(worker: &FakeWorker, at: Millis) -> Option<String> {
    let log = worker.event_log();
    let before = log
        .iter()
        .filter(|seen| seen.event == Event::Granted)
        .rfind(|seen| seen.at <= at)?;
    Some(before.owner.as_ref()?.node.to_string())
}

/// Returns when a worker's lease was released after `since`.
pub(crate) fn released(worker: &FakeWorker, since: Millis) -> Option<Millis> {
    let log = worker.event_log();
    let release =
        |seen: &&LoggedEvent| matches!(seen.event, Event::Released(_)) && seen.at >= since;
    log.iter().find(release).map(|seen| seen.at)
}

/// Returns the times of a worker's starts within a phase.
pub(crate) fn starts(worker: &FakeWorker, phase: &Phase) -> Vec<Millis> {
    let log = worker.event_log().into_iter();
    let start =
        |seen: &LoggedEvent| matches!(seen.event, Event::Started(_)) && phase.holds(seen.at);
    log.filter(start).map(|seen| seen.at).collect()
}

/// Returns the last start before the first long break; none when there is no such break.
pub(crate) fn set_aside(starts: &[Millis], phase: &Phase) -> Option<Millis> {
    let nexts = starts.iter().skip(1).copied().chain([phase.until]);
    let mut pairs = starts.iter().copied().zip(nexts);
    let found = pairs.find(|(start, next)| next.since(*start) >= BREAK);
    found.map(|(start, _)| start)
}
