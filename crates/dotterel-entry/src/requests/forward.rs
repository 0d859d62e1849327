//! Forwards a task to another node and determines its outcome.

use std::sync::Arc;

use dotterel_kernel::{Millis, Reason, RequestId, TaskId};

use super::{Request, vm_query};
use crate::app::App;
use crate::messages::{Call, Reply, Submit, TaskOutcome, Verdict};
use crate::peers::Target;

/// Time allowed for a forward beyond the wait and the run time of the task.
const FORWARD_MARGIN: Millis = Millis::secs(15);

/// How long the other node may fail to reply before VMs are queried instead.
const NO_REPLY_TIMEOUT: Millis = Millis::secs(8);

const QUERY_TIMEOUT: Millis = Millis(1_000);
const QUERY_INTERVAL: Millis = Millis(200);

/// Runs a task on another node.
pub(super) async fn forward(
    app: &Arc<App>,
    request: &Request,
    target: &Target,
    task: TaskId,
    may_queue: bool,
) -> TaskOutcome {
    let now = app.clock.now();
    let remaining = request.deadline - now;
    log::info!(
        request:% = request.id,
        service = request.service.as_str(),
        class = request.class.name.as_str(),
        peer = target.node.as_str(),
        waited_ms = (now - request.arrived).0;
        "forwarded"
    );
    app.metrics
        .record_forwarded(&request.service, &request.class.name);
    let call = Call::Submit(Submit {
        task,
        request: request.id,
        service: request.service.clone(),
        class: request.class.name.clone(),
        waited: now - request.arrived,
        remaining,
        may_queue,
        body: request.body.clone(),
    });
    let call_timeout = remaining + request.class.timeout + FORWARD_MARGIN;
    match app.mesh.call(&target.node, &call, call_timeout).await {
        Ok(Reply::Done(outcome)) => outcome,
        // The other node does not know the service or the class.
        Ok(_) => not_run(Reason::NoCapacity),
        Err(err) if err.had_no_effect() => {
            log::info!(peer = target.node.as_str(), fault:% = err; "forward not sent");
            not_run(Reason::NoCapacity)
        }
        Err(err) => {
            log::warn!(
                request:% = request.id, peer = target.node.as_str(), fault:% = err;
                "no reply to forward"
            );
            find_outcome(app, request.id, target, task, now).await
        }
    }
}

const fn not_run(reason: Reason) -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::NotRun(reason),
        attempt: None,
    }
}

/// Queries the node that the task was sent to, and then VMs if the node doesn't reply.
async fn find_outcome(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
    sent: Millis,
) -> TaskOutcome {
    let mut last_reply = app.clock.now();
    while app.clock.now().since(last_reply) < NO_REPLY_TIMEOUT {
        match query_node(app, target, task, sent).await {
            QueryResult::Done(outcome) if outcome.verdict != Verdict::Unknown => return outcome,
            QueryResult::Done(_) | QueryResult::UnknownTask => break,
            QueryResult::Pending => last_reply = app.clock.now(),
            QueryResult::NoReply if app.peers.is_alive(target, app.clock.now()) => {}
            QueryResult::NoReply => break,
        }
        tokio::time::sleep(QUERY_INTERVAL.duration()).await;
    }
    vm_query::query_vms(app, request, target, task).await
}

/// The reply of another node to a query about a task.
pub(super) enum QueryResult {
    Done(TaskOutcome),
    Pending,
    UnknownTask,
    NoReply,
}

/// Queries another node once; a node that hasn't received the task bars it from then on.
pub(super) async fn query_node(
    app: &App,
    target: &Target,
    task: TaskId,
    sent: Millis,
) -> QueryResult {
    let call = Call::QueryTask {
        task,
        incarnation: target.incarnation,
        age: app.clock.now() - sent,
    };
    match app.mesh.call(&target.node, &call, QUERY_TIMEOUT).await {
        Ok(Reply::Done(outcome)) => QueryResult::Done(outcome),
        Ok(Reply::Pending) => QueryResult::Pending,
        Ok(Reply::UnknownTask) => QueryResult::UnknownTask,
        Ok(_) | Err(_) => QueryResult::NoReply,
    }
}
