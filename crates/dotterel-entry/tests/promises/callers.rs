//! Callers that send requests to the nodes of a cell and record the outcomes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dotterel_kernel::RequestId;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout of a call, and of the conditions that a scenario waits for.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Timeout of a read of a node's state.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The outcome of a call, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request ran and returned this body.
    Ran(Bytes),
    /// The request did not run, for this reason.
    NotRun(String),
    /// It is unknown whether the request ran.
    Unknown,
    /// The node refused the call without a fate.
    Refused(StatusCode),
    /// The connection could not be opened.
    NotSent,
    /// The connection closed before the response was complete.
    Disconnected(String),
    /// No complete response arrived within [`WAIT_TIMEOUT`].
    TimedOut,
    /// The caller disconnected before the response.
    HungUp,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) node: String,
    pub(crate) class: String,
    /// The number in the body, which identifies the call in the event logs of workers.
    pub(crate) index: u32,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) request: Option<RequestId>,
    /// `None` while the call is in flight.
    pub(crate) outcome: Option<Outcome>,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) class: String,
    pub(crate) run_ms: u64,
    pub(crate) key: Option<String>,
    /// How long the caller waits before it disconnects; `None` waits for the response.
    pub(crate) hang_up_after: Option<Duration>,
}

/// The class whose requests are not repeatable.
pub(crate) const ORDER: &str = "roof-order";

/// Returns a request without an idempotency key.
pub(crate) fn request(class: &str, run_ms: u64) -> RequestSpec {
    RequestSpec {
        class: class.into(),
        run_ms,
        key: None,
        hang_up_after: None,
    }
}

impl RequestSpec {
    /// Sets the idempotency key.
    #[must_use]
    pub(crate) fn key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }
}

/// All calls of a scenario.
#[derive(Clone, Default)]
pub(crate) struct Callers {
    calls: Arc<Mutex<Vec<Call>>>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Callers {
    /// Sends a request in the background; calls with the same key have the same body.
    pub(crate) fn send(&self, node: &str, addr: SocketAddr, spec: &RequestSpec) {
        let (number, call) = self.record(node, spec);
        let (calls, hang_up_after) = (self.calls.clone(), spec.hang_up_after);
        let task = tokio::spawn(async move {
            let limit = hang_up_after.unwrap_or(WAIT_TIMEOUT);
            let (request, outcome) = match timeout(limit, post(addr, &call)).await {
                Ok(response) => response,
                Err(_) if hang_up_after.is_some() => (None, Outcome::HungUp),
                Err(_) => (None, Outcome::TimedOut),
            };
            let mut calls = calls.lock().expect("the lock is not poisoned");
            (calls[number].request, calls[number].outcome) = (request, Some(outcome));
        });
        self.tasks
            .lock()
            .expect("the lock is not poisoned")
            .push(task);
    }

    fn record(&self, node: &str, spec: &RequestSpec) -> (usize, Call) {
        let mut calls = self.calls.lock().expect("the lock is not poisoned");
        let number = calls.len();
        let same_key = |call: &&Call| call.key.is_some() && call.key == spec.key;
        let earlier = calls.iter().find(same_key);
        let next_index = u32::try_from(number).expect("a scenario has few calls");
        let index = earlier.map_or(next_index, |call| call.index);
        let run_ms = spec.run_ms;
        let text =
            format!("{{\"run_ms\": {run_ms}, \"index\": {index}, \"for\": \"caller {index}\"}}");
        let body = earlier.map_or_else(|| Bytes::from(text), |call| call.body.clone());
        let call = Call {
            node: node.into(),
            class: spec.class.clone(),
            index,
            key: spec.key.clone(),
            body,
            request: None,
            outcome: None,
        };
        calls.push(call.clone());
        (number, call)
    }

    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("the lock is not poisoned").clone()
    }

    /// Waits until all calls have ended.
    pub(crate) async fn finish(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("the lock is not poisoned"));
        for task in tasks {
            task.await.expect("a caller does not panic");
        }
    }
}

async fn post(addr: SocketAddr, call: &Call) -> (Option<RequestId>, Outcome) {
    let path = format!("/v1/services/quotes/requests/{}", call.class);
    let key = call.key.as_deref().map(|key| ("idempotency-key", key));
    let headers: Vec<_> = key.into_iter().collect();
    let response = send(addr, Method::POST, &path, &headers, call.body.clone()).await;
    let (status, headers, body) = match response {
        Ok(response) => response,
        Err(outcome) => return (None, outcome),
    };
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let request = header("dotterelrelay-request").and_then(|text| text.parse().ok());
    let reason = header("dotterelrelay-reason").unwrap_or_default();
    let outcome = match header("dotterelrelay-fate") {
        Some("ran") => Outcome::Ran(body),
        Some("not-run") => Outcome::NotRun(reason.into()),
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Refused(status),
    };
    (request, outcome)
}

/// A complete response.
type Response = (StatusCode, HeaderMap, Bytes);

/// Sends a request over a new connection and reads the complete response.
pub(crate) async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response, Outcome> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body))
        .expect("the request is well formed");
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .build_http();
    let response = client.request(request).await.map_err(|err| {
        if err.is_connect() {
            return Outcome::NotSent;
        }
        Outcome::Disconnected(format!("{err:?}"))
    })?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await;
    let body = body.map_err(|err| Outcome::Disconnected(format!("{err:?}")))?;
    Ok((parts.status, parts.headers, body.to_bytes()))
}

/// Reads JSON from a node; `None` without a valid response within [`STATUS_TIMEOUT`].
pub(crate) async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let call = send(addr, Method::GET, path, &[], Bytes::new());
    let (status, _, body) = timeout(STATUS_TIMEOUT, call).await.ok()?.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}
