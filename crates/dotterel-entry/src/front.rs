//! The HTTP API for callers and operators.

mod account;
mod documents;
mod jobs;
mod record;
mod requests;
mod response;
mod status;

use std::sync::Arc;

use salvo::catcher::Catcher;
use salvo::prelude::{Router, Service};

use crate::app::App;

/// The request header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The request header with the maximum wait for the request's start, in milliseconds.
pub const DEADLINE_HEADER: &str = "dotterelrelay-deadline-ms";

/// The response header with the request's identifier.
pub const REQUEST_HEADER: &str = "dotterelrelay-request";

/// The response header with the request's fate: `ran`, `not-run` or `unknown`.
pub const FATE_HEADER: &str = "dotterelrelay-fate";

/// The response header with the reason why a request did not run.
pub const REASON_HEADER: &str = "dotterelrelay-reason";

/// The response header with the VM that ran the request.
pub const UPSTREAM_HEADER: &str = "dotterelrelay-upstream";

/// Returns the HTTP service with all routes.
#[must_use]
pub fn service(app: &Arc<App>) -> Service {
    let v1 = Router::with_path("v1")
        .push(
            Router::with_path("services/{service}/requests/{class}")
                .post(requests::Post(app.clone())),
        )
        .push(Router::with_path("services/{service}/jobs/{class}").post(jobs::Post(app.clone())))
        .push(
            Router::with_path("jobs/{id}")
                .get(jobs::Get(app.clone()))
                .delete(jobs::Delete(app.clone())),
        )
        .push(Router::with_path("requests/{id}").get(record::Get(app.clone())))
        .push(
            Router::with_path("documents/{service}")
                .get(documents::Get(app.clone()))
                .put(documents::Put(app.clone())),
        )
        .push(Router::with_path("account").get(account::Get(app.clone())))
        .push(Router::with_path("status").get(status::Status(app.clone())));
    let root = Router::new()
        .push(v1)
        .push(Router::with_path("healthz").get(status::Healthy))
        .push(Router::with_path("readyz").get(status::Ready(app.clone())))
        .push(Router::with_path("metrics").get(status::Metrics(app.clone())));
    Service::new(root).catcher(Catcher::new(response::ErrorCatcher))
}
