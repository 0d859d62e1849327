//! The attempts of one request, one after another.

use std::sync::{Arc, PoisonError};

use compact_str::CompactString;
use dotterel_coord::dispatch::{Dispatched, Limits, NotRun, dispatch};
use dotterel_kernel::{Attempt, Millis, Reason, RequestId, Service, TaskId};
use dotterel_platform::{Refusal, Start};

use super::place::{Place, place};
use super::{Outcome, Request, forward};
use crate::app::App;
use crate::messages::{Done, Verdict};
use crate::peers::Target;
use crate::workers::Slot;

/// The most attempts of one request.
const ATTEMPT_LIMIT: usize = 8;

/// How the attempts ended.
pub(super) enum Ended {
    /// With a proof.
    Proved(Outcome),
    /// Without one.
    Open(Doubt),
}

/// Where a proof of an attempt may still be found.
pub(super) enum Doubt {
    /// At the VM, whose capacity stays set apart until then.
    Here(Slot),
    /// At the node that got the task.
    There {
        /// The node.
        target: Target,
        /// The task.
        task: TaskId,
        /// When it was sent.
        sent: Millis,
    },
    /// Nowhere: the task was stopped before its end.
    Cut,
}

/// What a dispatch needs to know of a request.
pub(super) struct Job<'a> {
    pub(super) request: RequestId,
    pub(super) service: &'a Service,
    pub(super) class: &'a dotterel_kernel::Class,
    pub(super) body: bytes::Bytes,
    pub(super) arrived: Millis,
}

impl Request {
    fn job(&self) -> Job<'_> {
        Job {
            request: self.id,
            service: &self.service,
            class: &self.class,
            body: self.body.clone(),
            arrived: self.arrived,
        }
    }
}

/// Tries until the request has run, cannot run any more, or its outcome is in doubt.
pub(super) async fn attempts(app: &Arc<App>, request: &Request) -> Ended {
    budget(app, dotterel_coord::Budget::request);
    let mut last = Reason::NoCapacity;
    let mut cut = false;
    for number in 0..ATTEMPT_LIMIT {
        if number > 0 && !budget(app, dotterel_coord::Budget::try_retry) {
            break;
        }
        match attempt(app, request).await {
            Tried::Ended(ended) => return after(cut, *ended),
            Tried::Again(reason) => last = reason,
            Tried::Cut => cut = true,
        }
    }
    missed(cut, last)
}

/// Returns how the attempts ended, given the last one.
fn after(cut: bool, last: Ended) -> Ended {
    match last {
        Ended::Proved(Outcome::NotRun(reason)) => missed(cut, reason),
        other => other,
    }
}

/// Ends a request that found no VM; one of whose attempts was cut did start, if not to its end.
const fn missed(cut: bool, reason: Reason) -> Ended {
    if cut {
        return Ended::Open(Doubt::Cut);
    }
    Ended::Proved(Outcome::NotRun(reason))
}

enum Tried {
    Ended(Box<Ended>),
    /// It provably did not run, for a reason that may not hold elsewhere or later.
    Again(Reason),
    /// It started and was stopped before its end, and may start again.
    Cut,
}

impl Tried {
    fn ended(ended: Ended) -> Self {
        Self::Ended(Box::new(ended))
    }
}

/// Makes one attempt; nodes that turn out to be full do not count.
async fn attempt(app: &Arc<App>, request: &Request) -> Tried {
    loop {
        let task = TaskId::mint();
        let (done, doubt) = match place(app, request, task).await {
            Place::Nowhere(reason) => {
                return Tried::ended(Ended::Proved(Outcome::NotRun(reason)));
            }
            Place::Here(slot) => {
                let (done, slot) = here(app, &request.job(), slot).await;
                (done, Doubt::Here(slot))
            }
            Place::There { target, queue } => {
                let sent = app.clock.now();
                let done = forward::forward(app, request, &target, task, queue).await;
                if done.verdict == Verdict::NotRun(Reason::NoCapacity) && done.attempt.is_none() {
                    app.peers.full(&target.node);
                    continue;
                }
                (done, Doubt::There { target, task, sent })
            }
        };
        let vm = done.attempt.as_ref().map(|attempt| attempt.vm.clone());
        if let Some(attempt) = done.attempt {
            app.journal.start(request.id, attempt);
        }
        return judge(request, done.verdict, vm.unwrap_or_default(), doubt);
    }
}

fn judge(request: &Request, verdict: Verdict, vm: dotterel_kernel::VmId, doubt: Doubt) -> Tried {
    match verdict {
        Verdict::Ran(answer) => Tried::ended(Ended::Proved(Outcome::Ran { answer, vm })),
        Verdict::NotRun(reason @ (Reason::Refused | Reason::NoCapacity)) => Tried::Again(reason),
        Verdict::NotRun(reason) => Tried::ended(Ended::Proved(Outcome::NotRun(reason))),
        Verdict::Cut if request.class.repeatable => Tried::Cut,
        Verdict::Cut => Tried::ended(Ended::Open(Doubt::Cut)),
        Verdict::Unknown => Tried::ended(Ended::Open(doubt)),
    }
}

/// Dispatches a task to a VM of this node.
pub(super) async fn here(app: &App, job: &Job<'_>, mut slot: Slot) -> (Done, Slot) {
    let sent = app.clock.now();
    tell(app, job, &slot, sent - job.arrived);
    let start = Start {
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
    let limits = Limits::default();
    let dispatched = dispatch(
        &*upstream,
        slot.permit(),
        start,
        job.body.clone(),
        &app.clock,
        &limits,
    )
    .await;
    let outcome = word(&dispatched);
    let attempt = Attempt {
        task: slot.task(),
        vm: slot.vm().clone(),
        owner: app.node().clone(),
        sent,
        ended: Some(app.clock.now()),
        outcome,
    };
    let verdict = verdict(dispatched);
    if verdict != Verdict::Unknown {
        slot.forget();
    }
    let done = Done {
        verdict,
        attempt: Some(attempt),
    };
    (done, slot)
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

pub(super) fn verdict(dispatched: Dispatched) -> Verdict {
    match dispatched {
        Dispatched::Ran(answer) => Verdict::Ran(answer),
        Dispatched::NotRun(_) => Verdict::NotRun(Reason::Refused),
        Dispatched::Cut => Verdict::Cut,
        Dispatched::Unknown => Verdict::Unknown,
    }
}

pub(super) fn word(dispatched: &Dispatched) -> CompactString {
    let word = match dispatched {
        Dispatched::Ran(_) => "finished",
        Dispatched::NotRun(NotRun::Lapsed) => "lapsed",
        Dispatched::NotRun(NotRun::NotSent) => "not-sent",
        Dispatched::NotRun(NotRun::Unavailable) => "unavailable",
        Dispatched::NotRun(NotRun::Barred) => "barred",
        Dispatched::NotRun(NotRun::Refused(refusal)) => match refusal {
            Refusal::StaleEpoch { .. } => "stale-epoch",
            Refusal::Full => "full",
            Refusal::Leaving => "leaving",
            Refusal::Stopped => "stopped",
            Refusal::Seen => "seen",
        },
        Dispatched::Cut => "cut",
        Dispatched::Unknown => "silent",
    };
    word.into()
}

fn budget<T>(app: &App, act: impl FnOnce(&mut dotterel_coord::Budget, Millis) -> T) -> T {
    let now = app.clock.now();
    let mut budget = app.budget.lock().unwrap_or_else(PoisonError::into_inner);
    act(&mut budget, now)
}
