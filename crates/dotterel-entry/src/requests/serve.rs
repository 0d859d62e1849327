//! Runs tasks that other nodes forward to this one.

use std::sync::Arc;

use dotterel_coord::dispatch::{DispatchTimeouts, settle};
use dotterel_kernel::{Attempt, Incarnation, Millis, NodeId, Reason, RequestId, TaskId};

use super::dispatch::{self, DispatchRequest, dispatch_local, may_forget, verdict};
use super::pending_task;
use super::received::TaskStatus;
use crate::app::App;
use crate::messages::{Call, Reply, Submit, TaskOutcome, Verdict};
use crate::workers::{Slot, Submitted};

const NOTIFY_TIMEOUT: Millis = Millis(1_000);

/// Runs a forwarded task on a VM of this node; it is not forwarded again.
pub async fn serve(app: &Arc<App>, from: &NodeId, submit: Submit) -> Reply {
    let Some(_permit) = app.limiter.try_acquire() else {
        return done(not_run(Reason::NoCapacity));
    };
    if !app.received_tasks.begin(submit.task, app.clock.now()) {
        return done(not_run(Reason::Refused));
    }
    log::debug!(request:% = submit.request, peer = from.as_str(); "task received");
    let task = submit.task;
    let (outcome, slot) = run(app, from, submit).await;
    match slot {
        Some(slot) if outcome.verdict == Verdict::Unknown => {
            tokio::spawn(settle_later(app.clone(), slot));
        }
        slot => {
            app.received_tasks
                .settle(task, outcome.clone(), app.clock.now());
            if let Some(slot) = slot.filter(|_| may_forget(&outcome.verdict)) {
                forget(app, slot);
            }
        }
    }
    done(outcome)
}

/// Returns the outcome of a forwarded task; one that hasn't been received is barred.
pub fn query_task(app: &App, task: TaskId, incarnation: Incarnation, age: Millis) -> Reply {
    if incarnation != app.incarnation {
        return Reply::UnknownTask;
    }
    match app.received_tasks.query(task, age, app.clock.now()) {
        TaskStatus::Done(outcome) => done(outcome),
        TaskStatus::Pending => Reply::Pending,
        TaskStatus::Forgotten => Reply::UnknownTask,
    }
}

async fn run(app: &Arc<App>, from: &NodeId, submit: Submit) -> (TaskOutcome, Option<Slot>) {
    let document = app.feed.active(&submit.service);
    let class = document
        .as_ref()
        .and_then(|it| it.document.class(&submit.class));
    let Some(class) = class else {
        return (not_run(Reason::NoCapacity), None);
    };
    let now = app.clock.now();
    let arrived = now - submit.waited;
    let until = now + submit.remaining;
    let pending = pending_task(&submit.service, class, arrived, until);
    let slot = match app.workers.submit(submit.task, pending) {
        Submitted::Placed(slot) => slot,
        Submitted::Queued(mut queued_task) if submit.may_queue => {
            match queued_task.wait(until).await {
                Some(slot) => slot,
                None => return (not_run(Reason::Deadline), None),
            }
        }
        Submitted::Queued(_) => return (not_run(Reason::NoCapacity), None),
        Submitted::Refused(reason) => return (not_run(reason), None),
    };
    let request = DispatchRequest {
        id: submit.request,
        service: &submit.service,
        class,
        body: submit.body.clone(),
        arrived,
    };
    tokio::spawn(notify_start(
        app.clone(),
        from.clone(),
        submit.request,
        dispatch::started_attempt(app, &slot),
    ));
    let (outcome, slot) = dispatch_local(app, &request, slot).await;
    (outcome, Some(slot))
}

/// Notifies the sender that its task starts, so that its account shows the start before the end.
async fn notify_start(app: Arc<App>, node: NodeId, request: RequestId, attempt: Attempt) {
    let call = Call::Started { request, attempt };
    if let Err(err) = app.mesh.call(&node, &call, NOTIFY_TIMEOUT).await {
        log::debug!(peer = node.as_str(), fault:% = err; "start notification failed");
    }
}

/// Releases the capacity and lets the VM forget the task, whose outcome is recorded here.
fn forget(app: &App, slot: Slot) {
    let (vm, task) = (slot.vm().clone(), slot.task());
    drop(slot);
    app.workers.forget(&vm, task);
}

/// Holds the capacity until the outcome is proven or the VM is removed, then records the outcome.
async fn settle_later(app: Arc<App>, slot: Slot) {
    let task = slot.task();
    let proved = poll_vm(&app, &slot).await;
    let verdict = proved.unwrap_or(Verdict::Unknown);
    let outcome = TaskOutcome {
        verdict,
        attempt: None,
    };
    let vm_may_forget = may_forget(&outcome.verdict);
    app.received_tasks.settle(task, outcome, app.clock.now());
    if vm_may_forget {
        forget(&app, slot);
    }
}

/// Polls the VM until the outcome of the task is proven; returns `None` if the VM is removed.
pub(super) async fn poll_vm(app: &App, slot: &Slot) -> Option<Verdict> {
    let timeouts = DispatchTimeouts::default();
    while app.workers.upstream(slot.vm()).is_some() {
        let upstream = slot.upstream().clone();
        let proved = settle(&*upstream, slot.task(), &app.clock, &timeouts).await;
        let verdict = verdict(proved);
        if verdict != Verdict::Unknown {
            return Some(verdict);
        }
    }
    None
}

const fn not_run(reason: Reason) -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::NotRun(reason),
        attempt: None,
    }
}

const fn done(outcome: TaskOutcome) -> Reply {
    Reply::Done(outcome)
}
