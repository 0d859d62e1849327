//! Queries VMs for a task whose node no longer replies.
//!
//! [`TaskState::Unseen`] proves nothing here, because the unresponsive node may have let the VM
//! forget the task.

use std::sync::Arc;

use dotterel_kernel::{Attempt, Millis, Reason, RequestId, TaskId, VmId};
use dotterel_platform::{Role, TaskState, Upstream};
use tokio::time::timeout;

use crate::app::App;
use crate::messages::{TaskOutcome, Verdict};
use crate::peers::Target;

const QUERY_TIMEOUT: Millis = Millis(500);
const QUERY_INTERVAL: Millis = Millis(500);

/// How long the VMs are queried while none of them has seen the task.
const SEARCH_TIMEOUT: Millis = Millis::secs(3);

/// Searches for a task of an unresponsive node on the VM that the node reported, or else on all VMs
/// of the node's data centre.
pub(super) async fn query_vms(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
) -> TaskOutcome {
    let attempt = reported_attempt(app, request, task);
    let vms = candidates(app, target, attempt.as_ref().map(|it| &it.vm));
    let mut last_seen = app.clock.now();
    while app.clock.now().since(last_seen) < SEARCH_TIMEOUT {
        match query_state(&vms, task).await {
            Some((vm, TaskState::Running)) => {
                log::debug!(
                    request:% = request, vm = vm.as_str();
                    "task still running, its node does not reply"
                );
                last_seen = app.clock.now();
            }
            Some((vm, state)) => return task_outcome(app, &vm, task, target, attempt, state),
            None => {}
        }
        tokio::time::sleep(QUERY_INTERVAL.duration()).await;
    }
    TaskOutcome {
        verdict: Verdict::Unknown,
        attempt,
    }
}

/// Returns the attempt that the node reported when the task started.
fn reported_attempt(app: &App, request: RequestId, task: TaskId) -> Option<Attempt> {
    let attempts = app.journal.get(request)?.attempts;
    attempts.into_iter().find(|attempt| attempt.task == task)
}

fn candidates(
    app: &App,
    target: &Target,
    reported_vm: Option<&VmId>,
) -> Vec<(VmId, Arc<dyn Upstream>)> {
    let data_centre = app.peers.data_centre(&target.node);
    let listing = app.vm_list.listing();
    let workers = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
    let matching = workers.filter(|vm| match reported_vm {
        Some(reported_vm) => vm.id == reported_vm.0,
        None => data_centre.as_ref() == Some(&vm.data_centre),
    });
    matching
        .map(|listed| {
            let vm = VmId(listed.id.clone());
            (vm, app.adapters.for_vm(listed))
        })
        .collect()
}

/// Queries the VMs in sequence; returns `None` if no VM has seen the task.
async fn query_state(vms: &[(VmId, Arc<dyn Upstream>)], task: TaskId) -> Option<(VmId, TaskState)> {
    for (vm, upstream) in vms {
        let state = timeout(QUERY_TIMEOUT.duration(), upstream.state(task)).await;
        if let Ok(Ok(state)) = state
            && state != TaskState::Unseen
        {
            return Some((vm.clone(), state));
        }
    }
    None
}

fn task_outcome(
    app: &App,
    vm: &VmId,
    task: TaskId,
    target: &Target,
    reported: Option<Attempt>,
    state: TaskState,
) -> TaskOutcome {
    let now = app.clock.now();
    let (verdict, label) = match state {
        TaskState::Finished(answer) => (Verdict::Ran(answer), "finished"),
        TaskState::Barred => (Verdict::NotRun(Reason::Refused), "barred"),
        TaskState::Cut => (Verdict::Cut, "cut"),
        TaskState::Running | TaskState::Unseen => (Verdict::Unknown, "silent"),
    };
    let sent = reported.map_or(now, |attempt| attempt.sent);
    let attempt = Attempt {
        task,
        vm: vm.clone(),
        owner: target.node.clone(),
        sent,
        ended: Some(now),
        outcome: label.into(),
    };
    TaskOutcome {
        verdict,
        attempt: Some(attempt),
    }
}
