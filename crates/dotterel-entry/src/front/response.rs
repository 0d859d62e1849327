//! Answers in JSON, and refusals that name the field at fault.

use compact_str::CompactString;
use dotterel_kernel::{ErrorBody, Revision};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use serde::Serialize;

const RETRY_AFTER_SECONDS: &str = "1";

/// A call that is not served.
#[derive(Clone, Debug)]
pub(super) struct ErrorResponse {
    status: StatusCode,
    body: ErrorBody,
}

impl ErrorResponse {
    /// Returns a refusal.
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

    /// Says what would be allowed.
    #[must_use]
    pub(super) fn allowed(mut self, allowed: impl Into<CompactString>) -> Self {
        self.body.allowed = Some(allowed.into());
        self
    }

    /// Says which revision is in force.
    #[must_use]
    pub(super) fn revision(mut self, revision: Revision) -> Self {
        self.body.revision = Some(revision);
        self
    }

    /// Writes the refusal.
    pub(super) fn write(&self, res: &mut Response) {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            header(res, "retry-after", RETRY_AFTER_SECONDS);
        }
        json(res, self.status, &self.body);
    }
}

/// Writes a value as JSON.
pub(super) fn json<T: Serialize>(res: &mut Response, status: StatusCode, value: &T) {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            res.status_code(status);
            header(res, "content-type", "application/json");
            res.body(bytes);
        }
        Err(fault) => {
            log::error!(fault:% = fault; "answer not encoded");
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

/// Adds a header whose value is known to be well formed; another value is left out.
pub(super) fn header(res: &mut Response, name: &'static str, value: &str) {
    if res.add_header(name, value, true).is_err() {
        log::warn!(name = name; "header left out");
    }
}

/// Answers calls that no route takes.
pub(super) struct NotFound;

#[handler]
impl NotFound {
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
