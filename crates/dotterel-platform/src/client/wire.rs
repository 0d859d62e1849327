//! One HTTP endpoint with a bounded number of connections.

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

use super::traffic::{Counted, Traffic};
use crate::api;
use crate::error::CallError;

/// How long an unused connection is kept.
const IDLE: Millis = Millis::secs(30);

/// Bounds on the use of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a connection may take to open.
    pub connect_timeout: Millis,
    /// How long a call may take, from the moment it has a connection.
    pub call_timeout: Millis,
    /// How many connections may be open at once.
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

type Connections = Client<Counted, Full<Bytes>>;

/// The way to one endpoint.
#[derive(Debug)]
pub(super) struct Wire {
    addr: SocketAddr,
    caller: HeaderValue,
    pub(super) limits: Limits,
    traffic: Arc<Traffic>,
    permits: Semaphore,
    connections: Mutex<Connections>,
}

impl Wire {
    pub(super) fn new(addr: SocketAddr, caller: &NodeId, limits: Limits) -> Self {
        let caller = HeaderValue::from_str(caller.as_str());
        let caller = caller.unwrap_or(HeaderValue::from_static(""));
        Self::open(addr, caller, limits, Arc::default())
    }

    /// Returns the way to the same endpoint, with its bytes counted in `traffic`.
    pub(super) fn with_traffic(&self, traffic: &Arc<Traffic>) -> Self {
        Self::open(self.addr, self.caller.clone(), self.limits, traffic.clone())
    }

    fn open(addr: SocketAddr, caller: HeaderValue, limits: Limits, traffic: Arc<Traffic>) -> Self {
        Self {
            addr,
            caller,
            limits,
            permits: Semaphore::new(limits.max_connections),
            connections: Mutex::new(connections(&limits, &traffic)),
            traffic,
        }
    }

    /// Makes a call that is answered quickly or not at all.
    ///
    /// When no answer comes in time, the open connections are suspected to be silent, and the
    /// next calls use new ones.
    pub(super) async fn call<Q, A>(&self, path: &str, ask: &Q) -> Result<A, CallError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = api::encode(ask);
        let _permit = self.permit().await?;
        let limit = self.limits.connect_timeout + self.limits.call_timeout;
        match timeout(limit.duration(), self.exchange(path, body)).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.replace_connections();
                Err(CallError::Unknown("no answer in time".into()))
            }
        }
    }

    /// Makes a call that may take any time; the caller bounds it.
    pub(super) async fn call_unbounded<Q, A>(&self, path: &str, ask: &Q) -> Result<A, CallError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let body = api::encode(ask);
        let _permit = self.permit().await?;
        self.exchange(path, body).await
    }

    /// Makes the next calls open new connections; calls under way keep theirs.
    pub(super) fn replace_connections(&self) {
        let mut current = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = connections(&self.limits, &self.traffic);
    }

    async fn permit(&self) -> Result<SemaphorePermit<'_>, CallError> {
        let wait = timeout(self.limits.call_timeout.duration(), self.permits.acquire());
        match wait.await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(CallError::NotSent("all connections are in use".into())),
        }
    }

    async fn exchange<A: DeserializeOwned>(&self, path: &str, body: Bytes) -> Result<A, CallError> {
        let request = Request::post(format!("http://{}{path}", self.addr))
            .header(api::CALLER_HEADER, self.caller.clone())
            .body(Full::new(body))
            .map_err(|fault| CallError::NotSent(fault.to_string().into()))?;
        let client = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.traffic.call();
        let answer = client.request(request).await.map_err(|fault| {
            if fault.is_connect() {
                return CallError::NotSent(chain(&fault).into());
            }
            unknown(chain(&fault))
        })?;
        let (head, body) = answer.into_parts();
        let body = whole(&head, body).await?;
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

/// Reads a body and checks it against the announced length.
async fn whole(head: &Parts, body: Incoming) -> Result<Bytes, CallError> {
    let announced = head.headers.get(CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = body
        .collect()
        .await
        .map_err(|fault| unknown(chain(&fault)))?;
    let body = body.to_bytes();
    if announced != Some(body.len()) {
        return Err(unknown("the answer has no length or another one"));
    }
    Ok(body)
}

fn connections(limits: &Limits, traffic: &Arc<Traffic>) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect_timeout.duration()));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE.duration())
        .pool_max_idle_per_host(limits.max_connections)
        .build(Counted::new(connector, traffic.clone()))
}

fn unknown(cause: impl Display) -> CallError {
    CallError::Unknown(cause.to_string().into())
}

/// Writes an error together with its causes.
fn chain(fault: &dyn Error) -> String {
    let mut text = fault.to_string();
    let mut next = fault.source();
    while let Some(cause) = next {
        text = format!("{text}: {cause}");
        next = cause.source();
    }
    text
}
