//! Resolves an unproven outcome in the background, after `unknown` was reported to the caller.

use std::sync::Arc;

use dotterel_coord::claims::Claim;
use dotterel_kernel::{Millis, Reason, RequestId, TaskId, VmId};

use super::attempt::UnresolvedAttempt;
use super::forward::{QueryResult, query_node};
use super::{Outcome, Request, serve, settle, vm_query};
use crate::app::App;
use crate::messages::Verdict;
use crate::peers::Target;

const QUERY_INTERVAL: Millis = Millis::secs(1);

/// How long the node may fail to reply before the outcome stays unknown.
const NO_REPLY_TIMEOUT: Millis = Millis::secs(60);

/// Queries for the outcome until it is proven or the queries time out, then settles the claim and
/// the record.
pub(super) async fn resolve(
    app: Arc<App>,
    request: Request,
    claim: Option<Claim>,
    unresolved: UnresolvedAttempt,
) {
    let (verdict, vm) = match &unresolved {
        UnresolvedAttempt::Local(slot) => (serve::poll_vm(&app, slot).await, slot.vm().clone()),
        UnresolvedAttempt::Remote { target, task, sent } => {
            resolve_remote(&app, request.id, target, *task, *sent).await
        }
    };
    let outcome = match verdict {
        Some(Verdict::Ran(answer)) => Outcome::Ran { answer, vm },
        Some(Verdict::NotRun(_)) => Outcome::NotRun(Reason::Refused),
        Some(Verdict::Cut | Verdict::Unknown) | None => Outcome::Unknown,
    };
    // The task has ended or its VM was removed, so the capacity can be released.
    drop(unresolved);
    settle(&app, &request, claim, &outcome).await;
}

/// Queries the node that the task was sent to, and its VMs while the node has no answer.
async fn resolve_remote(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
    sent: Millis,
) -> (Option<Verdict>, VmId) {
    let mut last_reply = app.clock.now();
    while app.clock.now().since(last_reply) < NO_REPLY_TIMEOUT {
        let outcome = match query_node(app, target, task, sent).await {
            QueryResult::Done(outcome) => outcome,
            QueryResult::Pending => {
                last_reply = app.clock.now();
                pause().await;
                continue;
            }
            QueryResult::NoReply | QueryResult::UnknownTask => {
                vm_query::query_vms(app, request, target, task).await
            }
        };
        if outcome.verdict != Verdict::Unknown {
            let vm = outcome.attempt.map(|attempt| attempt.vm);
            return (Some(outcome.verdict), vm.unwrap_or_default());
        }
        pause().await;
    }
    (None, VmId::default())
}

async fn pause() {
    tokio::time::sleep(QUERY_INTERVAL.duration()).await;
}
