//! Asks VMs what became of a task whose node no longer answers.
//!
//! Only what a VM has seen is a proof here. That it has not seen a task proves nothing, because the
//! silent node may have let it forget the task.

use std::sync::Arc;

use dotterel_kernel::{Attempt, Millis, Reason, RequestId, TaskId, VmId};
use dotterel_platform::{Role, TaskState, Upstream};
use tokio::time::timeout;

use crate::app::App;
use crate::messages::{TaskOutcome, Verdict};
use crate::peers::Target;

const ASK_TIMEOUT: Millis = Millis(500);
const ASK_PERIOD: Millis = Millis(500);

/// How long VMs are asked while none of them knows the task.
const SEARCH_LIMIT: Millis = Millis::secs(3);

/// Looks for a task of a silent node on the VM that the node named, or else on all VMs of the
/// node's data centre.
pub(super) async fn prove(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
) -> TaskOutcome {
    let attempt = told(app, request, task);
    let vms = candidates(app, target, attempt.as_ref().map(|it| &it.vm));
    let mut seen = app.clock.now();
    while app.clock.now().since(seen) < SEARCH_LIMIT {
        match ask(&vms, task).await {
            Some((vm, TaskState::Running)) => {
                log::debug!(request:% = request, vm = vm.as_str(); "runs on without its node");
                seen = app.clock.now();
            }
            Some((vm, state)) => return done(app, &vm, task, target, attempt, state),
            None => {}
        }
        tokio::time::sleep(ASK_PERIOD.duration()).await;
    }
    TaskOutcome {
        verdict: Verdict::Unknown,
        attempt,
    }
}

/// Returns the attempt as the silent node told of it.
fn told(app: &App, request: RequestId, task: TaskId) -> Option<Attempt> {
    let attempts = app.journal.get(request)?.attempts;
    attempts.into_iter().find(|attempt| attempt.task == task)
}

fn candidates(app: &App, target: &Target, named: Option<&VmId>) -> Vec<(VmId, Arc<dyn Upstream>)> {
    let data_centre = app.peers.data_centre(&target.node);
    let listing = app.vm_list.listing();
    let workers = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
    let fit = workers.filter(|vm| match named {
        Some(named) => vm.id == named.0,
        None => data_centre.as_ref() == Some(&vm.data_centre),
    });
    fit.map(|listed| {
        let vm = VmId(listed.id.clone());
        (vm, app.adapters.of(listed))
    })
    .collect()
}

/// Asks the VMs one after another; none when no VM knows the task.
async fn ask(vms: &[(VmId, Arc<dyn Upstream>)], task: TaskId) -> Option<(VmId, TaskState)> {
    for (vm, upstream) in vms {
        let state = timeout(ASK_TIMEOUT.duration(), upstream.state(task)).await;
        if let Ok(Ok(state)) = state
            && state != TaskState::Unseen
        {
            return Some((vm.clone(), state));
        }
    }
    None
}

fn done(
    app: &App,
    vm: &VmId,
    task: TaskId,
    target: &Target,
    told: Option<Attempt>,
    state: TaskState,
) -> TaskOutcome {
    let now = app.clock.now();
    let (verdict, word) = match state {
        TaskState::Finished(answer) => (Verdict::Ran(answer), "finished"),
        TaskState::Barred => (Verdict::NotRun(Reason::Refused), "barred"),
        TaskState::Cut => (Verdict::Cut, "cut"),
        TaskState::Running | TaskState::Unseen => (Verdict::Unknown, "silent"),
    };
    let sent = told.map_or(now, |attempt| attempt.sent);
    let attempt = Attempt {
        task,
        vm: vm.clone(),
        owner: target.node.clone(),
        sent,
        ended: Some(now),
        outcome: word.into(),
    };
    TaskOutcome {
        verdict,
        attempt: Some(attempt),
    }
}
