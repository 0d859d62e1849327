//! What a node does for jobs on the VMs that it owns.

use dotterel_coord::dispatch::{
    DispatchOutcome, DispatchTimeouts, LaunchStatus, launch as launch_task,
};
use dotterel_coord::jobs::{HeldVms, HoldError, HoldRequest, LaunchOutcome, TaskStart};
use dotterel_kernel::plugin::TaskSpec;
use dotterel_kernel::{Kind, Millis, PendingTask, TaskId, Urgency, VmId};
use dotterel_platform::{StartRequest, TaskSignal};

use crate::app::App;
use crate::workers::{Reserve, Slot};

/// How long a task of a job may wait; its place in the queue is its shard's matter.
const PATIENCE: Millis = Millis::secs(86_400);

/// Sets capacity apart.
///
/// # Errors
///
/// Nothing is held when there is no room.
pub fn hold(app: &App, ask: &HoldRequest) -> Result<HeldVms, HoldError> {
    if let Some(held) = app.holds.find(ask.id) {
        return Ok(held);
    }
    if app.stopping.get() {
        return Err(HoldError::Full);
    }
    let reserve = Reserve {
        waiting: waiting(app, ask),
        count: ask.count,
        avoid: ask.avoid.clone(),
        apart: ask.distinct_vms,
    };
    let slots = app.workers.reserve(&reserve);
    if slots.is_empty() {
        return Err(HoldError::Full);
    }
    Ok(app.holds.add(ask.id, slots, ask.ttl, app.clock.now()))
}

fn waiting(app: &App, ask: &HoldRequest) -> PendingTask {
    let accepted = app.feed.in_force(&ask.service);
    let class = accepted
        .as_ref()
        .and_then(|it| it.document.class(&ask.class));
    let now = app.clock.now();
    PendingTask {
        service: ask.service.clone(),
        class: ask.class.clone(),
        spec: TaskSpec {
            kind: class.map_or(Kind::Batch, |class| class.kind),
            urgency: class.map_or(Urgency::Normal, |class| class.urgency),
            size: ask.size,
            expected_run: class.map_or(Millis::ZERO, |class| class.typical),
            is_long: true,
        },
        arrived: now,
        deadline: now + PATIENCE,
    }
}

/// Starts a task on the VM that was held for it.
pub async fn launch(app: &App, start: TaskStart) -> LaunchOutcome {
    let vm = start.attempt.vm.clone();
    let Some(mut slot) = app.holds.take(start.hold, &vm, app.clock.now()) else {
        return LaunchOutcome::NotRun;
    };
    slot.assign(start.attempt.task);
    log::info!(
        job:% = start.job,
        index = start.index,
        service = start.service.as_str(),
        class = start.class.as_str(),
        vm = vm.as_str(),
        epoch = slot.epoch().0,
        score = slot.placement().score,
        considered = slot.placement().considered,
        ruled_out = slot.placement().ruled_out;
        "placed"
    );
    let upstream = slot.upstream().clone();
    let permit = slot.permit();
    let body = start.body.clone();
    let begin = begin(start, &slot);
    let limits = DispatchTimeouts::default();
    let launched = launch_task(&*upstream, permit, begin, body, &app.clock, &limits).await;
    log::debug!(task:% = slot.task(), vm = vm.as_str(), launched:? = launched; "launched");
    match launched {
        LaunchStatus::Running => {
            slot.leave();
            LaunchOutcome::Running
        }
        LaunchStatus::Over(DispatchOutcome::NotRun(_)) => LaunchOutcome::NotRun,
        // A look at the VM tells how it ended.
        LaunchStatus::Over(DispatchOutcome::Ran(_) | DispatchOutcome::Cut) => {
            LaunchOutcome::Running
        }
        LaunchStatus::Over(DispatchOutcome::Unknown) => {
            slot.leave();
            LaunchOutcome::Unknown
        }
    }
}

fn begin(start: TaskStart, slot: &Slot) -> StartRequest {
    StartRequest {
        epoch: slot.epoch(),
        task: start.attempt.task,
        request: None,
        job: Some(start.job),
        service: start.service,
        class: start.class,
        size: start.size,
        task_ttl: start.task_ttl,
        timeout: start.timeout,
    }
}

/// Throttles, restores or checkpoints a task, if this node owns its VM.
pub async fn press(app: &App, vm: &VmId, task: TaskId, pressure: TaskSignal) {
    let status = app.workers.status();
    let Some(owned) = status.iter().find(|owned| owned.vm == *vm) else {
        return;
    };
    let Some(upstream) = app.workers.upstream(vm) else {
        return;
    };
    if let Err(fault) = upstream.signal(owned.epoch, task, pressure).await {
        log::info!(vm = vm.as_str(), task:% = task, fault:% = fault; "task not pressed");
    }
}

/// Lets the VMs of this node forget tasks whose ends are recorded.
pub fn forget(app: &App, tasks: &[(VmId, TaskId)]) {
    for (vm, task) in tasks {
        app.workers.forget(vm, *task);
    }
}
