//! The way of one request: claim, place, dispatch here or forward, settle.
//!
//! A fate is told only when it is proved. `not-run` comes from before a start left, from the VM's
//! own refusal or bar, or from a node that vouches never to run the task. What cannot be proved in
//! time is `unknown`, and the search for a proof goes on in the background.

mod attempt;
mod bodies;
mod claim;
mod dispatch;
mod forward;
mod place;
mod prove;
mod recall;
mod record;
mod resolve;
mod serve;

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

pub use bodies::Bodies;
pub use recall::{Recall, Recalled};
pub(crate) use record::started;
pub use serve::{recall, serve};

use crate::app::App;

/// Run times from which on work counts as long.
const LONG_WORK: Millis = Millis::secs(5);

/// A request as a caller sent it, checked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub id: RequestId,
    /// Its service.
    pub service: Service,
    /// Its class, as the document in force says.
    pub class: Class,
    /// The idempotency key.
    pub key: Option<CallerKey>,
    /// The body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Millis,
    /// When it must have started.
    pub deadline: Millis,
    /// Shows true once the caller has gone.
    pub gone: watch::Receiver<bool>,
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The request ran, and this is the answer.
    Ran {
        /// The answer.
        answer: TaskResponse,
        /// The VM.
        vm: VmId,
    },
    /// The request did not run and never will.
    NotRun(Reason),
    /// Nothing can be proved yet.
    Unknown,
    /// The key was used before for the same body, and that request ran.
    Recorded {
        /// The earlier request.
        request: RequestId,
        /// Its outcome.
        outcome: RecordedOutcome,
    },
    /// The key was used before for the same body, and that request's fate is not recorded.
    Earlier(Entry),
    /// The key was used before for another body.
    Mismatch(RequestId),
}

impl Request {
    /// Returns the request as the scheduler sees it.
    #[must_use]
    pub fn waiting(&self) -> PendingTask {
        waiting(&self.service, &self.class, self.arrived, self.deadline)
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

/// Returns a task of a class as the scheduler sees it.
fn waiting(service: &Service, class: &Class, arrived: Millis, deadline: Millis) -> PendingTask {
    let is_long = class.kind != Kind::Interactive || class.typical >= LONG_WORK;
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

/// Takes a request from its arrival to its fate.
pub async fn run(app: Arc<App>, mut request: Request) -> Outcome {
    app.journal.open(request.record(app.node()));
    app.bodies.flag(&app, &request);
    let claim = match claim::claim(&app, &request).await {
        Ok(claim) => claim,
        Err(outcome) => {
            close(&app, &request, &outcome);
            return outcome;
        }
    };
    if let Some(claim) = &claim {
        // Once the window is over, the key may be claimed again.
        request.deadline = request.deadline.min(claim.entry().expires);
    }
    match attempt::attempts(&app, &request).await {
        attempt::Ended::Proved(outcome) => {
            settle(&app, &request, claim, &outcome).await;
            outcome
        }
        attempt::Ended::Open(doubt) => {
            tokio::spawn(resolve::resolve(app, request, claim, doubt));
            Outcome::Unknown
        }
    }
}

/// Records a request that is refused before anything is tried.
pub fn refuse(app: &App, request: &Request, reason: Reason) {
    app.journal.open(request.record(app.node()));
    close(app, request, &Outcome::NotRun(reason));
}

/// Settles the claim and the record, and lets the VM forget the task.
async fn settle(app: &App, request: &Request, claim: Option<Claim>, outcome: &Outcome) {
    claim::conclude(app, request, claim, outcome).await;
    let record = app.journal.get(request.id);
    // Earlier attempts are left to the VM, which may need to refuse their starts yet.
    let last = record.and_then(|mut record| record.attempts.pop());
    if let (Outcome::Ran { .. }, Some(attempt)) = (outcome, last) {
        app.workers.forget(&attempt.vm, attempt.task);
    }
    close(app, request, outcome);
}

/// Settles the record of a request.
fn close(app: &App, request: &Request, outcome: &Outcome) {
    let fate = match outcome {
        Outcome::Ran { .. } => Fate::Ran,
        Outcome::NotRun(reason) => Fate::NotRun(*reason),
        Outcome::Unknown => Fate::Unknown,
        Outcome::Recorded { .. } | Outcome::Earlier(_) | Outcome::Mismatch(_) => {
            Fate::NotRun(Reason::Duplicate)
        }
    };
    let now = app.clock.now();
    let started = app.journal.get(request.id).and_then(|it| it.started);
    record::flag_delay(app, request, started.unwrap_or(now) - request.arrived);
    app.journal.close(request.id, fate);
    app.metrics.settled(
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
        reason = reason(&fate).as_str(),
        total_ms = (now - request.arrived).0;
        "request settled"
    );
}

fn reason(fate: &Fate) -> CompactString {
    match fate {
        Fate::NotRun(reason) => reason.as_str().into(),
        Fate::Ran | Fate::Unknown => CompactString::default(),
    }
}
