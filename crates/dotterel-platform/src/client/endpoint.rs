//! An HTTP client for one server address, with a bounded number of connections.

use std::error::Error;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dotterel_kernel::{Millis, NodeId};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

use super::traffic::{CountingConnector, Traffic};
use crate::api;
use crate::error::CallError;

/// How long an idle connection stays in the pool.
const POOL_IDLE_TIMEOUT: Millis = Millis::secs(30);

/// Timeouts and the connection limit of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The timeout for opening a connection.
    pub connect_timeout: Millis,
    /// The timeout for a call, from the moment it has a connection.
    pub call_timeout: Millis,
    /// The maximum number of calls in flight, each on its own connection.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Millis(500),
            call_timeout: Millis(2000),
            max_connections: 64,
        }
    }
}

type HttpClient = Client<CountingConnector, Full<Bytes>>;

/// A client for one server address.
#[derive(Debug)]
pub(super) struct Endpoint {
    addr: SocketAddr,
    caller: HeaderValue,
    pub(super) limits: Limits,
    traffic: Arc<Traffic>,
    permits: Semaphore,
    client: Mutex<HttpClient>,
}

impl Endpoint {
    pub(super) fn new(addr: SocketAddr, caller: &NodeId, limits: Limits) -> Self {
        let caller = HeaderValue::from_str(caller.as_str());
        let caller = caller.unwrap_or(HeaderValue::from_static(""));
        Self::build(addr, caller, limits, Arc::default())
    }

    /// Returns a client for the same address that counts its calls and bytes in `traffic`.
    pub(super) fn with_traffic(&self, traffic: &Arc<Traffic>) -> Self {
        Self::build(self.addr, self.caller.clone(), self.limits, traffic.clone())
    }

    fn build(addr: SocketAddr, caller: HeaderValue, limits: Limits, traffic: Arc<Traffic>) -> Self {
        Self {
            addr,
            caller,
            limits,
            permits: Semaphore::new(limits.max_connections),
            client: Mutex::new(build_client(&limits, &traffic)),
            traffic,
        }
    }

    /// Makes a call with the configured timeouts.
    ///
    /// After a timeout the open connections may be dead, so later calls open new ones.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no connection becomes free or can be opened,
    /// [`CallError::Unavailable`] if the server cannot serve the call, and otherwise
    /// [`CallError::Unknown`].
    pub(super) async fn call<Q, A>(&self, path: &str, args: &Q) -> Result<A, CallError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = api::encode(args);
        let _permit = self.acquire_permit().await?;
        let limit = self.limits.connect_timeout + self.limits.call_timeout;
        match timeout(limit.duration(), self.send(path, body)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.replace_connections();
                Err(CallError::Unknown("no answer in time".into()))
            }
        }
    }

    /// Makes a call without a timeout on the response. The caller must bound it.
    pub(super) async fn call_without_timeout<Q, A>(
        &self,
        path: &str,
        args: &Q,
    ) -> Result<A, CallError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = api::encode(args);
        let _permit = self.acquire_permit().await?;
        self.send(path, body).await
    }

    /// Makes later calls open new connections. Calls in flight keep theirs.
    pub(super) fn replace_connections(&self) {
        let mut current = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        *current = build_client(&self.limits, &self.traffic);
    }

    async fn acquire_permit(&self) -> Result<SemaphorePermit<'_>, CallError> {
        let wait = timeout(self.limits.call_timeout.duration(), self.permits.acquire());
        match wait.await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(CallError::NotSent("all connections are in use".into())),
        }
    }

    async fn send<A: DeserializeOwned>(&self, path: &str, body: Bytes) -> Result<A, CallError> {
        let request = Request::post(format!("http://{}{path}", self.addr))
            .header(api::CALLER_HEADER, self.caller.clone())
            .body(Full::new(body))
            .map_err(|err| CallError::NotSent(err.to_string().into()))?;
        let client = self
            .client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.traffic.record_call();
        let response = client.request(request).await.map_err(|err| {
            if err.is_connect() {
                return CallError::NotSent(error_chain(&err).into());
            }
            unknown(error_chain(&err))
        })?;
        let (head, body) = response.into_parts();
        let body = read_body(&head, body).await?;
        match head.status {
            StatusCode::OK => api::decode(&body).map_err(unknown),
            StatusCode::SERVICE_UNAVAILABLE => {
                let cause = String::from_utf8_lossy(&body);
                Err(CallError::Unavailable(cause.into()))
            }
            status => Err(unknown(status)),
        }
    }
}

/// Reads a body and checks its length against the `Content-Length` header.
///
/// A missing or different length means that the response may be truncated.
async fn read_body(head: &Parts, body: Incoming) -> Result<Bytes, CallError> {
    let content_length = head.headers.get(CONTENT_LENGTH);
    let content_length = content_length.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = body
        .collect()
        .await
        .map_err(|err| unknown(error_chain(&err)))?;
    let body = body.to_bytes();
    if content_length != Some(body.len()) {
        return Err(unknown("the answer has no length or another one"));
    }
    Ok(body)
}

fn build_client(limits: &Limits, traffic: &Arc<Traffic>) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect_timeout.duration()));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT.duration())
        .pool_max_idle_per_host(limits.max_connections)
        .build(CountingConnector::new(connector, traffic.clone()))
}

fn unknown(cause: impl Display) -> CallError {
    CallError::Unknown(cause.to_string().into())
}

/// Formats an error together with its chain of sources.
fn error_chain(err: &dyn Error) -> String {
    let mut text = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        text = format!("{text}: {cause}");
        next = cause.source();
    }
    text
}
