//! Runs tasks that other nodes send.

use std::sync::Arc;

use dotterel_coord::dispatch::{DispatchTimeouts, settle};
use dotterel_kernel::{Attempt, Incarnation, Millis, NodeId, Reason, RequestId, TaskId};

use super::dispatch::{self, Job, forgettable, here, verdict};
use super::received::TaskStatus;
use super::waiting;
use crate::app::App;
use crate::messages::{Call, Reply, Submit, TaskOutcome, Verdict};
use crate::workers::{Slot, Submitted};

const TELL_TIMEOUT: Millis = Millis(1_000);

/// Runs a task that another node sent, on a VM of this node only.
pub async fn serve(app: &Arc<App>, from: &NodeId, submit: Submit) -> Reply {
    let Some(_permit) = app.limiter.try_acquire() else {
        return done(refusal(Reason::NoCapacity));
    };
    if !app.received_tasks.begin(submit.task, app.clock.now()) {
        return done(refusal(Reason::Refused));
    }
    log::debug!(request:% = submit.request, peer = from.as_str(); "task received");
    let task = submit.task;
    let (outcome, slot) = run(app, from, submit).await;
    match slot {
        Some(slot) if outcome.verdict == Verdict::Unknown => {
            tokio::spawn(prove(app.clone(), slot));
        }
        slot => {
            app.received_tasks
                .settle(task, outcome.clone(), app.clock.now());
            if let Some(slot) = slot.filter(|_| forgettable(&outcome.verdict)) {
                forget(app, slot);
            }
        }
    }
    done(outcome)
}

/// Tells what became of a task; one that has not arrived never runs here from now on.
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
    let document = app.feed.in_force(&submit.service);
    let class = document
        .as_ref()
        .and_then(|it| it.document.class(&submit.class));
    let Some(class) = class else {
        return (refusal(Reason::NoCapacity), None);
    };
    let now = app.clock.now();
    let arrived = now - submit.waited;
    let until = now + submit.left;
    let ask = waiting(&submit.service, class, arrived, until);
    let slot = match app.workers.submit(submit.task, ask) {
        Submitted::Placed(slot) => slot,
        Submitted::Queued(mut ticket) if submit.queue => match ticket.wait(until).await {
            Some(slot) => slot,
            None => return (refusal(Reason::Deadline), None),
        },
        Submitted::Queued(_) => return (refusal(Reason::NoCapacity), None),
        Submitted::Refused(reason) => return (refusal(reason), None),
    };
    let job = Job {
        request: submit.request,
        service: &submit.service,
        class,
        body: submit.body.clone(),
        arrived,
    };
    tokio::spawn(tell(
        app.clone(),
        from.clone(),
        submit.request,
        dispatch::begun(app, &slot),
    ));
    let (outcome, slot) = here(app, &job, slot).await;
    (outcome, Some(slot))
}

/// Tells the node that sent a task that it starts, so that its account need not wait for the end.
async fn tell(app: Arc<App>, node: NodeId, request: RequestId, attempt: Attempt) {
    let call = Call::Started { request, attempt };
    if let Err(fault) = app.mesh.call(&node, &call, TELL_TIMEOUT).await {
        log::debug!(peer = node.as_str(), fault:% = fault; "start not told");
    }
}

/// Gives the capacity back and lets the VM forget a task whose outcome is remembered here.
fn forget(app: &App, slot: Slot) {
    let (vm, task) = (slot.vm().clone(), slot.task());
    drop(slot);
    app.workers.forget(&vm, task);
}

/// Looks for a proof as long as the VM is known, and keeps its capacity set apart until then.
async fn prove(app: Arc<App>, slot: Slot) {
    let task = slot.task();
    let proved = search(&app, &slot).await;
    let verdict = proved.unwrap_or(Verdict::Unknown);
    let outcome = TaskOutcome {
        verdict,
        attempt: None,
    };
    let forgets = forgettable(&outcome.verdict);
    app.received_tasks.settle(task, outcome, app.clock.now());
    if forgets {
        forget(&app, slot);
    }
}

/// Asks the VM until the outcome of the task is proved; none when the VM is gone.
pub(super) async fn search(app: &App, slot: &Slot) -> Option<Verdict> {
    let limits = DispatchTimeouts::default();
    while app.workers.upstream(slot.vm()).is_some() {
        let upstream = slot.upstream().clone();
        let proved = settle(&*upstream, slot.task(), &app.clock, &limits).await;
        let verdict = verdict(proved);
        if verdict != Verdict::Unknown {
            return Some(verdict);
        }
    }
    None
}

const fn refusal(reason: Reason) -> TaskOutcome {
    TaskOutcome {
        verdict: Verdict::NotRun(reason),
        attempt: None,
    }
}

const fn done(outcome: TaskOutcome) -> Reply {
    Reply::Done(outcome)
}
