//! Sends a task to another node and finds out what became of it.

use std::sync::Arc;

use dotterel_kernel::{Millis, Reason, RequestId, TaskId};

use super::{Request, prove};
use crate::app::App;
use crate::messages::{Call, Done, Reply, Submit, Verdict};
use crate::peers::Target;

/// What a forwarded task may take beyond its wait and its run time.
const FORWARD_MARGIN: Millis = Millis::secs(15);

/// How long the other node may be silent before the outcome is in doubt.
const SILENCE_LIMIT: Millis = Millis::secs(8);

const ASK_TIMEOUT: Millis = Millis(1_000);
const ASK_PERIOD: Millis = Millis(200);

/// Runs a task on another node.
pub(super) async fn forward(
    app: &Arc<App>,
    request: &Request,
    target: &Target,
    task: TaskId,
    queue: bool,
) -> Done {
    let now = app.clock.now();
    let left = request.deadline - now;
    log::info!(
        request:% = request.id,
        service = request.service.as_str(),
        class = request.class.name.as_str(),
        peer = target.node.as_str(),
        waited_ms = (now - request.arrived).0;
        "forwarded"
    );
    app.metrics.forwarded(&request.service, &request.class.name);
    let call = Call::Submit(Submit {
        task,
        request: request.id,
        service: request.service.clone(),
        class: request.class.name.clone(),
        waited: now - request.arrived,
        left,
        queue,
        body: request.body.clone(),
    });
    let limit = left + request.class.timeout + FORWARD_MARGIN;
    match app.mesh.call(&target.node, &call, limit).await {
        Ok(Reply::Done(done)) => done,
        // The other node does not know the service or the class.
        Ok(_) => not_run(Reason::NoCapacity),
        Err(fault) if fault.had_no_effect() => {
            log::info!(peer = target.node.as_str(), fault:% = fault; "not forwarded");
            not_run(Reason::NoCapacity)
        }
        Err(fault) => {
            log::warn!(
                request:% = request.id, peer = target.node.as_str(), fault:% = fault;
                "forward without an answer"
            );
            inquire(app, request.id, target, task, now).await
        }
    }
}

const fn not_run(reason: Reason) -> Done {
    Done {
        verdict: Verdict::NotRun(reason),
        attempt: None,
    }
}

/// Asks the node that got a task, and the VMs once the node is silent.
async fn inquire(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
    sent: Millis,
) -> Done {
    let mut heard = app.clock.now();
    while app.clock.now().since(heard) < SILENCE_LIMIT {
        match ask(app, target, task, sent).await {
            Asked::Done(done) if done.verdict != Verdict::Unknown => return done,
            Asked::Done(_) | Asked::NotMine => break,
            Asked::Pending => heard = app.clock.now(),
            Asked::Silent if app.peers.alive(target, app.clock.now()) => {}
            Asked::Silent => break,
        }
        tokio::time::sleep(ASK_PERIOD.duration()).await;
    }
    prove::prove(app, request, target, task).await
}

/// What another node says of a task.
pub(super) enum Asked {
    Done(Done),
    Pending,
    NotMine,
    Silent,
}

/// Asks another node once what became of a task; one that has not seen it never runs it then.
pub(super) async fn ask(app: &App, target: &Target, task: TaskId, sent: Millis) -> Asked {
    let call = Call::Settle {
        task,
        incarnation: target.incarnation,
        age: app.clock.now() - sent,
    };
    match app.mesh.call(&target.node, &call, ASK_TIMEOUT).await {
        Ok(Reply::Done(done)) => Asked::Done(done),
        Ok(Reply::Pending) => Asked::Pending,
        Ok(Reply::NotMine) => Asked::NotMine,
        Ok(_) | Err(_) => Asked::Silent,
    }
}
