//! Dispatches a task to a VM of this node.

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_coord::dispatch::{DispatchOutcome, DispatchTimeouts, NotRun, dispatch};
use dotterel_kernel::{Attempt, Class, Millis, Reason, RequestId, Service};
use dotterel_platform::{Refusal, StartRequest};

use crate::app::App;
use crate::messages::{Done, Verdict};
use crate::workers::{End, Slot};

/// Answers with this HTTP status or a higher one count as failures of the VM.
const FAILED_STATUS: u16 = 500;

/// What a dispatch needs to know of a request.
pub(super) struct Job<'a> {
    pub(super) request: RequestId,
    pub(super) service: &'a Service,
    pub(super) class: &'a Class,
    pub(super) body: Bytes,
    pub(super) arrived: Millis,
}

/// Dispatches a task to a VM of this node.
pub(super) async fn here(app: &App, job: &Job<'_>, mut slot: Slot) -> (Done, Slot) {
    let sent = app.clock.now();
    tell(app, job, &slot, sent - job.arrived);
    let start = StartRequest {
        epoch: slot.epoch(),
        task: slot.task(),
        request: Some(job.request),
        job: None,
        service: job.service.0.clone(),
        class: job.class.name.clone(),
        size: job.class.size,
        task_ttl: app.settings.terms.task_ttl(),
        timeout: job.class.timeout,
    };
    let upstream = slot.upstream().clone();
    let dispatched = dispatch(
        &*upstream,
        slot.permit(),
        start,
        job.body.clone(),
        &app.clock,
        &DispatchTimeouts::default(),
    )
    .await;
    let mut attempt = begun(app, &slot);
    attempt.sent = sent;
    attempt.ended = Some(app.clock.now());
    attempt.outcome = word(&dispatched);
    let verdict = verdict(dispatched);
    slot.ended(end(&verdict));
    let done = Done {
        verdict,
        attempt: Some(attempt),
    };
    (done, slot)
}

/// Returns the attempt as it stands before the start.
pub(super) fn begun(app: &App, slot: &Slot) -> Attempt {
    Attempt {
        task: slot.task(),
        vm: slot.vm().clone(),
        owner: app.node().clone(),
        sent: app.clock.now(),
        ended: None,
        outcome: "started".into(),
    }
}

/// Writes the log line of a placement.
fn tell(app: &App, job: &Job<'_>, slot: &Slot, waited: Millis) {
    let placement = slot.placement();
    app.metrics.started(job.service, &job.class.name, waited);
    log::info!(
        request:% = job.request,
        service = job.service.as_str(),
        class = job.class.name.as_str(),
        vm = slot.vm().as_str(),
        epoch = slot.epoch().0,
        score = placement.score,
        considered = placement.considered,
        ruled_out = placement.ruled_out,
        waited_ms = waited.0;
        "placed"
    );
}

pub(super) fn verdict(dispatched: DispatchOutcome) -> Verdict {
    match dispatched {
        DispatchOutcome::Ran(answer) => Verdict::Ran(answer),
        DispatchOutcome::NotRun(_) => Verdict::NotRun(Reason::Refused),
        DispatchOutcome::Cut => Verdict::Cut,
        DispatchOutcome::Unknown => Verdict::Unknown,
    }
}

/// Returns true when the VM may forget the task once its outcome is recorded.
///
/// A barred task must stay known to the VM, because its start may still be under way.
pub(super) const fn forgettable(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Ran(_) | Verdict::Cut)
}

/// Returns how a task ended, as far as its VM is concerned.
fn end(verdict: &Verdict) -> End {
    match verdict {
        Verdict::Ran(answer) if answer.status < FAILED_STATUS => End::Ran,
        Verdict::Ran(_) | Verdict::Cut => End::Failed,
        Verdict::NotRun(_) | Verdict::Unknown => End::Unused,
    }
}

fn word(dispatched: &DispatchOutcome) -> CompactString {
    let word = match dispatched {
        DispatchOutcome::Ran(_) => "finished",
        DispatchOutcome::NotRun(NotRun::Lapsed) => "lapsed",
        DispatchOutcome::NotRun(NotRun::NotSent) => "not-sent",
        DispatchOutcome::NotRun(NotRun::Unavailable) => "unavailable",
        DispatchOutcome::NotRun(NotRun::Barred) => "barred",
        DispatchOutcome::NotRun(NotRun::Refused(refusal)) => match refusal {
            Refusal::StaleEpoch { .. } => "stale-epoch",
            Refusal::Full => "full",
            Refusal::Leaving => "leaving",
            Refusal::Stopped => "stopped",
            Refusal::Seen => "seen",
        },
        DispatchOutcome::Cut => "cut",
        DispatchOutcome::Unknown => "silent",
    };
    word.into()
}
