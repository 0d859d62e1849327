//! Makes the attempts of one request in sequence.

use std::sync::{Arc, PoisonError};

use dotterel_coord::RetryBudget;
use dotterel_kernel::{Attempt, Millis, Reason, TaskId, VmId};
use dotterel_platform::TaskResponse;

use super::dispatch::{self, DispatchRequest};
use super::place::{Destination, RecentRejections, place};
use super::{Outcome, Request, forward, record};
use crate::app::App;
use crate::messages::Verdict;
use crate::peers::Target;
use crate::workers::Slot;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 8;

/// The combined result of all attempts.
pub(super) enum AttemptsResult {
    /// The outcome is proven.
    Proven(Outcome),
    /// The outcome of the last attempt isn't proven.
    Unresolved(UnresolvedAttempt),
}

/// An attempt without a proven outcome, and where to look for a proof.
pub(super) enum UnresolvedAttempt {
    /// On a VM of this node; the slot holds the capacity until the outcome is proven.
    Local(Slot),
    /// On the node that the task was forwarded to.
    Remote {
        /// The node.
        target: Target,
        /// The task.
        task: TaskId,
        /// Time at which the task was sent.
        sent: Millis,
    },
}

impl Request {
    fn dispatch_request(&self) -> DispatchRequest<'_> {
        DispatchRequest {
            id: self.id,
            service: &self.service,
            class: &self.class,
            body: self.body.clone(),
            arrived: self.arrived,
        }
    }
}

/// Makes attempts until the request has run, cannot run any more, or an outcome isn't proven.
///
/// A repeatable request that was stopped before its end is retried, but is never reported as
/// `not-run` afterwards.
pub(super) async fn attempts(app: &Arc<App>, request: &Request) -> AttemptsResult {
    with_retry_budget(app, RetryBudget::record_request);
    let mut last_reason = Reason::NoCapacity;
    let mut was_cut = false;
    for number in 0..MAX_ATTEMPTS {
        if number > 0 && !with_retry_budget(app, RetryBudget::try_retry) {
            break;
        }
        match attempt(app, request).await {
            AttemptResult::Ran(answer, vm) => {
                return AttemptsResult::Proven(Outcome::Ran { answer, vm });
            }
            AttemptResult::Unresolved(unresolved) => return AttemptsResult::Unresolved(unresolved),
            AttemptResult::Refused(reason) => last_reason = reason,
            AttemptResult::Cut { timed_out } => {
                was_cut = true;
                if timed_out || !request.class.repeatable {
                    break;
                }
            }
            AttemptResult::Final(reason) => {
                last_reason = reason;
                break;
            }
        }
    }
    if was_cut {
        return AttemptsResult::Proven(Outcome::Unknown);
    }
    AttemptsResult::Proven(Outcome::NotRun(last_reason))
}

/// The outcome of one attempt.
enum AttemptResult {
    /// It ran to its end.
    Ran(TaskResponse, VmId),
    /// It did not run; another attempt may succeed.
    Refused(Reason),
    /// It did not run, and a retry would not help.
    Final(Reason),
    /// It started and was stopped before its end.
    Cut {
        /// Whether it had run for the timeout of its class.
        timed_out: bool,
    },
    /// Its outcome isn't proven.
    Unresolved(UnresolvedAttempt),
}

/// Makes one attempt; rejections by other nodes before a start don't count as attempts.
async fn attempt(app: &Arc<App>, request: &Request) -> AttemptResult {
    let mut rejections = RecentRejections::default();
    loop {
        let task = TaskId::generate();
        let (outcome, unresolved) = match place(app, request, task, &mut rejections).await {
            Destination::Unplaced(reason) => return AttemptResult::Final(reason),
            Destination::Local(slot) => {
                record::record_start(app, request.id, &dispatch::started_attempt(app, &slot));
                let (outcome, slot) =
                    dispatch::dispatch_local(app, &request.dispatch_request(), slot).await;
                (outcome, UnresolvedAttempt::Local(slot))
            }
            Destination::Remote { target, may_queue } => {
                let sent = app.clock.now();
                let outcome = forward::forward(app, request, &target, task, may_queue).await;
                if let (Verdict::NotRun(reason), None, false) =
                    (&outcome.verdict, &outcome.attempt, may_queue)
                {
                    if *reason == Reason::NoCapacity {
                        app.peers.mark_full(&target.node);
                    }
                    rejections.add(target.node, app.clock.now());
                    continue;
                }
                (outcome, UnresolvedAttempt::Remote { target, task, sent })
            }
        };
        let attempt = outcome.attempt;
        if let Some(attempt) = &attempt {
            record::record_end(app, request.id, attempt, &outcome.verdict);
        }
        return classify(request, outcome.verdict, attempt, unresolved);
    }
}

fn classify(
    request: &Request,
    verdict: Verdict,
    attempt: Option<Attempt>,
    unresolved: UnresolvedAttempt,
) -> AttemptResult {
    match verdict {
        Verdict::Ran(answer) => {
            let vm = attempt.map(|attempt| attempt.vm).unwrap_or_default();
            AttemptResult::Ran(answer, vm)
        }
        Verdict::NotRun(reason @ (Reason::Refused | Reason::NoCapacity)) => {
            AttemptResult::Refused(reason)
        }
        Verdict::NotRun(reason) => AttemptResult::Final(reason),
        Verdict::Cut => AttemptResult::Cut {
            timed_out: attempt.is_some_and(|it| ran_for(&it) >= request.class.timeout),
        },
        Verdict::Unknown => AttemptResult::Unresolved(unresolved),
    }
}

fn ran_for(attempt: &Attempt) -> Millis {
    attempt.ended.unwrap_or(attempt.sent) - attempt.sent
}

fn with_retry_budget<T>(app: &App, apply: impl FnOnce(&mut RetryBudget, Millis) -> T) -> T {
    let now = app.clock.now();
    let mut budget = app
        .retry_budget
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    apply(&mut budget, now)
}
