//! `GET /v1/requests/{id}`.

use std::sync::Arc;

use dotterel_kernel::{Millis, Record, RequestId};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};

use super::answer::{Refusal, json};
use crate::app::App;
use crate::messages::{Call, Reply};

const ASK_TIMEOUT: Millis = Millis(1_000);

/// Tells what is known of a request.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let text = req.param::<String>("id").unwrap_or_default();
        let Ok(id) = text.parse::<RequestId>() else {
            return Refusal::new(StatusCode::BAD_REQUEST, "id", "not a request's identifier")
                .allowed("a UUID, as in the answer's Dotterelrelay-Request header")
                .write(res);
        };
        match find(&self.0, id).await {
            Ok(record) => json(res, StatusCode::OK, &record),
            Err(refusal) => refusal.write(res),
        }
    }
}

/// Looks in this node's journal, then in those of its peers.
async fn find(app: &App, id: RequestId) -> Result<Record, Refusal> {
    if let Some(record) = app.journal.get(id) {
        return Ok(record);
    }
    let mut silent = Vec::new();
    for node in app.peers.live(app.clock.now()) {
        match app.mesh.call(&node, &Call::Record(id), ASK_TIMEOUT).await {
            Ok(Reply::Record(Some(bytes))) => {
                if let Ok(record) = serde_json::from_slice(&bytes) {
                    return Ok(record);
                }
            }
            Ok(Reply::Record(None)) => {}
            Ok(_) | Err(_) => silent.push(node.0),
        }
    }
    if silent.is_empty() {
        let text = "no live node remembers this request";
        return Err(Refusal::new(StatusCode::NOT_FOUND, "id", text));
    }
    let text = compact_str::format_compact!("not found; could not ask {}", silent.join(", "));
    Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "id", text))
}
