//! Holds, starts and controls tasks of jobs on this node's VMs.

use dotterel_coord::dispatch::{
    DispatchOutcome, DispatchTimeouts, LaunchStatus, launch as launch_task,
};
use dotterel_coord::jobs::{HeldVms, HoldError, HoldRequest, LaunchOutcome, TaskStart};
use dotterel_kernel::plugin::TaskSpec;
use dotterel_kernel::{Kind, Millis, PendingTask, TaskId, Urgency, VmId};
use dotterel_platform::{StartRequest, TaskSignal};

use crate::app::App;
use crate::workers::{ReserveRequest, Slot};

/// Start deadline of a job's task in the scheduler.
///
/// It is long because the job's shard, not this node, orders and limits the wait of its tasks.
const QUEUE_TIMEOUT: Millis = Millis::secs(86_400);

/// Holds capacity for tasks of a job; a repeated request returns the same hold.
///
/// # Errors
///
/// Returns [`HoldError::Full`] if there is no free capacity or the node is stopping.
pub fn hold(app: &App, request: &HoldRequest) -> Result<HeldVms, HoldError> {
    if let Some(held) = app.holds.find(request.id) {
        return Ok(held);
    }
    if app.stopping.get() {
        return Err(HoldError::Full);
    }
    let reserve = ReserveRequest {
        task: pending_task(app, request),
        count: request.count,
        avoid: request.avoid.clone(),
        distinct_vms: request.distinct_vms,
    };
    let slots = app.workers.reserve(&reserve);
    if slots.is_empty() {
        return Err(HoldError::Full);
    }
    Ok(app
        .holds
        .add(request.id, slots, request.ttl, app.clock.now()))
}

fn pending_task(app: &App, request: &HoldRequest) -> PendingTask {
    let accepted = app.feed.active(&request.service);
    let class = accepted
        .as_ref()
        .and_then(|it| it.document.class(&request.class));
    let now = app.clock.now();
    PendingTask {
        service: request.service.clone(),
        class: request.class.clone(),
        spec: TaskSpec {
            kind: class.map_or(Kind::Batch, |class| class.kind),
            urgency: class.map_or(Urgency::Normal, |class| class.urgency),
            size: request.size,
            expected_run: class.map_or(Millis::ZERO, |class| class.typical),
            is_long: true,
        },
        arrived: now,
        deadline: now + QUEUE_TIMEOUT,
    }
}

/// Starts a task on the VM that was held for it.
pub async fn launch(app: &App, start: TaskStart) -> LaunchOutcome {
    let vm = start.attempt.vm.clone();
    let Some(mut slot) = app.holds.take(start.hold, &vm, app.clock.now()) else {
        return LaunchOutcome::NotRun;
    };
    slot.reassign(start.attempt.task);
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
    let start_request = start_request(start, &slot);
    let timeouts = DispatchTimeouts::default();
    let launched = launch_task(
        &*upstream,
        permit,
        start_request,
        body,
        &app.clock,
        &timeouts,
    )
    .await;
    log::debug!(task:% = slot.task(), vm = vm.as_str(), launched:? = launched; "launched");
    match launched {
        LaunchStatus::Running => {
            slot.detach();
            LaunchOutcome::Running
        }
        LaunchStatus::Over(DispatchOutcome::NotRun(_)) => LaunchOutcome::NotRun,
        // The engine queries the VM for the outcome.
        LaunchStatus::Over(DispatchOutcome::Ran(_) | DispatchOutcome::Cut) => {
            LaunchOutcome::Running
        }
        LaunchStatus::Over(DispatchOutcome::Unknown) => {
            slot.detach();
            LaunchOutcome::Unknown
        }
    }
}

fn start_request(start: TaskStart, slot: &Slot) -> StartRequest {
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
pub async fn signal(app: &App, vm: &VmId, task: TaskId, signal: TaskSignal) {
    let status = app.workers.status();
    let Some(owned) = status.iter().find(|owned| owned.vm == *vm) else {
        return;
    };
    let Some(upstream) = app.workers.upstream(vm) else {
        return;
    };
    if let Err(err) = upstream.signal(owned.epoch, task, signal).await {
        log::info!(vm = vm.as_str(), task:% = task, fault:% = err; "failed to signal task");
    }
}

/// Lets the VMs of this node forget tasks whose ends are recorded.
pub fn forget(app: &App, tasks: &[(VmId, TaskId)]) {
    for (vm, task) in tasks {
        app.workers.forget(vm, *task);
    }
}
