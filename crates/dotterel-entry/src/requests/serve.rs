//! Runs tasks that other nodes send.

use std::sync::Arc;

use dotterel_coord::dispatch::{Limits, settle};
use dotterel_kernel::{Incarnation, Millis, NodeId, Reason, TaskId};

use super::attempt::{Job, here, verdict};
use super::recall::Recalled;
use super::waiting;
use crate::app::App;
use crate::messages::{Done, Reply, Submit, Verdict};
use crate::workers::{Slot, Submitted};

/// Runs a task that another node sent, on a VM of this node only.
pub async fn serve(app: &Arc<App>, from: &NodeId, submit: Submit) -> Reply {
    let Some(_pass) = app.gate.enter() else {
        return done(refusal(Reason::NoCapacity));
    };
    if !app.recall.begin(submit.task, app.clock.now()) {
        return done(refusal(Reason::Refused));
    }
    log::debug!(request:% = submit.request, peer = from.as_str(); "task received");
    let task = submit.task;
    let (outcome, slot) = run(app, submit).await;
    match slot {
        Some(slot) if outcome.verdict == Verdict::Unknown => {
            tokio::spawn(prove(app.clone(), slot));
        }
        slot => {
            app.recall.settle(task, outcome.clone(), app.clock.now());
            drop(slot);
        }
    }
    done(outcome)
}

/// Tells what became of a task; one that has not arrived never runs here from now on.
pub fn recall(app: &App, task: TaskId, incarnation: Incarnation, age: Millis) -> Reply {
    if incarnation != app.incarnation {
        return Reply::NotMine;
    }
    match app.recall.ask(task, age, app.clock.now()) {
        Recalled::Done(outcome) => done(outcome),
        Recalled::Pending => Reply::Pending,
        Recalled::Forgotten => Reply::NotMine,
    }
}

async fn run(app: &Arc<App>, submit: Submit) -> (Done, Option<Slot>) {
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
        Submitted::Refused(_) if !submit.queue => return (refusal(Reason::NoCapacity), None),
        Submitted::Refused(reason) => return (refusal(reason), None),
    };
    let job = Job {
        request: submit.request,
        service: &submit.service,
        class,
        body: submit.body.clone(),
        arrived,
    };
    let (outcome, slot) = here(app, &job, slot).await;
    (outcome, Some(slot))
}

/// Looks for a proof as long as the VM is known, and keeps its capacity set apart until then.
async fn prove(app: Arc<App>, slot: Slot) {
    let task = slot.task();
    let proved = search(&app, &slot).await;
    let verdict = proved.unwrap_or(Verdict::Unknown);
    let outcome = Done {
        verdict,
        attempt: None,
    };
    app.recall.settle(task, outcome, app.clock.now());
    drop(slot);
}

/// Asks the VM until the outcome of the task is proved; none when the VM is gone.
pub(super) async fn search(app: &App, slot: &Slot) -> Option<Verdict> {
    let limits = Limits::default();
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

const fn refusal(reason: Reason) -> Done {
    Done {
        verdict: Verdict::NotRun(reason),
        attempt: None,
    }
}

const fn done(outcome: Done) -> Reply {
    Reply::Done(outcome)
}
