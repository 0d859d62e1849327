//! Dispatches the calls of other nodes to the parts of this node.

use std::sync::Arc;

use dotterel_kernel::NodeId;
use dotterel_mesh::Handler;

use super::heartbeat::on_heartbeat;
use crate::app::App;
use crate::messages::{Call, Messages, Reply};
use crate::{jobs, requests};

/// Handles mesh calls from other nodes.
pub struct Server(pub Arc<App>);

impl Handler<Messages> for Server {
    async fn handle(&self, from: NodeId, call: Call) -> Reply {
        let app = &self.0;
        match call {
            Call::Heartbeat(beat) if beat.heartbeat.node == from => {
                on_heartbeat(app, from, beat);
                Reply::Ack
            }
            Call::Revisions => Reply::Revisions(app.feed.revisions()),
            Call::Heartbeat(_) => Reply::Refused("a heartbeat of another node".into()),
            Call::Submit(submit) => requests::serve(app, &from, submit).await,
            Call::Started { request, attempt } => {
                requests::record_start(app, request, &attempt);
                Reply::Ack
            }
            Call::QueryTask {
                task,
                incarnation,
                age,
            } => requests::query_task(app, task, incarnation, age),
            Call::Documents(known) => Reply::Documents(app.feed.newer_than(&known)),
            Call::PushDocument(document) => {
                app.feed
                    .offer(&document.service, document.revision, &document.text);
                Reply::Ack
            }
            Call::ChangeClaim(change) => Reply::ClaimChanged(app.claims.serve(change).await),
            Call::Hold(request) => Reply::Held(jobs::hold(app, &request)),
            Call::CommitHold(hold) => Reply::Committed(app.holds.commit(hold, app.clock.now())),
            Call::ReleaseHold(hold) => {
                app.holds.release(hold);
                Reply::Ack
            }
            Call::Launch(start) => Reply::Launched(jobs::launch(app, start).await),
            Call::Signal { vm, task, signal } => {
                jobs::signal(app, &vm, task, signal).await;
                Reply::Ack
            }
            Call::Forget(tasks) => {
                jobs::forget(app, &tasks);
                Reply::Ack
            }
            Call::Account { service, since } => {
                Reply::Account(app.journal.account(service.as_ref(), since))
            }
            Call::Record(request) => Reply::Record(app.journal.get(request)),
            Call::Workers => Reply::Workers(app.vm_list.listing().vms.clone()),
        }
    }
}
