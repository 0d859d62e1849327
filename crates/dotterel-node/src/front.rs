//! Callers' requests.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use dotterel_cell::record::{self, JobRow};
use dotterel_cell::{JobId, JobRecord, JobSpec, JobState};
use dotterel_kernel::{Clock, Millis};
use futures_util::future::join_all;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::election::LANES;
use crate::http::{Body, Service, json_response};
use crate::link::{self, CellNo, Reply};
use crate::metrics::Metrics;
use crate::platform::{Platform, Table};
use crate::routes::{Configuration, Route};

mod relay;

pub use relay::{Outcome, Relay};

/// Callers that don't say how long they wait are taken to wait this long; the platform's clients
/// usually do.
const PATIENCE: Millis = Millis::secs(3);
/// The answer has to reach the caller before its deadline: a way across regions, and the write.
const ANSWER_MARGIN: Millis = Millis(120);
/// When callers come back while no scheduler is in reach: as long as a take-over takes.
const NO_SCHEDULER_RETRY: Millis = Millis::secs(1);
/// A question about a job goes to the store when the scheduler hasn't answered for so long.
const ASK_STORE_AFTER: Millis = Millis(800);

/// Answers callers.
pub struct Front<P> {
    /// The platform.
    pub platform: Rc<P>,
    /// The newest configuration seen, if any.
    pub config: Rc<RefCell<Option<Rc<Configuration>>>>,
    /// Links to the schedulers, by cell.
    pub cells: Rc<[Rc<Relay>]>,
    /// What the process counts.
    pub metrics: Rc<Metrics>,
    /// The node's clock.
    pub clock: Clock,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
    retry: Option<Millis>,
    reason: &'static str,
}

impl Answer {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            body: Bytes::new(),
            retry: None,
            reason,
        }
    }

    /// Tells what a request without a fitting reply has come to.
    const fn unanswered(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::NotSent => Self::new(StatusCode::SERVICE_UNAVAILABLE, "no scheduler in reach")
                .retry(NO_SCHEDULER_RETRY),
            Outcome::Reply(_) | Outcome::NoReply => Self::new(
                StatusCode::GATEWAY_TIMEOUT,
                "not known to be durable in time",
            ),
        }
    }

    fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    const fn retry(mut self, retry: Millis) -> Self {
        self.retry = Some(retry);
        self
    }
}

impl<P: Platform> Service for Front<P> {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let began = self.clock.now();
        let action = match *request.method() {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            Method::GET => "state",
            _ => "other",
        };
        let path = request.uri().path().to_owned();
        let config = self.config.borrow().clone();
        let version = config.as_ref().map_or(0, |config| config.version);
        let outcome = match config {
            None => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet")
                .retry(NO_SCHEDULER_RETRY),
            Some(config) => self.route(&config, request, began).await,
        };
        let took = self.clock.now().since(began);
        self.metrics.request(action, outcome.status.as_u16(), took);
        if action != "state" || !outcome.status.is_success() {
            log::info!(
                action, path, status = outcome.status.as_u16(), reason = outcome.reason,
                config = version, took_ms = took.0; "request answered");
        }
        let mut response = json_response(outcome.status, outcome.body);
        if let Some(retry) = outcome.retry {
            let seconds = retry.0.div_ceil(1000).max(1);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn header_timeout(&self) -> Millis {
        let config = self.config.borrow();
        config
            .as_ref()
            .map_or(PATIENCE, |config| config.limits.header_timeout)
    }
}

impl<P: Platform> Front<P> {
    async fn route(
        &self,
        config: &Configuration,
        request: Request<Incoming>,
        began: Millis,
    ) -> Answer {
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let path = request.uri().path();
        let Some(route) = config.find(host, path) else {
            return Answer::new(StatusCode::NOT_FOUND, "no such queue");
        };
        let patience = self
            .platform
            .caller_timeout(request.headers())
            .unwrap_or(PATIENCE);
        let deadline = began + patience.min(route.timeout) - ANSWER_MARGIN;
        let name = &path[route.prefix.len()..];
        if name.is_empty() && request.method() == Method::GET {
            return self.pending(route, deadline).await;
        }
        let Ok(id) = name.parse::<JobId>() else {
            return Answer::new(StatusCode::BAD_REQUEST, "malformed job id");
        };
        match *request.method() {
            Method::POST => {
                let bound = config.limits.max_body;
                self.submit(route, id, request, bound, began, deadline)
                    .await
            }
            Method::DELETE => self.cancel(id, deadline).await,
            Method::GET => self.state(id, deadline).await,
            _ => Answer::new(StatusCode::METHOD_NOT_ALLOWED, "unknown method"),
        }
    }

    async fn submit(
        &self,
        route: &Route,
        id: JobId,
        request: Request<Incoming>,
        bound: usize,
        began: Millis,
        deadline: Millis,
    ) -> Answer {
        let body = match Limited::new(request.into_body(), bound).collect().await {
            Ok(body) => body.to_bytes(),
            Err(fault) => {
                log::info!(job:% = id, fault:% = fault; "body not read");
                return Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large or cut off");
            }
        };
        let spec = match self.platform.decode_job(&body) {
            Ok(raw) => JobSpec::try_from(raw).map_err(|fault| fault.to_string()),
            Err(fault) => Err(fault.to_string()),
        };
        let spec = match spec {
            Ok(spec) => spec,
            Err(fault) => {
                log::info!(job:% = id, fault; "job refused as malformed");
                return Answer::new(StatusCode::BAD_REQUEST, "malformed job");
            }
        };
        let record = JobRecord {
            spec,
            policy: route.policy.clone(),
            arrived: began,
            term: 0,
        };
        let ask = link::Request::Submit(id, Box::new(record));
        match self.relay(id).ask(&ask, deadline).await {
            Outcome::Reply(Reply::Accepted) => Answer::new(StatusCode::OK, "accepted"),
            Outcome::Reply(Reply::Refused(retry)) => {
                Answer::new(StatusCode::SERVICE_UNAVAILABLE, "refused by the scheduler")
                    .retry(retry)
            }
            other => Answer::unanswered(&other),
        }
    }

    async fn cancel(&self, id: JobId, deadline: Millis) -> Answer {
        match self
            .relay(id)
            .ask(&link::Request::Cancel(id), deadline)
            .await
        {
            Outcome::Reply(Reply::Cancelled(true)) => Answer::new(StatusCode::OK, "cancelled"),
            Outcome::Reply(Reply::Cancelled(false)) => Answer::new(StatusCode::GONE, "no such job"),
            other => Answer::unanswered(&other),
        }
    }

    async fn state(&self, id: JobId, deadline: Millis) -> Answer {
        let soon = deadline.min(self.clock.now() + ASK_STORE_AFTER);
        let asked = self.relay(id).ask(&link::Request::State(id), soon).await;
        let state = match asked {
            Outcome::Reply(Reply::State(state)) => Some(state),
            _ => self.stored_state(id).await,
        };
        match state {
            Some(Some(state)) => {
                Answer::new(StatusCode::OK, "state").body(self.platform.encode_state(state))
            }
            Some(None) => Answer::new(StatusCode::GONE, "no such job"),
            None => Answer::new(
                StatusCode::GATEWAY_TIMEOUT,
                "neither scheduler nor store answers",
            ),
        }
    }

    /// Reads a job's state from the store; none when the store doesn't answer.
    async fn stored_state(&self, id: JobId) -> Option<Option<JobState>> {
        let key = compact_str::format_compact!("{id}");
        let cell = self.cell(id);
        let parts = (0..LANES).map(|lane| cell.part(lane));
        let pages = join_all(parts.map(|part| {
            let key = key.clone();
            async move { self.platform.scan(Table::Jobs, &part, &key, 1).await }
        }));
        for page in pages.await {
            let page = page.ok()?;
            if let Some(row) = page.rows.iter().find(|row| row.key == key) {
                return match record::decode::<JobRow>(&row.value)? {
                    JobRow::Open(_) => Some(Some(JobState::Running)),
                    JobRow::Ended(end) => Some(Some(end.state)),
                };
            }
        }
        Some(None)
    }

    async fn pending(&self, route: &Route, deadline: Millis) -> Answer {
        let mut sum = 0;
        for relay in self.cells.iter() {
            let ask = link::Request::Pending(route.name.clone());
            match relay.ask(&ask, deadline).await {
                Outcome::Reply(Reply::Pending(count)) => sum += count,
                _ => {
                    return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no scheduler in reach")
                        .retry(NO_SCHEDULER_RETRY);
                }
            }
        }
        Answer::new(StatusCode::OK, "pending").body(self.platform.encode_pending(sum))
    }

    fn cell(&self, id: JobId) -> CellNo {
        CellNo::of(id, u16::try_from(self.cells.len()).unwrap_or(1))
    }

    fn relay(&self, id: JobId) -> &Relay {
        &self.cells[usize::from(self.cell(id).0)]
    }
}
