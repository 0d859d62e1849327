//! The attempts of one request, one after another.

use std::sync::{Arc, PoisonError};

use dotterel_coord::RetryBudget;
use dotterel_kernel::{Attempt, Millis, Reason, TaskId, VmId};
use dotterel_platform::TaskResponse;

use super::dispatch::{self, Job};
use super::place::{Place, Turned, place};
use super::{Outcome, Request, forward, record};
use crate::app::App;
use crate::messages::Verdict;
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
///
/// A repeatable request that was stopped half-way is tried again, but is never told as not run
/// afterwards.
pub(super) async fn attempts(app: &Arc<App>, request: &Request) -> Ended {
    budget(app, RetryBudget::record_request);
    let mut last = Reason::NoCapacity;
    let mut cut = false;
    for number in 0..ATTEMPT_LIMIT {
        if number > 0 && !budget(app, RetryBudget::try_retry) {
            break;
        }
        match attempt(app, request).await {
            Tried::Ran(answer, vm) => return Ended::Proved(Outcome::Ran { answer, vm }),
            Tried::Doubt(doubt) => return Ended::Open(doubt),
            Tried::Refused(reason) => last = reason,
            Tried::Cut { late } => {
                cut = true;
                if late || !request.class.repeatable {
                    break;
                }
            }
            Tried::Over(reason) => {
                last = reason;
                break;
            }
        }
    }
    if cut {
        return Ended::Proved(Outcome::Unknown);
    }
    Ended::Proved(Outcome::NotRun(last))
}

/// The outcome of one attempt.
enum Tried {
    /// It ran to its end.
    Ran(TaskResponse, VmId),
    /// It did not run, for a reason that may not hold elsewhere or later.
    Refused(Reason),
    /// It did not run, and no other attempt would.
    Over(Reason),
    /// It was stopped half-way.
    Cut {
        /// Whether it had run for as long as its class allows.
        late: bool,
    },
    /// Nothing is proved.
    Doubt(Doubt),
}

/// Makes one attempt; nodes that turn the request away before a start do not count.
async fn attempt(app: &Arc<App>, request: &Request) -> Tried {
    let mut turned = Turned::default();
    loop {
        let task = TaskId::generate();
        let (done, doubt) = match place(app, request, task, &mut turned).await {
            Place::Nowhere(reason) => return Tried::Over(reason),
            Place::Here(slot) => {
                record::started(app, request.id, &dispatch::begun(app, &slot));
                let (done, slot) = dispatch::here(app, &request.job(), slot).await;
                (done, Doubt::Here(slot))
            }
            Place::There { target, queue } => {
                let sent = app.clock.now();
                let done = forward::forward(app, request, &target, task, queue).await;
                if let (Verdict::NotRun(reason), None, false) =
                    (&done.verdict, &done.attempt, queue)
                {
                    if *reason == Reason::NoCapacity {
                        app.peers.full(&target.node);
                    }
                    turned.add(target.node, app.clock.now());
                    continue;
                }
                (done, Doubt::There { target, task, sent })
            }
        };
        let attempt = done.attempt;
        if let Some(attempt) = &attempt {
            record::ended(app, request.id, attempt, &done.verdict);
        }
        return judge(request, done.verdict, attempt, doubt);
    }
}

fn judge(request: &Request, verdict: Verdict, attempt: Option<Attempt>, doubt: Doubt) -> Tried {
    match verdict {
        Verdict::Ran(answer) => {
            let vm = attempt.map(|attempt| attempt.vm).unwrap_or_default();
            Tried::Ran(answer, vm)
        }
        Verdict::NotRun(reason @ (Reason::Refused | Reason::NoCapacity)) => Tried::Refused(reason),
        Verdict::NotRun(reason) => Tried::Over(reason),
        Verdict::Cut => Tried::Cut {
            late: attempt.is_some_and(|it| ran_for(&it) >= request.class.timeout),
        },
        Verdict::Unknown => Tried::Doubt(doubt),
    }
}

fn ran_for(attempt: &Attempt) -> Millis {
    attempt.ended.unwrap_or(attempt.sent) - attempt.sent
}

fn budget<T>(app: &App, act: impl FnOnce(&mut RetryBudget, Millis) -> T) -> T {
    let now = app.clock.now();
    let mut budget = app.budget.lock().unwrap_or_else(PoisonError::into_inner);
    act(&mut budget, now)
}
