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

const KEY_LIMIT: usize = 128;
const KEY_RANGE: &str = "1 to 128 visible ASCII characters";

/// Takes a caller's request.
pub(super) struct Post(pub(super) Arc<App>);

#[handler]
impl Post {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let pass = self.0.gate.enter();
        // Dropped with this future when the caller goes.
        let (present, gone) = watch::channel(false);
        let caller = Caller(present);
        let request = match check(&self.0, req, gone).await {
            Ok(request) => request,
            Err(refusal) => return refusal.write(res),
        };
        let id = request.id;
        let Some(pass) = pass else {
            requests::refuse(&self.0, &request, Reason::QueueFull);
            return not_run(res, id, Reason::QueueFull);
        };
        // The request goes on to its fate even when the caller goes.
        let app = self.0.clone();
        let task = tokio::spawn(async move {
            let _pass = pass;
            requests::run(app, request).await
        });
        match task.await {
            Ok(outcome) => write(res, id, outcome),
            Err(fault) => {
                log::error!(request:% = id, fault:% = fault; "request task failed");
                unknown(res, id);
            }
        }
        drop(caller);
    }
}

/// A caller who waits for an answer.
struct Caller(watch::Sender<bool>);

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.send_replace(true);
    }
}

/// Checks everything that can be told from the request and the document in force.
async fn check(
    app: &App,
    req: &mut Request,
    gone: watch::Receiver<bool>,
) -> Result<requests::Request, ErrorResponse> {
    let arrived = app.clock.now();
    let service = Service(req.param::<String>("service").unwrap_or_default().into());
    let name = req.param::<String>("class").unwrap_or_default();
    let class = find(app, &service, &name)?;
    let key = key(req)?;
    if key.is_none() && !class.repeatable {
        return Err(key_needed(&name));
    }
    let wait = wait(req, &class)?;
    let body = body(app, req).await?;
    Ok(requests::Request {
        id: RequestId::generate(),
        service,
        class,
        key,
        body,
        arrived,
        deadline: arrived + wait,
        gone,
    })
}

fn find(app: &App, service: &Service, name: &str) -> Result<Class, ErrorResponse> {
    let class = class(app, service, name)?;
    if matches!(class.kind, Kind::Gang | Kind::Service) {
        let reason = format_compact!("class {name} runs as jobs, not as requests");
        return Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "class", reason)
            .allowed("classes of kind interactive or batch"));
    }
    Ok(class)
}

/// Returns a class as the document in force describes it.
pub(super) fn class(app: &App, service: &Service, name: &str) -> Result<Class, ErrorResponse> {
    let Some(accepted) = app.feed.in_force(service) else {
        if !app.feed.read() {
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

/// Refuses work that must not run twice and carries no key.
pub(super) fn key_needed(class: &str) -> ErrorResponse {
    let reason = format_compact!("class {class} is not repeatable and needs a key");
    ErrorResponse::new(StatusCode::BAD_REQUEST, KEY_HEADER, reason).allowed(KEY_RANGE)
}

/// Returns the caller's idempotency key.
pub(super) fn key(req: &Request) -> Result<Option<CallerKey>, ErrorResponse> {
    let Some(value) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > KEY_LIMIT || !visible {
        return Err(
            ErrorResponse::new(StatusCode::BAD_REQUEST, KEY_HEADER, "not a usable key")
                .allowed(KEY_RANGE),
        );
    }
    Ok(Some(CallerKey(text.into())))
}

fn wait(req: &Request, class: &Class) -> Result<Millis, ErrorResponse> {
    let Some(value) = req.headers().get(DEADLINE_HEADER) else {
        return Ok(class.start);
    };
    let asked = value.to_str().ok().and_then(|text| text.parse().ok());
    match asked {
        Some(asked) if (1..=class.start.0).contains(&asked) => Ok(Millis(asked)),
        _ => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            DEADLINE_HEADER,
            "not a usable wait in milliseconds",
        )
        .allowed(format_compact!("1 to {}", class.start.0))),
    }
}

/// Reads the whole body.
pub(super) async fn body(app: &App, req: &mut Request) -> Result<Bytes, ErrorResponse> {
    let limit = app.settings.http.body_limit;
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(ErrorResponse::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            "the body is too long",
        )
        .allowed(format_compact!("at most {limit} bytes"))),
        Err(fault) => Err(ErrorResponse::new(
            StatusCode::BAD_REQUEST,
            "body",
            format_compact!("the body is not whole: {fault}"),
        )),
    }
}

fn write(res: &mut Response, id: RequestId, outcome: Outcome) {
    match outcome {
        Outcome::Ran { answer, vm } => {
            head(res, id, &Fate::Ran);
            header(res, UPSTREAM_HEADER, vm.as_str());
            whole(res, answer.status, &answer.content_type, answer.body);
        }
        Outcome::NotRun(reason) => not_run(res, id, reason),
        Outcome::Unknown => unknown(res, id),
        Outcome::Recorded { request, outcome } => recorded(res, request, outcome),
        Outcome::Earlier(entry) => earlier(res, &entry),
        Outcome::Mismatch(request) => {
            head(res, id, &Fate::NotRun(Reason::Duplicate));
            let reason = format_compact!("used by request {request} with another body");
            ErrorResponse::new(StatusCode::CONFLICT, KEY_HEADER, reason).write(res);
        }
    }
}

fn head(res: &mut Response, id: RequestId, fate: &Fate) {
    header(res, REQUEST_HEADER, &format_compact!("{id}"));
    header(res, FATE_HEADER, fate.as_str());
    if let Fate::NotRun(reason) = fate {
        header(res, REASON_HEADER, reason.as_str());
    }
}

fn whole(res: &mut Response, status: u16, content_type: &str, body: Bytes) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    header(res, "content-type", content_type);
    res.body(body);
}

fn not_run(res: &mut Response, id: RequestId, reason: Reason) {
    head(res, id, &Fate::NotRun(reason));
    let text = match reason {
        // Nothing is known of the key, so an earlier request with it may have run.
        Reason::ClaimUnavailable => format_compact!(
            "not run: {reason}; what became of earlier requests with this key is not known"
        ),
        _ => format_compact!("not run: {reason}"),
    };
    ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "request", text).write(res);
}

fn unknown(res: &mut Response, id: RequestId) {
    head(res, id, &Fate::Unknown);
    let text = format_compact!("the outcome is unknown so far; ask /v1/requests/{id}");
    ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, "request", text).write(res);
}

/// Answers a repeat with what the first request answered.
fn recorded(res: &mut Response, request: RequestId, outcome: RecordedOutcome) {
    head(res, request, &Fate::Ran);
    match outcome.body {
        Body::Whole(body) => whole(res, outcome.status, &outcome.content_type, body),
        Body::Object(_) | Body::Omitted { .. } => {
            let text = format_compact!(
                "request {request} ran and answered {}; its answer was too long to keep",
                outcome.status
            );
            ErrorResponse::new(StatusCode::CONFLICT, KEY_HEADER, text).write(res);
        }
    }
}

/// Answers a repeat whose first request has no recorded outcome.
fn earlier(res: &mut Response, entry: &Entry) {
    head(res, entry.request, &Fate::Unknown);
    let text = format_compact!(
        "request {} has this key and its outcome is not recorded yet",
        entry.request
    );
    ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, KEY_HEADER, text).write(res);
}
