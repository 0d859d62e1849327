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

const QUERY_TIMEOUT: Millis = Millis(2_000);
const DEFAULT_SPAN: Millis = Millis::secs(24 * 3_600);

const STORE_TIMED_OUT: &str = "the object store did not answer";

/// A node and one of its incarnations.
pub(super) type NodeIncarnation = (NodeId, Incarnation);

/// Returns the merged account of all nodes; unreachable parts are listed as gaps.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let service = req
            .query::<String>("service")
            .map(|name| Service(name.into()));
        match since(&self.0, req) {
            Ok(since) => {
                let account = collect(&self.0, service, since).await;
                json(res, StatusCode::OK, &account);
            }
            Err(err) => err.write(res),
        }
    }
}

fn since(app: &App, req: &Request) -> Result<Millis, ErrorResponse> {
    let Some(text) = req.query::<String>("since_ms") else {
        return Ok(app.clock.now() - DEFAULT_SPAN);
    };
    text.parse().map(Millis).map_err(|_| {
        ErrorResponse::new(StatusCode::BAD_REQUEST, "since_ms", "not a point in time")
            .allowed("milliseconds since the Unix epoch")
    })
}

/// Merges the accounts of this node, of its live peers and of ended incarnations, which are read
/// from the object store. Parts that cannot be read become gaps.
async fn collect(app: &Arc<App>, service: Option<Service>, since: Millis) -> Account {
    let mut parts = vec![app.journal.account(service.as_ref(), since)];
    let mut live = vec![(app.node().clone(), app.incarnation)];
    let mut pending = Vec::new();
    for peer in app.peers.status(app.clock.now()) {
        if !peer.alive {
            continue;
        }
        live.push((peer.node.clone(), peer.incarnation));
        let (app, service) = (app.clone(), service.clone());
        pending.push(tokio::spawn(async move {
            query_peer(&app, (peer.node, peer.incarnation), service, since).await
        }));
    }
    match ended_incarnations(app, &live).await {
        Ok(ended) => {
            for node_incarnation in ended {
                let (app, service) = (app.clone(), service.clone());
                pending.push(tokio::spawn(async move {
                    read_shipped(&app, node_incarnation, service.as_ref(), since).await
                }));
            }
        }
        Err(cause) => parts.push(account_with_gap(
            app.node().clone(),
            Incarnation(0),
            since,
            &cause,
        )),
    }
    for part in pending {
        if let Ok(part) = part.await {
            parts.push(part);
        }
    }
    merge(parts)
}

/// Returns the incarnations with a shipped journal, without the live ones.
pub(super) async fn ended_incarnations(
    app: &App,
    live: &[NodeIncarnation],
) -> Result<Vec<NodeIncarnation>, CompactString> {
    let search = async {
        let mut shipped = Vec::new();
        for node in app.journal_reader.nodes().await? {
            let incarnations = app.journal_reader.incarnations(&node).await?;
            shipped.extend(
                incarnations
                    .into_iter()
                    .map(|incarnation| (node.clone(), incarnation)),
            );
        }
        Ok::<_, CallError>(shipped)
    };
    let found = timeout(QUERY_TIMEOUT.duration(), search).await;
    let found = found.map_err(|_| CompactString::from(STORE_TIMED_OUT))?;
    let mut ended = found.map_err(|err| format_compact!("{err}"))?;
    ended.retain(|node_incarnation| !live.contains(node_incarnation));
    Ok(ended)
}

/// Returns the account of a peer, from its shipped journal if the peer does not reply.
async fn query_peer(
    app: &App,
    peer: NodeIncarnation,
    service: Option<Service>,
    since: Millis,
) -> Account {
    let call = Call::Account {
        service: service.clone(),
        since,
    };
    let reply = app.mesh.call(&peer.0, &call, QUERY_TIMEOUT).await;
    if let Ok(Reply::Account(account)) = reply {
        return account;
    }
    read_shipped(app, peer, service.as_ref(), since).await
}

/// Returns the account of an incarnation from its shipped journal.
async fn read_shipped(
    app: &App,
    (node, incarnation): NodeIncarnation,
    service: Option<&Service>,
    since: Millis,
) -> Account {
    let read = app
        .journal_reader
        .account(&node, incarnation, service, since);
    match timeout(QUERY_TIMEOUT.duration(), read).await {
        Ok(Ok(account)) => account,
        Ok(Err(err)) => account_with_gap(node, incarnation, since, &format_compact!("{err}")),
        Err(_) => account_with_gap(node, incarnation, since, STORE_TIMED_OUT),
    }
}

/// Returns an account that holds only a gap.
fn account_with_gap(node: NodeId, incarnation: Incarnation, since: Millis, cause: &str) -> Account {
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
