//! Looks for the proof of an outcome after the caller was told that it is unknown.

use std::sync::Arc;

use dotterel_coord::claims::Claim;
use dotterel_kernel::{Millis, Reason, RequestId, TaskId, VmId};

use super::attempt::Doubt;
use super::forward::{Asked, ask};
use super::{Outcome, Request, prove, serve, settle};
use crate::app::App;
use crate::messages::Verdict;
use crate::peers::Target;

const ASK_PERIOD: Millis = Millis::secs(1);

/// How long a node may be silent before nobody can be asked any more.
const SILENCE_LIMIT: Millis = Millis::secs(60);

/// Looks for a proof, then settles the claim and the record.
pub(super) async fn resolve(app: Arc<App>, request: Request, claim: Option<Claim>, doubt: Doubt) {
    let (verdict, vm) = match &doubt {
        Doubt::Here(slot) => (serve::search(&app, slot).await, slot.vm().clone()),
        Doubt::There { target, task, sent } => there(&app, request.id, target, *task, *sent).await,
    };
    let outcome = match verdict {
        Some(Verdict::Ran(answer)) => Outcome::Ran { answer, vm },
        Some(Verdict::NotRun(_)) => Outcome::NotRun(Reason::Refused),
        Some(Verdict::Cut | Verdict::Unknown) | None => Outcome::Unknown,
    };
    // Gives the capacity back, now that the VM no longer runs the task.
    drop(doubt);
    settle(&app, &request, claim, &outcome).await;
}

/// Asks the node that got the task, and the VMs once the node is silent.
async fn there(
    app: &App,
    request: RequestId,
    target: &Target,
    task: TaskId,
    sent: Millis,
) -> (Option<Verdict>, VmId) {
    let mut heard = app.clock.now();
    while app.clock.now().since(heard) < SILENCE_LIMIT {
        let done = match ask(app, target, task, sent).await {
            Asked::Done(done) => done,
            Asked::Pending => {
                heard = app.clock.now();
                pause().await;
                continue;
            }
            Asked::Silent | Asked::NotMine => prove::prove(app, request, target, task).await,
        };
        if done.verdict != Verdict::Unknown {
            let vm = done.attempt.map(|attempt| attempt.vm);
            return (Some(done.verdict), vm.unwrap_or_default());
        }
        pause().await;
    }
    (None, VmId::default())
}

async fn pause() {
    tokio::time::sleep(ASK_PERIOD.duration()).await;
}
