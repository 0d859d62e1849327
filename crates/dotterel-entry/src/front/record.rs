//! `GET /v1/requests/{id}`.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use dotterel_coord::journal::Found;
use dotterel_kernel::{Millis, Record, RequestId};
use dotterel_platform::CallError;
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use tokio::time::timeout;

use super::account;
use super::response::{ErrorResponse, json};
use crate::app::App;
use crate::messages::{Call, Reply};

const ASK_TIMEOUT: Millis = Millis(1_000);
const SEARCH_TIMEOUT: Millis = Millis(5_000);

/// Tells what is known of a request.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let text = req.param::<String>("id").unwrap_or_default();
        let Ok(id) = text.parse::<RequestId>() else {
            return ErrorResponse::new(StatusCode::BAD_REQUEST, "id", "not a request's identifier")
                .allowed("a UUID, as in the answer's Dotterelrelay-Request header")
                .write(res);
        };
        match find(&self.0, id).await {
            Ok(record) => json(res, StatusCode::OK, &record),
            Err(refusal) => refusal.write(res),
        }
    }
}

/// Looks in this node's journal, then in those of its peers, then in the shipped ones.
async fn find(app: &App, id: RequestId) -> Result<Record, ErrorResponse> {
    if let Some(record) = app.journal.get(id) {
        return Ok(record);
    }
    let mut silent: Vec<CompactString> = Vec::new();
    let mut living = Vec::new();
    for peer in app.peers.status(app.clock.now()) {
        if !peer.alive {
            continue;
        }
        let reply = app
            .mesh
            .call(&peer.node, &Call::Record(id), ASK_TIMEOUT)
            .await;
        match reply {
            Ok(Reply::Record(Some(record))) => return Ok(record),
            Ok(Reply::Record(None)) => {}
            Ok(_) | Err(_) => silent.push(peer.node.0.clone()),
        }
        living.push((peer.node, peer.incarnation));
    }
    match shipped(app, &living, id).await {
        Ok(Some(record)) => return Ok(record),
        Ok(None) => {}
        Err(cause) => silent.push(cause),
    }
    if silent.is_empty() {
        let text = "no journal names this request";
        return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "id", text));
    }
    let text = format_compact!(
        "not found, but not all could be asked: {}",
        silent.join(", ")
    );
    Err(ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "id",
        text,
    ))
}

/// Looks in the shipped journals; what lives may have forgotten the request, so all are read.
async fn shipped(
    app: &App,
    living: &[account::Life],
    id: RequestId,
) -> Result<Option<Record>, CompactString> {
    let mut lives = account::ended(app, living).await?;
    lives.extend_from_slice(living);
    let search = async {
        for (node, incarnation) in lives {
            let found = app.reader.lookup(&node, incarnation, id).await?;
            if let Found::Settled(record) | Found::Lost(record) = found {
                return Ok(Some(record));
            }
        }
        Ok::<_, CallError>(None)
    };
    match timeout(SEARCH_TIMEOUT.duration(), search).await {
        Ok(found) => found.map_err(|fault| format_compact!("{fault}")),
        Err(_) => Err("the object store took too long".into()),
    }
}
