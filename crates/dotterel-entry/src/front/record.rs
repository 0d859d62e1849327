//! `GET /v1/requests/{id}`.

use std::sync::Arc;

use compact_str::{CompactString, format_compact};
use dotterel_coord::journal::LookupOutcome;
use dotterel_kernel::{Millis, Record, RequestId};
use dotterel_platform::CallError;
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use tokio::time::timeout;

use super::account;
use super::response::{ErrorResponse, json};
use crate::app::App;
use crate::messages::{Call, Reply};

const CALL_TIMEOUT: Millis = Millis(1_000);
const SEARCH_TIMEOUT: Millis = Millis(5_000);

/// Returns the journal record of a request.
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
            Err(err) => err.write(res),
        }
    }
}

/// Searches this node's journal, then those of its live peers, then the shipped ones.
async fn find(app: &App, id: RequestId) -> Result<Record, ErrorResponse> {
    if let Some(record) = app.journal.get(id) {
        return Ok(record);
    }
    let mut unavailable: Vec<CompactString> = Vec::new();
    let mut live = Vec::new();
    for peer in app.peers.status(app.clock.now()) {
        if !peer.alive {
            continue;
        }
        let reply = app
            .mesh
            .call(&peer.node, &Call::Record(id), CALL_TIMEOUT)
            .await;
        match reply {
            Ok(Reply::Record(Some(record))) => return Ok(record),
            Ok(Reply::Record(None)) => {}
            Ok(_) | Err(_) => unavailable.push(peer.node.0.clone()),
        }
        live.push((peer.node, peer.incarnation));
    }
    match find_shipped(app, &live, id).await {
        Ok(Some(record)) => return Ok(record),
        Ok(None) => {}
        Err(cause) => unavailable.push(cause),
    }
    if unavailable.is_empty() {
        let text = "no journal names this request";
        return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "id", text));
    }
    let text = format_compact!(
        "not found, but not all could be asked: {}",
        unavailable.join(", ")
    );
    Err(ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "id",
        text,
    ))
}

/// Searches the shipped journals, also those of live nodes, which may have dropped the record from
/// memory.
async fn find_shipped(
    app: &App,
    live: &[account::NodeIncarnation],
    id: RequestId,
) -> Result<Option<Record>, CompactString> {
    let mut incarnations = account::ended_incarnations(app, live).await?;
    incarnations.extend_from_slice(live);
    let search = async {
        for (node, incarnation) in incarnations {
            let found = app.journal_reader.lookup(&node, incarnation, id).await?;
            if let LookupOutcome::Settled(record) | LookupOutcome::Unsettled(record) = found {
                return Ok(Some(record));
            }
        }
        Ok::<_, CallError>(None)
    };
    match timeout(SEARCH_TIMEOUT.duration(), search).await {
        Ok(found) => found.map_err(|err| format_compact!("{err}")),
        Err(_) => Err("the object store took too long".into()),
    }
}
