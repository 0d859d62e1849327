//! The HTTP client of an entry node.

use std::time::Duration;

use bytes::Bytes;
use dotterel_kernel::ErrorBody;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An HTTP client of one entry node.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    entry: String,
    timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Returns a client of the node at `entry`, an IP address and port.
    ///
    /// The timeout bounds each call.
    #[must_use]
    pub fn new(entry: &str, timeout_ms: u64) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self {
            http,
            entry: entry.to_owned(),
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Makes a GET request.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] without a complete response and
    /// [`CommandError::Refused`] for any status but a success.
    pub async fn get(&self, path: &str) -> Result<Reply, CommandError> {
        self.call(Method::GET, path, &[], Bytes::new())
            .await?
            .error_for_status()
    }

    /// Makes a GET request and parses the JSON body of the response.
    ///
    /// # Errors
    ///
    /// As for [`Client::get`]. An invalid body is a [`CommandError::Unreachable`].
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let reply = self.get(path).await?;
        serde_json::from_slice(&reply.body)
            .map_err(|err| CommandError::Unreachable(format!("{path}: invalid response: {err}")))
    }

    /// Makes a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unreachable`] without a complete response.
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
            .map_err(|err| CommandError::Usage(format!("{path}: {err}")))?;
        let response = tokio::time::timeout(self.timeout, self.send(request)).await;
        response.map_err(|_| self.unreachable(&"timeout"))?
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, CommandError> {
        let response = self
            .http
            .request(request)
            .await
            .map_err(|err| self.unreachable(&err))?;
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = collected.map_err(|err| self.unreachable(&err))?.to_bytes();
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
    /// Returns the reply if its status is a success.
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

    /// Returns the error in the body, or one made from the status if the body holds none.
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
