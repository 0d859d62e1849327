//! `GET` and `PUT /v1/documents/{service}`.

use std::sync::Arc;

use compact_str::format_compact;
use dotterel_coord::feed::{Applied, Passed};
use dotterel_kernel::{Millis, Revision, Service};
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::{Request, Response, handler};

use super::response::{ErrorResponse, header, json};
use crate::app::App;
use crate::messages::Call;

/// The longest document in bytes.
const TEXT_LIMIT: usize = 256 << 10;

/// How long an edit waits for the table.
const APPLY_WAIT: Millis = Millis::secs(5);

const PUSH_TIMEOUT: Millis = Millis(1_000);

/// Returns the document in force.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let service = service(req);
        match self.0.feed.in_force(&service) {
            Some(accepted) => {
                tag(res, accepted.revision);
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
        if let Err(refusal) = put(&self.0, req, res).await {
            refusal.write(res);
        }
    }
}

async fn put(app: &Arc<App>, req: &mut Request, res: &mut Response) -> Result<(), ErrorResponse> {
    let service = service(req);
    let expect = condition(req)?;
    let text = text(req).await?;
    let deadline = app.clock.now() + APPLY_WAIT;
    let applied = app
        .feed
        .apply(&service, &text, expect, app.node(), deadline)
        .await;
    match applied {
        Applied::Accepted { revision } => {
            log::info!(service = service.as_str(), revision = revision.0; "document accepted");
            push(app, &service, revision, &text);
            tag(res, revision);
            json(res, StatusCode::OK, &(&service, revision));
            Ok(())
        }
        Applied::Lost { current, .. } => {
            let text = format_compact!("revision {current} is in force");
            Err(
                ErrorResponse::new(StatusCode::PRECONDITION_FAILED, "if-match", text)
                    .revision(current),
            )
        }
        Applied::Invalid(fault) => {
            let text = format_compact!("got {}", fault.value);
            Err(
                ErrorResponse::new(StatusCode::BAD_REQUEST, fault.field, text)
                    .allowed(fault.allowed),
            )
        }
        Applied::Unavailable { maybe } => Err(unavailable(maybe)),
    }
}

fn unavailable(maybe: bool) -> ErrorResponse {
    if maybe {
        let text = "the platform's table did not answer; the edit may yet be accepted";
        return ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "document", text);
    }
    let text = "the platform's table cannot be reached; the edit was not accepted";
    ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "document", text)
}

/// Tells the live nodes of a new revision; the others find it in the table.
fn push(app: &Arc<App>, service: &Service, revision: Revision, text: &str) {
    let passed = Passed {
        service: service.clone(),
        revision,
        text: text.into(),
    };
    for node in app.peers.live(app.clock.now()) {
        let (app, call) = (app.clone(), Call::Push(passed.clone()));
        tokio::spawn(async move {
            if let Err(fault) = app.mesh.call(&node, &call, PUSH_TIMEOUT).await {
                log::info!(peer = node.as_str(), fault:% = fault; "document not pushed");
            }
        });
    }
}

/// Returns the revision that the edit started from; none for a first document.
fn condition(req: &Request) -> Result<Option<Revision>, ErrorResponse> {
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

async fn text(req: &mut Request) -> Result<String, ErrorResponse> {
    let payload = req.payload_with_max_size(TEXT_LIMIT).await;
    let bytes = payload.map_err(|fault| match fault {
        ParseError::PayloadTooLarge => ErrorResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the document is too long",
        )
        .allowed(format_compact!("at most {TEXT_LIMIT} bytes")),
        fault => ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "body",
            format_compact!("the body is not whole: {fault}"),
        ),
    })?;
    String::from_utf8(bytes.to_vec())
        .map_err(|_| ErrorResponse::new(StatusCode::BAD_REQUEST, "body", "not UTF-8 text"))
}

fn service(req: &Request) -> Service {
    Service(req.param::<String>("service").unwrap_or_default().into())
}

fn tag(res: &mut Response, revision: Revision) {
    header(res, "etag", &format_compact!("\"{revision}\""));
}
