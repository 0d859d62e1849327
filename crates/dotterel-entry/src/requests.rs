//! Handles one request: claim the key, place the task, dispatch or forward it, settle the outcome.
//!
//! Only proven fates are reported. `not-run` requires that no start was sent, that the VM refused
//! or barred the task, or that the other node guarantees never to run it. Without a proof in time
//! the fate is `unknown`, and the node keeps querying for the outcome in the background.

mod attempt;
mod bodies;
mod claim;
mod dispatch;
mod forward;
mod place;
mod received;
mod record;
mod resolve;
mod serve;
mod vm_query;

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_coord::claims::{Claim, Entry, RecordedOutcome};
use dotterel_kernel::plugin::TaskSpec;
use dotterel_kernel::{
    CallerKey, Class, Fate, Kind, Millis, NodeId, PendingTask, Reason, Record, RequestId, Service,
    VmId,
};
use dotterel_platform::TaskResponse;
use tokio::sync::watch;

pub use bodies::RecentBodies;
pub use received::{ReceivedTasks, TaskStatus};
pub(crate) use record::record_start;
pub use serve::{query_task, serve};

use crate::app::App;

/// Interactive classes with at least this typical run time count as long.
const LONG_RUN_THRESHOLD: Millis = Millis::secs(5);

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's identifier.
    pub id: RequestId,
    /// The service.
    pub service: Service,
    /// The class, as defined by the document in force.
    pub class: Class,
    /// The caller's idempotency key.
    pub key: Option<CallerKey>,
    /// The body.
    pub body: Bytes,
    /// Time of arrival.
    pub arrived: Millis,
    /// Latest time at which the request may start.
    pub deadline: Millis,
    /// Becomes true when the caller disconnects.
    pub caller_gone: watch::Receiver<bool>,
}

/// The outcome that is reported to the caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The request ran to its end.
    Ran {
        /// The VM's answer.
        answer: TaskResponse,
        /// The VM that ran it.
        vm: VmId,
    },
    /// The request did not run and never will.
    NotRun(Reason),
    /// The outcome isn't proven yet.
    Unknown,
    /// An earlier request with the same key and body ran.
    Recorded {
        /// The earlier request.
        request: RequestId,
        /// The recorded outcome.
        outcome: RecordedOutcome,
    },
    /// An earlier request with the same key and body has no recorded outcome.
    Unrecorded(Entry),
    /// An earlier request used the same key with a different body.
    Mismatch(RequestId),
}

impl Request {
    /// Returns the task to submit to the scheduler.
    #[must_use]
    pub fn pending_task(&self) -> PendingTask {
        pending_task(&self.service, &self.class, self.arrived, self.deadline)
    }

    fn record(&self, node: &NodeId) -> Record {
        Record {
            request: self.id,
            service: self.service.clone(),
            class: self.class.name.clone(),
            key: self.key.clone(),
            node: node.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            started: None,
            ended: None,
            fate: None,
            attempts: Vec::new(),
            flags: Vec::new(),
        }
    }
}

/// Returns a task of the class to submit to the scheduler.
fn pending_task(
    service: &Service,
    class: &Class,
    arrived: Millis,
    deadline: Millis,
) -> PendingTask {
    let is_long = class.kind != Kind::Interactive || class.typical >= LONG_RUN_THRESHOLD;
    PendingTask {
        service: service.clone(),
        class: class.name.clone(),
        spec: TaskSpec {
            kind: class.kind,
            urgency: class.urgency,
            size: class.size,
            expected_run: class.typical,
            is_long,
        },
        arrived,
        deadline,
    }
}

/// Handles a request and returns its outcome.
pub async fn run(app: Arc<App>, mut request: Request) -> Outcome {
    app.journal.open(request.record(app.node()));
    app.recent_bodies.flag_duplicate(&app, &request);
    let claim = match claim::claim(&app, &request).await {
        Ok(claim) => claim,
        Err(outcome) => {
            close_record(&app, &request, &outcome);
            return outcome;
        }
    };
    if let Some(claim) = &claim {
        // After the claim expires, another request may claim the key.
        request.deadline = request.deadline.min(claim.entry().expires);
    }
    match attempt::attempts(&app, &request).await {
        attempt::AttemptsResult::Proven(outcome) => {
            settle(&app, &request, claim, &outcome).await;
            outcome
        }
        attempt::AttemptsResult::Unresolved(unresolved) => {
            tokio::spawn(resolve::resolve(app, request, claim, unresolved));
            Outcome::Unknown
        }
    }
}

/// Records a request that is refused without an attempt.
pub fn refuse(app: &App, request: &Request, reason: Reason) {
    app.journal.open(request.record(app.node()));
    close_record(app, request, &Outcome::NotRun(reason));
}

/// Settles the claim, closes the record and lets the VM forget the task if it ran.
async fn settle(app: &App, request: &Request, claim: Option<Claim>, outcome: &Outcome) {
    claim::settle_claim(app, request, claim, outcome).await;
    let record = app.journal.get(request.id);
    // Tasks of earlier attempts aren't forgotten: their starts may still arrive at the VM, which
    // must refuse them.
    let last_attempt = record.and_then(|mut record| record.attempts.pop());
    if let (Outcome::Ran { .. }, Some(attempt)) = (outcome, last_attempt) {
        app.workers.forget(&attempt.vm, attempt.task);
    }
    close_record(app, request, outcome);
}

/// Closes the request's record with its fate.
fn close_record(app: &App, request: &Request, outcome: &Outcome) {
    let fate = match outcome {
        Outcome::Ran { .. } => Fate::Ran,
        Outcome::NotRun(reason) => Fate::NotRun(*reason),
        Outcome::Unknown => Fate::Unknown,
        Outcome::Recorded { .. } | Outcome::Unrecorded(_) | Outcome::Mismatch(_) => {
            Fate::NotRun(Reason::Duplicate)
        }
    };
    let now = app.clock.now();
    let started = app.journal.get(request.id).and_then(|it| it.started);
    record::flag_delay(app, request, started.unwrap_or(now) - request.arrived);
    app.journal.close(request.id, fate);
    app.metrics.record_settled(
        &request.service,
        &request.class.name,
        &fate,
        now - request.arrived,
    );
    log::info!(
        request:% = request.id,
        service = request.service.as_str(),
        class = request.class.name.as_str(),
        fate = fate.as_str(),
        reason = reason_text(&fate).as_str(),
        total_ms = (now - request.arrived).0;
        "request settled"
    );
}

fn reason_text(fate: &Fate) -> CompactString {
    match fate {
        Fate::NotRun(reason) => reason.as_str().into(),
        Fate::Ran | Fate::Unknown => CompactString::default(),
    }
}
