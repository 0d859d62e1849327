//! `GET /v1/account`.

use std::sync::Arc;

use compact_str::format_compact;
use dotterel_coord::journal::merge;
use dotterel_kernel::{Account, Gap, Incarnation, Millis, NodeId, Service};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};

use super::answer::{Refusal, json};
use crate::app::App;
use crate::messages::{Call, Reply};

const ASK_TIMEOUT: Millis = Millis(2_000);
const SPAN_DEFAULT: Millis = Millis::secs(24 * 3_600);

/// Returns the account of all nodes that can be asked, with what is missing.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let service = req
            .query::<String>("service")
            .map(|name| Service(name.into()));
        match since(&self.0, req) {
            Ok(since) => {
                let account = draw_up(&self.0, service, since).await;
                json(res, StatusCode::OK, &account);
            }
            Err(refusal) => refusal.write(res),
        }
    }
}

fn since(app: &App, req: &Request) -> Result<Millis, Refusal> {
    let Some(text) = req.query::<String>("since_ms") else {
        return Ok(app.clock.now() - SPAN_DEFAULT);
    };
    text.parse().map(Millis).map_err(|_| {
        Refusal::new(StatusCode::BAD_REQUEST, "since_ms", "not a point in time")
            .allowed("milliseconds since the Unix epoch")
    })
}

/// Joins the accounts of this node and its peers; a peer that does not answer is a gap.
async fn draw_up(app: &Arc<App>, service: Option<Service>, since: Millis) -> Account {
    let mut parts = vec![app.journal.account(service.as_ref(), since)];
    let mut asked = Vec::new();
    for peer in app.peers.status(app.clock.now()) {
        let (app, service) = (app.clone(), service.clone());
        asked.push(tokio::spawn(async move {
            let life = (peer.node, peer.incarnation);
            ask(&app, life, service, since, peer.alive).await
        }));
    }
    for part in asked {
        if let Ok(part) = part.await {
            parts.push(part);
        }
    }
    merge(parts)
}

async fn ask(
    app: &App,
    (node, incarnation): (NodeId, Incarnation),
    service: Option<Service>,
    since: Millis,
    alive: bool,
) -> Account {
    if alive {
        let call = Call::Account {
            service: service.clone(),
            since,
        };
        let reply = app.mesh.call(&node, &call, ASK_TIMEOUT).await;
        if let Ok(Reply::Account(bytes)) = reply
            && let Ok(account) = serde_json::from_slice(&bytes)
        {
            return account;
        }
    }
    let shipped = app
        .reader
        .account(&node, incarnation, service.as_ref(), since);
    match tokio::time::timeout(ASK_TIMEOUT.duration(), shipped).await {
        Ok(Ok(account)) => account,
        Ok(Err(fault)) => missing(node, incarnation, since, &format_compact!("{fault}")),
        Err(_) => missing(node, incarnation, since, "the object store did not answer"),
    }
}

fn missing(node: NodeId, incarnation: Incarnation, since: Millis, cause: &str) -> Account {
    let gap = Gap {
        node,
        incarnation,
        since,
        cause: format_compact!("neither the node nor its shipped journal can be read: {cause}"),
    };
    Account {
        gaps: vec![gap],
        ..Account::default()
    }
}
