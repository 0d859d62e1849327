//! HTTP client with pooled connections. Its errors state whether the request may have been
//! executed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::Millis;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum number of idle connections to one address; further ones are closed after use.
const MAX_IDLE_PER_ADDRESS: usize = 3;
/// Timeout for connecting: three round trips between the farthest regions. Waiting longer for a
/// server whose accept queue is full isn't worthwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response body: a page holds 1 MB of values and their keys.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request didn't reach the server.
    NotSent,
    /// The request may have reached the server: the connection ended or the timeout expired before
    /// the response.
    NoResponse,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A request and its timeout.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Host and port.
    pub address: &'a str,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// An additional header.
    pub header: Option<(&'static str, &'a str)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
    /// Timeout of the whole call.
    pub timeout: Millis,
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that is not pooled. All requests on it reach the process that accepted it, or none.
#[derive(Debug)]
pub struct Connection(Sender);

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection isn't established in time.
    pub async fn open(address: &str) -> Result<Self, CallError> {
        connect(address).await.map(Self)
    }

    /// Returns true once the connection can't carry further requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends a request and returns the complete response. After an error, the connection must not
    /// be used again.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been executed.
    pub async fn call(&mut self, call: Call<'_>) -> Result<Reply, CallError> {
        let limit = call.timeout.duration();
        let mut sent = false;
        let exchange = async {
            if self.0.ready().await.is_err() {
                return Err(CallError::NotSent);
            }
            let request = build_request(call)?;
            sent = true;
            match self.0.try_send_request(request).await {
                Ok(response) => read_reply(response).await,
                Err(mut err) => match err.take_message() {
                    Some(_) => Err(CallError::NotSent),
                    None => Err(CallError::NoResponse),
                },
            }
        };
        match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) if sent => Err(CallError::NoResponse),
            Err(_) => Err(CallError::NotSent),
        }
    }
}

/// A client that keeps idle connections by address.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<CompactString, Vec<Sender>>>,
}

impl Client {
    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been executed.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, CallError> {
        let limit = call.timeout.duration();
        let mut sent = false;
        let address = call.address;
        let outcome = timeout(limit, self.exchange(call, &mut sent)).await;
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if sent => {
                // Whatever silenced this connection may have silenced the others.
                self.idle.borrow_mut().remove(address);
                Err(CallError::NoResponse)
            }
            Err(_) => Err(CallError::NotSent),
        }
    }

    async fn exchange(&self, call: Call<'_>, sent: &mut bool) -> Result<Reply, CallError> {
        let address = call.address;
        let mut request = build_request(call)?;
        loop {
            let (mut sender, reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            if sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Err(CallError::NotSent);
            }
            *sent = true;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let reply = read_reply(response).await?;
                    self.store_idle(address, sender);
                    return Ok(reply);
                }
                Err(mut err) => match err.take_message() {
                    // The server may have closed the idle connection in the meantime.
                    Some(unsent) if reused => {
                        *sent = false;
                        request = unsent;
                    }
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::NoResponse),
                },
            }
        }
    }

    fn take_idle(&self, address: &str) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(sender) = connections.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn store_idle(&self, address: &str, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address.into()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(sender);
        }
    }
}

/// Builds a request. One whose path or header can't be sent is an error: without the header, it might
/// be accepted by a server that it isn't meant for.
fn build_request(call: Call<'_>) -> Result<Request<Full<Bytes>>, CallError> {
    let empty = call.body.is_empty();
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().map_err(|_| CallError::NotSent)?;
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(call.address) {
        headers.insert(header::HOST, host);
    }
    if !empty {
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
    }
    if let Some((name, value)) = call.header {
        let value = HeaderValue::from_str(value).map_err(|_| CallError::NotSent)?;
        headers.insert(name, value);
    }
    Ok(request)
}

async fn read_reply(response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    match body {
        Ok(body) => Ok(Reply {
            status,
            body: body.to_bytes(),
        }),
        Err(_) => Err(CallError::NoResponse),
    }
}

async fn connect(address: &str) -> Result<Sender, CallError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else {
        return Err(CallError::NotSent);
    };
    if stream.set_nodelay(true).is_err() {
        return Err(CallError::NotSent);
    }
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(CallError::NotSent);
    };
    tokio::task::spawn_local(async move {
        // The callers see each failed exchange, so the error of the connection is redundant.
        let _ = connection.await;
    });
    Ok(sender)
}
