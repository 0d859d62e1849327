//! `GET` and `PUT /v1/documents/{service}`.

use std::sync::Arc;

use compact_str::format_compact;
use dotterel_coord::feed::{ApplyOutcome, DocumentUpdate};
use dotterel_kernel::{Millis, Revision, Service};
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::{Request, Response, handler};

use super::response::{ErrorResponse, header, json};
use crate::app::App;
use crate::messages::Call;

/// The maximum length of a document in bytes.
const MAX_DOCUMENT_BYTES: usize = 256 << 10;

/// The timeout for writing an edit to the platform's table.
const APPLY_TIMEOUT: Millis = Millis::secs(5);

const PUSH_TIMEOUT: Millis = Millis(1_000);

/// Returns the document in force of a service.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let service = service_param(req);
        match self.0.feed.active(&service) {
            Some(accepted) => {
                write_etag(res, accepted.revision);
                header(res, "content-type", "application/toml");
                res.body(accepted.text.to_string());
            }
            None => {
                let text = format_compact!("no document is in force for service {service}");
                ErrorResponse::new(StatusCode::NOT_FOUND, "service", text).write(res);
            }
        }
    }
}

/// Replaces the document of a service.
pub(super) struct Put(pub(super) Arc<App>);

#[handler]
impl Put {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(err) = put(&self.0, req, res).await {
            err.write(res);
        }
    }
}

async fn put(app: &Arc<App>, req: &mut Request, res: &mut Response) -> Result<(), ErrorResponse> {
    let service = service_param(req);
    let expected = expected_revision(req)?;
    let text = read_text(req).await?;
    let deadline = app.clock.now() + APPLY_TIMEOUT;
    let applied = app
        .feed
        .apply(&service, &text, expected, app.node(), deadline)
        .await;
    match applied {
        ApplyOutcome::Accepted { revision } => {
            log::info!(service = service.as_str(), revision = revision.0; "document accepted");
            push_to_peers(app, &service, revision, &text);
            write_etag(res, revision);
            json(res, StatusCode::OK, &(&service, revision));
            Ok(())
        }
        ApplyOutcome::Conflict { current, .. } => {
            let text = format_compact!("revision {current} is in force");
            Err(
                ErrorResponse::new(StatusCode::PRECONDITION_FAILED, "if-match", text)
                    .revision(current),
            )
        }
        ApplyOutcome::Invalid(err) => {
            let text = format_compact!("got {}", err.value);
            Err(ErrorResponse::new(StatusCode::BAD_REQUEST, err.field, text).allowed(err.allowed))
        }
        ApplyOutcome::Unavailable { maybe_applied } => Err(unavailable(maybe_applied)),
    }
}

fn unavailable(may_be_accepted: bool) -> ErrorResponse {
    if may_be_accepted {
        let text = "the platform's table did not answer; the edit may yet be accepted";
        return ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "document", text);
    }
    let text = "the platform's table cannot be reached; the edit was not accepted";
    ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "document", text)
}

/// Sends a new revision to all live nodes in the background; other nodes read it from the table.
fn push_to_peers(app: &Arc<App>, service: &Service, revision: Revision, text: &str) {
    let document = DocumentUpdate {
        service: service.clone(),
        revision,
        text: text.into(),
    };
    for node in app.peers.live(app.clock.now()) {
        let (app, call) = (app.clone(), Call::PushDocument(document.clone()));
        tokio::spawn(async move {
            if let Err(err) = app.mesh.call(&node, &call, PUSH_TIMEOUT).await {
                log::info!(peer = node.as_str(), fault:% = err; "failed to push document");
            }
        });
    }
}

/// Returns the revision that the edit must replace, or `None` for a first document.
fn expected_revision(req: &Request) -> Result<Option<Revision>, ErrorResponse> {
    let headers = req.headers();
    if let Some(value) = headers.get("if-match") {
        let text = value.to_str().unwrap_or_default();
        let number = text.trim_matches('"').parse().ok().filter(|n| *n > 0);
        return number.map(|n| Some(Revision(n))).ok_or_else(|| {
            ErrorResponse::new(StatusCode::BAD_REQUEST, "if-match", "not a revision")
                .allowed("the ETag of the document, as \"3\"")
        });
    }
    if headers
        .get("if-none-match")
        .is_some_and(|value| value == "*")
    {
        return Ok(None);
    }
    Err(ErrorResponse::new(
        StatusCode::PRECONDITION_REQUIRED,
        "if-match",
        "an edit must name the revision that it started from",
    )
    .allowed("If-Match with the document's ETag, or If-None-Match: * for a first document"))
}

/// Reads the document's text from the request body.
async fn read_text(req: &mut Request) -> Result<String, ErrorResponse> {
    let payload = req.payload_with_max_size(MAX_DOCUMENT_BYTES).await;
    let bytes = payload.map_err(|err| match err {
        ParseError::PayloadTooLarge => ErrorResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the document is too long",
        )
        .allowed(format_compact!("at most {MAX_DOCUMENT_BYTES} bytes")),
        err => ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "body",
            format_compact!("the body is not whole: {err}"),
        ),
    })?;
    String::from_utf8(bytes.to_vec())
        .map_err(|_| ErrorResponse::new(StatusCode::BAD_REQUEST, "body", "not UTF-8 text"))
}

fn service_param(req: &Request) -> Service {
    Service(req.param::<String>("service").unwrap_or_default().into())
}

fn write_etag(res: &mut Response, revision: Revision) {
    header(res, "etag", &format_compact!("\"{revision}\""));
}
