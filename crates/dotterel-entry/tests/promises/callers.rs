//! Callers of the cell and what they were told.

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

/// The longest that a caller waits for an answer.
pub(crate) const PATIENCE: Duration = Duration::from_secs(40);

/// The longest that a look at a node's state may take.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// The request ran, with this answer.
    Ran(Bytes),
    /// It did not run, for this reason.
    NotRun(String),
    /// Its outcome is unknown.
    Unknown,
    /// It was refused before it became a request.
    Refused(StatusCode),
    /// No connection was made.
    NotSent,
    /// The connection ended before a whole answer.
    Broken(String),
    /// No answer came in time.
    Silence,
    /// The caller hung up first.
    HungUp,
}

/// One call and its outcome; none while it is open.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) node: String,
    pub(crate) class: String,
    /// The number in the body, by which workers' logs name the call.
    pub(crate) index: u32,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) request: Option<RequestId>,
    pub(crate) told: Option<Told>,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) class: String,
    pub(crate) run_ms: u64,
    pub(crate) key: Option<String>,
    /// When the caller hangs up without an answer.
    pub(crate) patience: Option<Duration>,
}

/// The class of unrepeatable requests.
pub(crate) const ORDER: &str = "roof-order";

/// Returns a request without a key whose caller waits.
pub(crate) fn ask(class: &str, run_ms: u64) -> Ask {
    Ask {
        class: class.into(),
        run_ms,
        key: None,
        patience: None,
    }
}

impl Ask {
    /// Gives the request an idempotency key.
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
    /// Sends a request; calls under one key have one body.
    pub(crate) fn send(&self, node: &str, addr: SocketAddr, ask: &Ask) {
        let (number, call) = self.note(node, ask);
        let (calls, patience) = (self.calls.clone(), ask.patience);
        let task = tokio::spawn(async move {
            let limit = patience.unwrap_or(PATIENCE);
            let (request, told) = match timeout(limit, post(addr, &call)).await {
                Ok(answer) => answer,
                Err(_) if patience.is_some() => (None, Told::HungUp),
                Err(_) => (None, Told::Silence),
            };
            let mut calls = calls.lock().expect("no user panics");
            (calls[number].request, calls[number].told) = (request, Some(told));
        });
        self.tasks.lock().expect("no user panics").push(task);
    }

    fn note(&self, node: &str, ask: &Ask) -> (usize, Call) {
        let mut calls = self.calls.lock().expect("no user panics");
        let number = calls.len();
        let same = |call: &&Call| call.key.is_some() && call.key == ask.key;
        let earlier = calls.iter().find(same);
        let fresh = u32::try_from(number).expect("a scenario has few calls");
        let index = earlier.map_or(fresh, |call| call.index);
        let run = ask.run_ms;
        let text =
            format!("{{\"run_ms\": {run}, \"index\": {index}, \"for\": \"caller {index}\"}}");
        let body = earlier.map_or_else(|| Bytes::from(text), |call| call.body.clone());
        let call = Call {
            node: node.into(),
            class: ask.class.clone(),
            index,
            key: ask.key.clone(),
            body,
            request: None,
            told: None,
        };
        calls.push(call.clone());
        (number, call)
    }

    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no user panics").clone()
    }

    /// Waits until every call has ended.
    pub(crate) async fn finish(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("no user panics"));
        for task in tasks {
            task.await.expect("a caller does not panic");
        }
    }
}

async fn post(addr: SocketAddr, call: &Call) -> (Option<RequestId>, Told) {
    let path = format!("/v1/services/quotes/requests/{}", call.class);
    let key = call.key.as_deref().map(|key| ("idempotency-key", key));
    let headers: Vec<_> = key.into_iter().collect();
    let answer = send(addr, Method::POST, &path, &headers, call.body.clone()).await;
    let (status, headers, body) = match answer {
        Ok(answer) => answer,
        Err(told) => return (None, told),
    };
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let request = header("dotterelrelay-request").and_then(|text| text.parse().ok());
    let reason = header("dotterelrelay-reason").unwrap_or_default();
    let told = match header("dotterelrelay-fate") {
        Some("ran") => Told::Ran(body),
        Some("not-run") => Told::NotRun(reason.into()),
        Some("unknown") => Told::Unknown,
        _ => Told::Refused(status),
    };
    (request, told)
}

type Whole = (StatusCode, HeaderMap, Bytes);

/// Sends a call on a connection of its own and reads the whole answer.
pub(crate) async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Whole, Told> {
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
    let answer = client.request(request).await.map_err(|fault| {
        if fault.is_connect() {
            return Told::NotSent;
        }
        Told::Broken(format!("{fault:?}"))
    })?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await;
    let body = body.map_err(|fault| Told::Broken(format!("{fault:?}")))?;
    Ok((head.status, head.headers, body.to_bytes()))
}

/// Reads JSON from a node; none when there is no good answer at once.
pub(crate) async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let call = send(addr, Method::GET, path, &[], Bytes::new());
    let (status, _, body) = timeout(LOOK_TIMEOUT, call).await.ok()?.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}
