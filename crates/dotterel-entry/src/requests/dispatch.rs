//! Dispatches a task to a VM of this node.

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_coord::dispatch::{DispatchOutcome, DispatchTimeouts, NotRun, dispatch};
use dotterel_kernel::{Attempt, Class, Millis, Reason, RequestId, Service};
use dotterel_platform::{Refusal, StartRequest};

use crate::app::App;
use crate::messages::{TaskOutcome, Verdict};
use crate::workers::{Slot, TaskEnd};

/// Minimum HTTP status that counts as a failure of the VM.
const FAILED_STATUS: u16 = 500;

/// The parts of a request that a dispatch needs.
pub(super) struct DispatchRequest<'a> {
    pub(super) id: RequestId,
    pub(super) service: &'a Service,
    pub(super) class: &'a Class,
    pub(super) body: Bytes,
    pub(super) arrived: Millis,
}

/// Dispatches a task to the slot's VM and returns its outcome.
pub(super) async fn dispatch_local(
    app: &App,
    request: &DispatchRequest<'_>,
    mut slot: Slot,
) -> (TaskOutcome, Slot) {
    let sent = app.clock.now();
    log_placement(app, request, &slot, sent - request.arrived);
    let start = StartRequest {
        epoch: slot.epoch(),
        task: slot.task(),
        request: Some(request.id),
        job: None,
        service: request.service.0.clone(),
        class: request.class.name.clone(),
        size: request.class.size,
        task_ttl: app.settings.lease_terms.task_ttl(),
        timeout: request.class.timeout,
    };
    let upstream = slot.upstream().clone();
    let dispatched = dispatch(
        &*upstream,
        slot.permit(),
        start,
        request.body.clone(),
        &app.clock,
        &DispatchTimeouts::default(),
    )
    .await;
    let mut attempt = started_attempt(app, &slot);
    attempt.sent = sent;
    attempt.ended = Some(app.clock.now());
    attempt.outcome = outcome_label(&dispatched);
    let verdict = verdict(dispatched);
    slot.set_end(task_end(&verdict));
    let outcome = TaskOutcome {
        verdict,
        attempt: Some(attempt),
    };
    (outcome, slot)
}

/// Returns the attempt to record before the start is sent.
pub(super) fn started_attempt(app: &App, slot: &Slot) -> Attempt {
    Attempt {
        task: slot.task(),
        vm: slot.vm().clone(),
        owner: app.node().clone(),
        sent: app.clock.now(),
        ended: None,
        outcome: "started".into(),
    }
}

/// Logs a placement and counts it in the metrics.
fn log_placement(app: &App, request: &DispatchRequest<'_>, slot: &Slot, waited: Millis) {
    let placement = slot.placement();
    app.metrics
        .record_started(request.service, &request.class.name, waited);
    log::info!(
        request:% = request.id,
        service = request.service.as_str(),
        class = request.class.name.as_str(),
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

/// Returns true if the VM may forget the task once its outcome is recorded.
///
/// The VM must remember a barred task, because its start may still be in flight.
pub(super) const fn may_forget(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Ran(_) | Verdict::Cut)
}

/// Classifies the end of a task for the health of its VM.
fn task_end(verdict: &Verdict) -> TaskEnd {
    match verdict {
        Verdict::Ran(answer) if answer.status < FAILED_STATUS => TaskEnd::Ran,
        Verdict::Ran(_) | Verdict::Cut => TaskEnd::Failed,
        Verdict::NotRun(_) | Verdict::Unknown => TaskEnd::Unused,
    }
}

fn outcome_label(dispatched: &DispatchOutcome) -> CompactString {
    let label = match dispatched {
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
    label.into()
}
