//! HTTP calls to an entry node.

use std::time::Duration;

use bytes::Bytes;
use dotterel_kernel::ErrorBody;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

const ANSWER_LIMIT: usize = 64 << 20;

/// A client of one entry node.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    entry: String,
    timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Returns a client of the node at `entry`, an IP address and port.
    #[must_use]
    pub fn new(entry: &str, timeout_ms: u64) -> Self {
        let pool = Pool::builder(TokioExecutor::new()).build_http();
        Self {
            pool,
            entry: entry.to_owned(),
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] without a whole answer and [`CommandError::Refused`] for a 4xx or 5xx.
    pub async fn get(&self, path: &str) -> Result<Reply, CommandError> {
        self.call(Method::GET, path, &[], Bytes::new())
            .await?
            .error_for_status()
    }

    /// Reads a path and parses its JSON body.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`]; a body of another shape is [`CommandError::Unreachable`].
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let reply = self.get(path).await?;
        serde_json::from_slice(&reply.body).map_err(|fault| {
            CommandError::Unreachable(format!("{path}: answer not understood: {fault}"))
        })
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] without a whole answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Reply, CommandError> {
        let mut request = Request::builder().method(method).uri(self.uri(path));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|fault| CommandError::Usage(format!("{path}: {fault}")))?;
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        answer.map_err(|_| self.unreachable(&"timeout"))?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, CommandError> {
        let answer = self
            .pool
            .request(request)
            .await
            .map_err(|fault| self.unreachable(&fault))?;
        let (head, body) = answer.into_parts();
        let whole = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = whole.map_err(|fault| self.unreachable(&fault))?.to_bytes();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry)
    }

    fn unreachable(&self, cause: &dyn std::fmt::Display) -> CommandError {
        CommandError::Unreachable(format!("entry node {}: {cause}", self.entry))
    }
}

impl Reply {
    /// Returns the reply itself if it is a success.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`] for any other status.
    pub fn error_for_status(self) -> Result<Self, CommandError> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(CommandError::Refused(self.error_body()))
    }

    /// Returns the error that a refused call carries.
    #[must_use]
    pub fn error_body(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| ErrorBody {
            field: "status".into(),
            reason: self.status.as_str().into(),
            allowed: None,
            revision: None,
        })
    }

    /// Returns the revision in the `ETag` header.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        let tag = self.headers.get(http::header::ETAG)?.to_str().ok()?;
        tag.trim_matches('"').parse().ok()
    }
}
