//! Serves the calls of other nodes.

use std::sync::Arc;

use bytes::Bytes;
use dotterel_kernel::NodeId;
use dotterel_mesh::Handler;

use super::beat::hear;
use crate::app::App;
use crate::messages::{Call, Messages, Reply};
use crate::requests;

/// Serves the calls of other nodes.
pub struct Server(pub Arc<App>);

impl Handler<Messages> for Server {
    async fn handle(&self, from: NodeId, call: Call) -> Reply {
        let app = &self.0;
        match call {
            Call::Beat(heartbeat) if heartbeat.node == from => {
                hear(app, from, heartbeat);
                Reply::Heard
            }
            Call::Beat(_) => Reply::Refused("a heartbeat of another node".into()),
            Call::Submit(submit) => requests::serve(app, &from, submit).await,
            Call::Settle {
                task,
                incarnation,
                age,
            } => requests::recall(app, task, incarnation, age),
            Call::Documents(have) => Reply::Documents(app.feed.newer_than(&have)),
            Call::Push(passed) => {
                app.feed
                    .offer(&passed.service, passed.revision, &passed.text);
                Reply::Heard
            }
            Call::Account { service, since } => {
                let account = app.journal.account(service.as_ref(), since);
                json(&account).map_or_else(refused, Reply::Account)
            }
            Call::Record(request) => match app.journal.get(request).map(|record| json(&record)) {
                None => Reply::Record(None),
                Some(Ok(record)) => Reply::Record(Some(record)),
                Some(Err(fault)) => refused(fault),
            },
            Call::Workers => Reply::Workers(app.listed.listing().vms),
        }
    }
}

fn json<T: serde::Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(value).map(Bytes::from)
}

fn refused(fault: impl std::fmt::Display) -> Reply {
    Reply::Refused(compact_str::format_compact!("{fault}"))
}
