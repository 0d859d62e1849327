//! An HTTP client with kept connections and answers typed by what may have happened.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::Millis;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Kept connections to one address; further ones are closed after use.
const KEPT_MAX: usize = 3;
/// Time to connect: three round trips between the farthest regions, and the wait of a full queue
/// of new connections is longer than any answer is worth.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes of an answer at most: a page of rows is 1 MB of values and their names.
const REPLY_MAX: usize = 8 << 20;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request did not reach the server.
    NotSent,
    /// It may have: the connection ended or the time ran out before the answer.
    NoResponse,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where to.
    pub address: &'a str,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// A header beside the usual ones.
    pub header: Option<(&'static str, &'a str)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
    /// Time for the whole call.
    pub timeout: Millis,
}

type Sender = SendRequest<Full<Bytes>>;

/// Keeps connections by address.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<HashMap<CompactString, Vec<Sender>>>,
}

impl Client {
    /// Sends a call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have been carried out.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, CallError> {
        let span = call.timeout.duration();
        let mut sent = false;
        let outcome = timeout(span, self.exchange(call, &mut sent)).await;
        match outcome {
            Ok(outcome) => outcome,
            Err(_) if sent => Err(CallError::NoResponse),
            Err(_) => Err(CallError::NotSent),
        }
    }

    async fn exchange(&self, call: Call<'_>, sent: &mut bool) -> Result<Reply, CallError> {
        let address = call.address;
        let mut request = request(call);
        loop {
            let (mut sender, kept) = match self.take(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await?, false),
            };
            if sender.ready().await.is_err() {
                if kept {
                    continue;
                }
                return Err(CallError::NotSent);
            }
            *sent = true;
            match sender.try_send_request(request).await {
                Ok(reply) => {
                    let status = reply.status();
                    let body = Limited::new(reply.into_body(), REPLY_MAX).collect().await;
                    let Ok(body) = body else {
                        return Err(CallError::NoResponse);
                    };
                    self.keep(address, sender);
                    return Ok(Reply {
                        status,
                        body: body.to_bytes(),
                    });
                }
                Err(mut fault) => match fault.take_message() {
                    // A kept connection may have been closed by the server meanwhile.
                    Some(unsent) if kept => {
                        *sent = false;
                        request = unsent;
                    }
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::NoResponse),
                },
            }
        }
    }

    fn take(&self, address: &str) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(address)?;
        while let Some(sender) = kept.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: &str, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address.into()).or_default();
        if kept.len() < KEPT_MAX {
            kept.push(sender);
        }
    }
}

fn request(call: Call<'_>) -> Request<Full<Bytes>> {
    let empty = call.body.is_empty();
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().unwrap_or_default();
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
    if let Some((name, value)) = call.header
        && let Ok(value) = HeaderValue::from_str(value)
    {
        headers.insert(name, value);
    }
    request
}

async fn connect(address: &str) -> Result<Sender, CallError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else {
        return Err(CallError::NotSent);
    };
    if stream.set_nodelay(true).is_err() {
        return Err(CallError::NotSent);
    }
    let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return Err(CallError::NotSent);
    };
    tokio::task::spawn_local(async move {
        // The callers see each failed exchange; the connection's own end says nothing more.
        let _ = driver.await;
    });
    Ok(sender)
}
