//! Handles callers' HTTP requests.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_cell::record::{self, JobRow};
use dotterel_cell::{JobId, JobRecord, JobSpec, JobState};
use dotterel_kernel::{Clock, Millis};
use futures_util::future::join_all;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use tokio::sync::watch;

use crate::election::LANES;
use crate::http::limits::{BodyError, ByteBudget, read_body};
use crate::http::server::BUDGET_RETRY_AFTER_S;
use crate::http::{Body, RequestBody, Service, json_response};
use crate::link::{self, CellNo, Reply};
use crate::metrics::Metrics;
use crate::platform::{Platform, Table};
use crate::routes::{Configuration, RequestLimits, Route};

mod access;
mod relay;

use access::Access;
pub use relay::{Outcome, Relay};

/// Assumed for callers that don't state how long they wait: the usual timeout of the platform's
/// clients.
const DEFAULT_CALLER_TIMEOUT: Millis = Millis::secs(3);
/// Subtracted from a caller's deadline: time for the response to cross regions, and for the write.
const RESPONSE_MARGIN: Millis = Millis(120);
/// Retry delay sent to callers while no scheduler is reachable: the duration of a takeover.
const NO_SCHEDULER_RETRY_AFTER: Millis = Millis::secs(1);
/// A job's state is read from the store if the scheduler hasn't replied within this time.
const STORE_FALLBACK_DELAY: Millis = Millis(800);

/// Serves callers' requests.
pub struct Front<P> {
    /// The platform.
    pub platform: Rc<P>,
    /// The latest configuration, if any has been read.
    pub config: watch::Receiver<Option<Rc<Configuration>>>,
    /// The relays to the schedulers, by cell number.
    pub relays: Rc<[Rc<Relay>]>,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The node's clock.
    pub clock: Clock,
    /// Bytes held for callers.
    pub budget: Rc<ByteBudget>,
}

/// Whose request it is, and by when it has to be answered.
struct Caller {
    access: Access,
    received_at: Millis,
    deadline: Millis,
}

struct ApiResponse {
    status: StatusCode,
    body: Bytes,
    retry_after: Option<Millis>,
    reason: &'static str,
}

impl ApiResponse {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            body: Bytes::new(),
            retry_after: None,
            reason,
        }
    }

    /// Returns the response for an outcome that isn't the expected reply.
    const fn without_reply(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Reply(Reply::OtherTenant) => Self::other_tenant(),
            Outcome::NotSent => Self::new(StatusCode::SERVICE_UNAVAILABLE, "no scheduler in reach")
                .retry_after(NO_SCHEDULER_RETRY_AFTER),
            Outcome::Reply(_) | Outcome::NoReply => Self::new(
                StatusCode::GATEWAY_TIMEOUT,
                "not known to be durable in time",
            ),
        }
    }

    const fn other_tenant() -> Self {
        Self::new(StatusCode::FORBIDDEN, "job of another tenant")
    }

    /// Returns the response for a body that wasn't read; the job has not been sent to a scheduler.
    const fn without_body(err: BodyError) -> Self {
        match err {
            BodyError::TooLarge | BodyError::CutOff => {
                Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large or cut off")
            }
            BodyError::Stalled => Self::new(StatusCode::REQUEST_TIMEOUT, "body stalled"),
            BodyError::Late => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "body not complete by the deadline",
            )
            .retry_after(NO_SCHEDULER_RETRY_AFTER),
            BodyError::Budget => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "bytes for callers exhausted",
            )
            .retry_after(Millis::secs(BUDGET_RETRY_AFTER_S)),
        }
    }

    fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    const fn retry_after(mut self, retry_after: Millis) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl<P: Platform> Service for Front<P> {
    async fn handle(&self, request: Request<RequestBody>) -> Response<Body> {
        let received_at = self.clock.now();
        let action = match *request.method() {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            Method::GET => "state",
            _ => "other",
        };
        let path = request.uri().path().to_owned();
        let config = self.config.borrow().clone();
        let version = config.as_ref().map_or(0, |config| config.version);
        let api_response = match config {
            None => ApiResponse::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet")
                .retry_after(NO_SCHEDULER_RETRY_AFTER),
            Some(config) => self.route(&config, request, received_at).await,
        };
        let duration = self.clock.now().since(received_at);
        self.metrics
            .record_request(action, api_response.status.as_u16(), duration);
        if action != "state" || !api_response.status.is_success() {
            log::info!(
                action, path, status = api_response.status.as_u16(), reason = api_response.reason,
                config = version, took_ms = duration.0; "request answered");
        }
        let mut response = json_response(api_response.status, api_response.body);
        if api_response.status == StatusCode::UNAUTHORIZED {
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(retry_after) = api_response.retry_after {
            let seconds = retry_after.0.div_ceil(1000).max(1);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn header_timeout(&self) -> Millis {
        let config = self.config.borrow();
        config.as_ref().map_or(DEFAULT_CALLER_TIMEOUT, |config| {
            config.limits.header_timeout
        })
    }

    fn idle_timeout(&self) -> Millis {
        self.request_limits().idle_timeout
    }

    fn max_head_bytes(&self) -> usize {
        self.request_limits().max_head
    }
}

impl<P: Platform> Front<P> {
    fn request_limits(&self) -> RequestLimits {
        let config = self.config.borrow();
        config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    }

    async fn route(
        &self,
        config: &Configuration,
        request: Request<RequestBody>,
        received_at: Millis,
    ) -> ApiResponse {
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let path = request.uri().path();
        let Some(route) = config.find(host, path) else {
            return ApiResponse::new(StatusCode::NOT_FOUND, "no such queue");
        };
        let access = Access::of(config, route, request.headers());
        if access == Access::Denied {
            return ApiResponse::new(StatusCode::UNAUTHORIZED, "no key or an unknown one");
        }
        let timeout = self
            .platform
            .caller_timeout(request.headers())
            .unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let caller = Caller {
            access,
            received_at,
            deadline: received_at + timeout.min(route.timeout) - RESPONSE_MARGIN,
        };
        let name = &path[route.prefix.len()..];
        if name.is_empty() && request.method() == Method::GET {
            return self.pending(route, caller.deadline).await;
        }
        let id = match name.parse::<JobId>() {
            Ok(id) => id,
            Err(err) => {
                log::info!(fault = err.to_string().as_str(); "malformed job id rejected");
                return ApiResponse::new(StatusCode::BAD_REQUEST, "malformed job id")
                    .body(self.platform.encode_reason(&err.to_string()));
            }
        };
        match *request.method() {
            Method::POST => {
                let max_body = config.limits.max_body;
                self.submit(route, id, request, max_body, &caller).await
            }
            Method::DELETE => self.cancel(id, &caller).await,
            Method::GET => self.state(id, &caller).await,
            _ => ApiResponse::new(StatusCode::METHOD_NOT_ALLOWED, "unknown method"),
        }
    }

    async fn submit(
        &self,
        route: &Route,
        id: JobId,
        request: Request<RequestBody>,
        max_body: usize,
        caller: &Caller,
    ) -> ApiResponse {
        let body = read_body(
            request.into_body(),
            max_body,
            &self.budget,
            self.clock,
            caller.deadline,
        );
        // The bytes are held until the reply, since the job is copied on its way.
        let (body, _bytes) = match body.await {
            Ok(body) => body,
            Err(err) => {
                log::info!(job:% = id, fault:? = err; "failed to read request body");
                return ApiResponse::without_body(err);
            }
        };
        let spec = match self.platform.decode_job(&body) {
            Ok(raw) => JobSpec::try_from(raw).map_err(|err| err.to_string()),
            Err(err) => Err(err.to_string()),
        };
        let spec = match spec {
            Ok(spec) => spec,
            Err(err) => {
                log::info!(job:% = id, fault = err; "malformed job rejected");
                return ApiResponse::new(StatusCode::BAD_REQUEST, "malformed job");
            }
        };
        drop(body);
        let record = JobRecord {
            spec,
            policy: route.policy.clone(),
            arrived: caller.received_at,
            term: 0,
            tenant: caller.access.tenant().into(),
        };
        let request = link::Request::Submit(id, Box::new(record));
        let request = caller.access.request(request);
        match self.relay_for(id).send(&request, caller.deadline).await {
            Outcome::Reply(Reply::Accepted) => ApiResponse::new(StatusCode::OK, "accepted"),
            Outcome::Reply(Reply::Never(reason)) => {
                ApiResponse::new(StatusCode::TOO_MANY_REQUESTS, "job can never run")
                    .body(self.platform.encode_reason(&reason))
            }
            Outcome::Reply(Reply::Refused(retry)) => {
                ApiResponse::new(StatusCode::SERVICE_UNAVAILABLE, "refused by the scheduler")
                    .retry_after(retry)
            }
            other => ApiResponse::without_reply(&other),
        }
    }

    async fn cancel(&self, id: JobId, caller: &Caller) -> ApiResponse {
        let request = caller.access.request(link::Request::Cancel(id));
        match self.relay_for(id).send(&request, caller.deadline).await {
            Outcome::Reply(Reply::Cancelled(true)) => ApiResponse::new(StatusCode::OK, "cancelled"),
            Outcome::Reply(Reply::Cancelled(false)) => {
                ApiResponse::new(StatusCode::GONE, "no such job")
            }
            Outcome::Reply(Reply::Refused(retry)) => {
                ApiResponse::new(StatusCode::SERVICE_UNAVAILABLE, "refused by the scheduler")
                    .retry_after(retry)
            }
            other => ApiResponse::without_reply(&other),
        }
    }

    async fn state(&self, id: JobId, caller: &Caller) -> ApiResponse {
        let scheduler_deadline = caller.deadline.min(self.clock.now() + STORE_FALLBACK_DELAY);
        let request = caller.access.request(link::Request::State(id));
        let state = match self.relay_for(id).send(&request, scheduler_deadline).await {
            Outcome::Reply(Reply::State(state)) => Some(state),
            Outcome::Reply(Reply::OtherTenant) => return ApiResponse::other_tenant(),
            _ => match self.stored_state(id).await {
                Some(Some((_, owner))) if !caller.access.allows(&owner) => {
                    return ApiResponse::other_tenant();
                }
                stored => stored.map(|found| found.map(|(state, _)| state)),
            },
        };
        match state {
            Some(Some(state)) => {
                ApiResponse::new(StatusCode::OK, "state").body(self.platform.encode_state(state))
            }
            Some(None) => ApiResponse::new(StatusCode::GONE, "no such job"),
            None => ApiResponse::new(
                StatusCode::GATEWAY_TIMEOUT,
                "neither scheduler nor store answers",
            ),
        }
    }

    /// Reads a job's state and tenant from the store. Returns none if the store doesn't respond, and
    /// `Some(None)` if there is no such job. The tenant is empty for a job without one.
    async fn stored_state(&self, id: JobId) -> Option<Option<(JobState, CompactString)>> {
        let key = compact_str::format_compact!("{id}");
        let cell = self.cell_of(id);
        let parts = (0..LANES).map(|lane| cell.part(lane));
        let pages = join_all(parts.map(|part| {
            let key = key.clone();
            async move { self.platform.scan(Table::Jobs, &part, &key, 1).await }
        }));
        for page in pages.await {
            let page = page.ok()?;
            if let Some(row) = page.rows.iter().find(|row| row.key == key) {
                return Some(Some(match record::decode::<JobRow>(&row.value)? {
                    JobRow::Open(_) => (JobState::Running, CompactString::default()),
                    JobRow::OpenFor(_, tenant) => (JobState::Running, tenant),
                    JobRow::Ended(end) => (end.state, CompactString::default()),
                    JobRow::EndedFor(end, tenant) => (end.state, tenant),
                }));
            }
        }
        Some(None)
    }

    async fn pending(&self, route: &Route, deadline: Millis) -> ApiResponse {
        let mut total = 0;
        for relay in self.relays.iter() {
            let request = link::Request::Pending(route.name.clone());
            match relay.send(&request, deadline).await {
                Outcome::Reply(Reply::Pending(count)) => total += count,
                _ => {
                    return ApiResponse::new(
                        StatusCode::SERVICE_UNAVAILABLE,
                        "no scheduler in reach",
                    )
                    .retry_after(NO_SCHEDULER_RETRY_AFTER);
                }
            }
        }
        ApiResponse::new(StatusCode::OK, "pending").body(self.platform.encode_pending(total))
    }

    fn cell_of(&self, id: JobId) -> CellNo {
        CellNo::of(id, u16::try_from(self.relays.len()).unwrap_or(1))
    }

    fn relay_for(&self, id: JobId) -> &Relay {
        &self.relays[usize::from(self.cell_of(id).0)]
    }
}
