//! Replies of the servers, whole or not.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use dotterel_platform::{CallError, api};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame};
use serde::Serialize;

/// What becomes of a call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Whole(StatusCode, &'static str, Bytes),
    /// The first half of an answer.
    Half(Bytes),
    /// The connection ends without an answer.
    HangUp,
}

impl Reply {
    /// Returns the reply to a call of a trait's method.
    pub(crate) fn of<T: Serialize>(outcome: Result<T, CallError>) -> Self {
        match outcome {
            Ok(value) => Self::ok(api::encode(&value)),
            Err(CallError::Unavailable(cause)) => Self::text(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from(cause.to_string()),
            ),
            Err(_) => Self::HangUp,
        }
    }

    /// Returns the reply to an administrator.
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        match serde_json::to_vec_pretty(value) {
            Ok(body) => Self::Whole(StatusCode::OK, "application/json", body.into()),
            Err(fault) => Self::refused(fault.to_string()),
        }
    }

    pub(crate) fn refused(cause: impl Into<String>) -> Self {
        Self::text(StatusCode::BAD_REQUEST, Bytes::from(cause.into()))
    }

    pub(crate) fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, Bytes::from_static(b"no such path"))
    }

    /// Cuts a whole answer in half when asked to.
    pub(crate) fn truncated(self, truncate: bool) -> Self {
        match self {
            Self::Whole(StatusCode::OK, _, body) if truncate => Self::Half(body),
            other => other,
        }
    }

    fn ok(body: Bytes) -> Self {
        Self::Whole(StatusCode::OK, "application/octet-stream", body)
    }

    fn text(status: StatusCode, body: Bytes) -> Self {
        Self::Whole(status, "text/plain; charset=utf-8", body)
    }

    /// Returns the response; an error makes the server close the connection.
    pub(crate) fn response(self) -> io::Result<Response<ReplyBody>> {
        let (status, kind, body, half) = match self {
            Self::Whole(status, kind, body) => (status, kind, body, false),
            Self::Half(body) => (StatusCode::OK, "application/octet-stream", body, true),
            Self::HangUp => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        let length = body.len();
        let sent = if half { body.slice(..length / 2) } else { body };
        Response::builder()
            .status(status)
            .header(CONTENT_TYPE, kind)
            .header(CONTENT_LENGTH, length)
            .body(ReplyBody {
                left: Some(sent),
                breaks: half,
            })
            .map_err(io::Error::other)
    }
}

/// A body that may break off before its announced end.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    left: Option<Bytes>,
    breaks: bool,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.left.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let broken = self.breaks.then(|| io::ErrorKind::ConnectionAborted.into());
        Poll::Ready(broken.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_none() && !self.breaks
    }
}
