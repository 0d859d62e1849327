//! JSON responses and error responses that name the invalid field.

use compact_str::CompactString;
use dotterel_kernel::{ErrorBody, Revision};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use serde::Serialize;

const RETRY_AFTER_SECONDS: &str = "1";

/// An error response: the status, the invalid field and the reason.
#[derive(Clone, Debug)]
pub(super) struct ErrorResponse {
    status: StatusCode,
    body: ErrorBody,
}

impl ErrorResponse {
    /// Returns an error response without allowed values and without a revision.
    pub(super) fn new(
        status: StatusCode,
        field: impl Into<CompactString>,
        reason: impl Into<CompactString>,
    ) -> Self {
        Self {
            status,
            body: ErrorBody {
                field: field.into(),
                reason: reason.into(),
                allowed: None,
                revision: None,
            },
        }
    }

    /// Adds a description of the allowed values.
    #[must_use]
    pub(super) fn allowed(mut self, allowed: impl Into<CompactString>) -> Self {
        self.body.allowed = Some(allowed.into());
        self
    }

    /// Adds the revision in force.
    #[must_use]
    pub(super) fn revision(mut self, revision: Revision) -> Self {
        self.body.revision = Some(revision);
        self
    }

    /// Writes the response, with `Retry-After` if the service is unavailable.
    pub(super) fn write(&self, res: &mut Response) {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            header(res, "retry-after", RETRY_AFTER_SECONDS);
        }
        json(res, self.status, &self.body);
    }
}

/// Writes a JSON response.
pub(super) fn json<T: Serialize>(res: &mut Response, status: StatusCode, value: &T) {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            res.status_code(status);
            header(res, "content-type", "application/json");
            res.body(bytes);
        }
        Err(err) => {
            log::error!(fault:% = err; "failed to encode response");
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

/// Sets a response header. An invalid value is logged and the header omitted.
pub(super) fn header(res: &mut Response, name: &'static str, value: &str) {
    if res.add_header(name, value, true).is_err() {
        log::warn!(name = name; "invalid header value, header omitted");
    }
}

/// Writes a JSON body for error statuses set by the router, such as 404 and 405.
pub(super) struct ErrorCatcher;

#[handler]
impl ErrorCatcher {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let status = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let (field, reason) = match status {
            StatusCode::NOT_FOUND => ("path", "no such path"),
            StatusCode::METHOD_NOT_ALLOWED => ("method", "not allowed on this path"),
            _ => ("request", status.canonical_reason().unwrap_or("not served")),
        };
        let path = req.uri().path();
        ErrorResponse::new(
            status,
            field,
            compact_str::format_compact!("{path}: {reason}"),
        )
        .write(res);
    }
}
