//! `GET /v1/account`.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use dotterel_coord::journal::merge;
use dotterel_kernel::{Account, Gap, Incarnation, Millis, NodeId, Service};
use dotterel_platform::CallError;
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use tokio::time::timeout;

use super::response::{ErrorResponse, json};
use crate::app::App;
use crate::messages::{Call, Reply};

const ASK_TIMEOUT: Millis = Millis(2_000);
const SPAN_DEFAULT: Millis = Millis::secs(24 * 3_600);

const SILENT: &str = "the object store did not answer";

/// One life of a node.
pub(super) type Life = (NodeId, Incarnation);

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

fn since(app: &App, req: &Request) -> Result<Millis, ErrorResponse> {
    let Some(text) = req.query::<String>("since_ms") else {
        return Ok(app.clock.now() - SPAN_DEFAULT);
    };
    text.parse().map(Millis).map_err(|_| {
        ErrorResponse::new(StatusCode::BAD_REQUEST, "since_ms", "not a point in time")
            .allowed("milliseconds since the Unix epoch")
    })
}

/// Joins the accounts of this node, its peers and the lives that have ended.
///
/// Whatever cannot be read is a gap.
async fn draw_up(app: &Arc<App>, service: Option<Service>, since: Millis) -> Account {
    let mut parts = vec![app.journal.account(service.as_ref(), since)];
    let mut living = vec![(app.node().clone(), app.incarnation)];
    let mut asked = Vec::new();
    for peer in app.peers.status(app.clock.now()) {
        if !peer.alive {
            continue;
        }
        living.push((peer.node.clone(), peer.incarnation));
        let (app, service) = (app.clone(), service.clone());
        asked.push(tokio::spawn(async move {
            ask(&app, (peer.node, peer.incarnation), service, since).await
        }));
    }
    match ended(app, &living).await {
        Ok(lives) => {
            for life in lives {
                let (app, service) = (app.clone(), service.clone());
                asked.push(tokio::spawn(async move {
                    shipped(&app, life, service.as_ref(), since).await
                }));
            }
        }
        Err(cause) => parts.push(missing(app.node().clone(), Incarnation(0), since, &cause)),
    }
    for part in asked {
        if let Ok(part) = part.await {
            parts.push(part);
        }
    }
    merge(parts)
}

/// Returns the shipped lives that are not among those that live.
pub(super) async fn ended(app: &App, living: &[Life]) -> Result<Vec<Life>, CompactString> {
    let search = async {
        let mut lives = Vec::new();
        for node in app.reader.nodes().await? {
            let all = app.reader.lives(&node).await?;
            lives.extend(all.into_iter().map(|life| (node.clone(), life)));
        }
        Ok::<_, CallError>(lives)
    };
    let found = timeout(ASK_TIMEOUT.duration(), search).await;
    let found = found.map_err(|_| CompactString::from(SILENT))?;
    let mut lives = found.map_err(|fault| format_compact!("{fault}"))?;
    lives.retain(|life| !living.contains(life));
    Ok(lives)
}

async fn ask(app: &App, life: Life, service: Option<Service>, since: Millis) -> Account {
    let call = Call::Account {
        service: service.clone(),
        since,
    };
    let reply = app.mesh.call(&life.0, &call, ASK_TIMEOUT).await;
    if let Ok(Reply::Account(account)) = reply {
        return account;
    }
    shipped(app, life, service.as_ref(), since).await
}

/// Returns the account of a life from its shipped journal.
async fn shipped(
    app: &App,
    (node, incarnation): Life,
    service: Option<&Service>,
    since: Millis,
) -> Account {
    let read = app.reader.account(&node, incarnation, service, since);
    match timeout(ASK_TIMEOUT.duration(), read).await {
        Ok(Ok(account)) => account,
        Ok(Err(fault)) => missing(node, incarnation, since, &format_compact!("{fault}")),
        Err(_) => missing(node, incarnation, since, SILENT),
    }
}

fn missing(node: NodeId, incarnation: Incarnation, since: Millis, cause: &str) -> Account {
    let gap = Gap {
        node,
        incarnation,
        since,
        cause: format_compact!("journal not read: {cause}"),
    };
    Account {
        gaps: vec![gap],
        ..Account::default()
    }
}
