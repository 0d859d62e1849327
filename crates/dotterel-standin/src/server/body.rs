//! Replies of the servers, including truncated ones.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use dotterel_platform::{CallError, api};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame};
use serde::Serialize;

/// The reply to a call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// A complete response.
    Complete(StatusCode, &'static str, Bytes),
    /// A successful response that ends after half of this body.
    Truncated(Bytes),
    /// The connection is closed without a response.
    CloseConnection,
}

impl Reply {
    /// Returns the reply to a call of a platform trait's method.
    pub(crate) fn from_result<T: Serialize>(outcome: Result<T, CallError>) -> Self {
        match outcome {
            Ok(value) => Self::ok(api::encode(&value)),
            Err(CallError::Unavailable(cause)) => Self::text(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from(cause.to_string()),
            ),
            Err(_) => Self::CloseConnection,
        }
    }

    /// Returns a JSON reply of the administrator's interface.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec_pretty(value) {
            Ok(body) => Self::Complete(StatusCode::OK, "application/json", body.into()),
            Err(err) => Self::bad_request(err.to_string()),
        }
    }

    pub(crate) fn bad_request(cause: impl Into<String>) -> Self {
        Self::text(StatusCode::BAD_REQUEST, Bytes::from(cause.into()))
    }

    pub(crate) fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, Bytes::from_static(b"no such path"))
    }

    /// Truncates a successful reply if `truncate` is set.
    pub(crate) fn truncated(self, truncate: bool) -> Self {
        match self {
            Self::Complete(StatusCode::OK, _, body) if truncate => Self::Truncated(body),
            other => other,
        }
    }

    fn ok(body: Bytes) -> Self {
        Self::Complete(StatusCode::OK, "application/octet-stream", body)
    }

    fn text(status: StatusCode, body: Bytes) -> Self {
        Self::Complete(status, "text/plain; charset=utf-8", body)
    }

    /// Returns the HTTP response; on an error the server closes the connection.
    pub(crate) fn response(self) -> io::Result<Response<ReplyBody>> {
        let (status, content_type, body, is_partial) = match self {
            Self::Complete(status, content_type, body) => (status, content_type, body, false),
            Self::Truncated(body) => (StatusCode::OK, "application/octet-stream", body, true),
            Self::CloseConnection => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        let length = body.len();
        let sent = if is_partial {
            body.slice(..length / 2)
        } else {
            body
        };
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, content_type)
            .header(CONTENT_LENGTH, length)
            .body(ReplyBody {
                remaining: Some(sent),
                ends_early: is_partial,
            })
            .map_err(io::Error::other)
    }
}

/// A body that may end before its announced content length.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    remaining: Option<Bytes>,
    ends_early: bool,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.remaining.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let error = self
            .ends_early
            .then(|| io::ErrorKind::ConnectionAborted.into());
        Poll::Ready(error.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_none() && !self.ends_early
    }
}
