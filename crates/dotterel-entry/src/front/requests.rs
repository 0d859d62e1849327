//! `POST /v1/services/{service}/requests/{class}`.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::format_compact;
use dotterel_coord::claims::{Body, Entry, RecordedOutcome};
use dotterel_kernel::{CallerKey, Class, Fate, Kind, Millis, Reason, RequestId, Service};
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::{Request, Response, handler};
use tokio::sync::watch;

use super::response::{ErrorResponse, header};
use super::{
    DEADLINE_HEADER, FATE_HEADER, KEY_HEADER, REASON_HEADER, REQUEST_HEADER, UPSTREAM_HEADER,
};
use crate::app::App;
use crate::requests::{self, Outcome};

const MAX_KEY_LENGTH: usize = 128;
const KEY_FORMAT: &str = "1 to 128 visible ASCII characters";

/// Runs a caller's request and responds with its outcome.
pub(super) struct Post(pub(super) Arc<App>);

#[handler]
impl Post {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let permit = self.0.limiter.try_acquire();
        // The guard is dropped with this future if the caller disconnects.
        let (gone_sender, caller_gone) = watch::channel(false);
        let guard = CallerGuard(gone_sender);
        let request = match validate(&self.0, req, caller_gone).await {
            Ok(request) => request,
            Err(err) => return err.write(res),
        };
        let id = request.id;
        let Some(permit) = permit else {
            requests::refuse(&self.0, &request, Reason::QueueFull);
            return write_not_run(res, id, Reason::QueueFull);
        };
        // The request runs to its fate in a task of its own, even if the caller disconnects.
        let app = self.0.clone();
        let task = tokio::spawn(async move {
            let _permit = permit;
            requests::run(app, request).await
        });
        match task.await {
            Ok(outcome) => write_outcome(res, id, outcome),
            Err(err) => {
                log::error!(request:% = id, fault:% = err; "request task failed");
                write_unknown(res, id);
            }
        }
        drop(guard);
    }
}

/// Signals on drop that the caller no longer waits for the response.
struct CallerGuard(watch::Sender<bool>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}

/// Validates a request against the document in force.
async fn validate(
    app: &App,
    req: &mut Request,
    caller_gone: watch::Receiver<bool>,
) -> Result<requests::Request, ErrorResponse> {
    let arrived = app.clock.now();
    let service = Service(req.param::<String>("service").unwrap_or_default().into());
    let name = req.param::<String>("class").unwrap_or_default();
    let class = find_request_class(app, &service, &name)?;
    let key = idempotency_key(req)?;
    if key.is_none() && !class.repeatable {
        return Err(key_required(&name));
    }
    let max_wait = max_wait(req, &class)?;
    let body = read_body(app, req).await?;
    Ok(requests::Request {
        id: RequestId::generate(),
        service,
        class,
        key,
        body,
        arrived,
        deadline: arrived + max_wait,
        caller_gone,
    })
}

/// Returns a class whose work runs as requests, not as jobs.
fn find_request_class(app: &App, service: &Service, name: &str) -> Result<Class, ErrorResponse> {
    let class = find_class(app, service, name)?;
    if matches!(class.kind, Kind::Gang | Kind::Service) {
        let reason = format_compact!("class {name} runs as jobs, not as requests");
        return Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "class", reason)
            .allowed("classes of kind interactive or batch"));
    }
    Ok(class)
}

/// Returns a class of the document in force.
pub(super) fn find_class(app: &App, service: &Service, name: &str) -> Result<Class, ErrorResponse> {
    let Some(accepted) = app.feed.active(service) else {
        if !app.feed.is_loaded() {
            let reason = "the node has not read the documents yet";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(ErrorResponse::new(status, "service", reason));
        }
        let reason = format_compact!("no document is in force for service {service}");
        return Err(ErrorResponse::new(StatusCode::NOT_FOUND, "service", reason));
    };
    let classes = &accepted.document.classes;
    accepted.document.class(name).cloned().ok_or_else(|| {
        let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let reason = format_compact!("service {service} has no class {name}");
        ErrorResponse::new(StatusCode::NOT_FOUND, "class", reason).allowed(names.join(", "))
    })
}

/// Returns the error for unrepeatable work without an idempotency key.
pub(super) fn key_required(class: &str) -> ErrorResponse {
    let reason = format_compact!("class {class} is not repeatable and needs a key");
    ErrorResponse::new(StatusCode::BAD_REQUEST, KEY_HEADER, reason).allowed(KEY_FORMAT)
}

/// Returns the caller's idempotency key, if there is one.
pub(super) fn idempotency_key(req: &Request) -> Result<Option<CallerKey>, ErrorResponse> {
    let Some(value) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LENGTH || !visible {
        return Err(
            ErrorResponse::new(StatusCode::BAD_REQUEST, KEY_HEADER, "not a usable key")
                .allowed(KEY_FORMAT),
        );
    }
    Ok(Some(CallerKey(text.into())))
}

/// Returns how long the request may wait for its start: the class's limit or less.
fn max_wait(req: &Request, class: &Class) -> Result<Millis, ErrorResponse> {
    let Some(value) = req.headers().get(DEADLINE_HEADER) else {
        return Ok(class.start);
    };
    let requested = value.to_str().ok().and_then(|text| text.parse().ok());
    match requested {
        Some(requested) if (1..=class.start.0).contains(&requested) => Ok(Millis(requested)),
        _ => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            DEADLINE_HEADER,
            "not a usable wait in milliseconds",
        )
        .allowed(format_compact!("1 to {}", class.start.0))),
    }
}

/// Reads the request body, up to the body limit.
pub(super) async fn read_body(app: &App, req: &mut Request) -> Result<Bytes, ErrorResponse> {
    let limit = app.settings.http.body_limit;
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(ErrorResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the body is too long",
        )
        .allowed(format_compact!("at most {limit} bytes"))),
        Err(err) => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "body",
            format_compact!("the body is not whole: {err}"),
        )),
    }
}

fn write_outcome(res: &mut Response, id: RequestId, outcome: Outcome) {
    match outcome {
        Outcome::Ran { answer, vm } => {
            write_headers(res, id, &Fate::Ran);
            header(res, UPSTREAM_HEADER, vm.as_str());
            write_answer(res, answer.status, &answer.content_type, answer.body);
        }
        Outcome::NotRun(reason) => write_not_run(res, id, reason),
        Outcome::Unknown => write_unknown(res, id),
        Outcome::Recorded { request, outcome } => write_recorded(res, request, outcome),
        Outcome::Unrecorded(entry) => write_earlier(res, &entry),
        Outcome::Mismatch(request) => {
            write_headers(res, id, &Fate::NotRun(Reason::Duplicate));
            let reason = format_compact!("used by request {request} with another body");
            ErrorResponse::new(StatusCode::CONFLICT, KEY_HEADER, reason).write(res);
        }
    }
}

fn write_headers(res: &mut Response, id: RequestId, fate: &Fate) {
    header(res, REQUEST_HEADER, &format_compact!("{id}"));
    header(res, FATE_HEADER, fate.as_str());
    if let Fate::NotRun(reason) = fate {
        header(res, REASON_HEADER, reason.as_str());
    }
}

fn write_answer(res: &mut Response, status: u16, content_type: &str, body: Bytes) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    header(res, "content-type", content_type);
    res.body(body);
}

fn write_not_run(res: &mut Response, id: RequestId, reason: Reason) {
    write_headers(res, id, &Fate::NotRun(reason));
    let text = match reason {
        // The state of the key is unknown, so an earlier request with this key may have run.
        Reason::ClaimUnavailable => format_compact!(
            "not run: {reason}; what became of earlier requests with this key is not known"
        ),
        _ => format_compact!("not run: {reason}"),
    };
    ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "request", text).write(res);
}

fn write_unknown(res: &mut Response, id: RequestId) {
    write_headers(res, id, &Fate::Unknown);
    let text = format_compact!("the outcome is unknown so far; ask /v1/requests/{id}");
    ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "request", text).write(res);
}

/// Responds to a repeated request with the recorded outcome of the first one.
fn write_recorded(res: &mut Response, request: RequestId, outcome: RecordedOutcome) {
    write_headers(res, request, &Fate::Ran);
    match outcome.body {
        Body::Inline(body) => write_answer(res, outcome.status, &outcome.content_type, body),
        Body::Object(_) | Body::Omitted { .. } => {
            let text = format_compact!(
                "request {request} ran and answered {}; its answer was too long to keep",
                outcome.status
            );
            ErrorResponse::new(StatusCode::CONFLICT, KEY_HEADER, text).write(res);
        }
    }
}

/// Responds to a repeated request while the first one has no recorded outcome.
fn write_earlier(res: &mut Response, entry: &Entry) {
    write_headers(res, entry.request, &Fate::Unknown);
    let text = format_compact!(
        "request {} has this key and its outcome is not recorded yet",
        entry.request
    );
    ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, KEY_HEADER, text).write(res);
}
