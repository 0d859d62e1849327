//! `GET /v1/status`, `/healthz`, `/readyz` and `/metrics`.

use std::sync::Arc;

use dotterel_kernel::Status as Body;
use salvo::http::StatusCode;
use salvo::prelude::{Response, handler};

use super::response::{ErrorResponse, header, json};
use crate::app::App;

/// Returns the state of the node.
pub(super) struct Status(pub(super) Arc<App>);

#[handler]
impl Status {
    async fn handle(&self, res: &mut Response) {
        let app = &self.0;
        let status = Body {
            node: app.node().clone(),
            incarnation: app.incarnation,
            data_centre: app.settings.data_centre.clone(),
            ready: app.is_ready(),
            platform: app.platform_reachable.get(),
            peers: app.peers.status(app.clock.now()),
            vms: app.workers.status(),
            documents: app.feed.revisions(),
        };
        json(res, StatusCode::OK, &status);
    }
}

/// The liveness check: succeeds while the process serves HTTP.
pub(super) struct Healthy;

#[handler]
impl Healthy {
    async fn handle(&self, res: &mut Response) {
        header(res, "content-type", "text/plain");
        res.body("ok\n");
    }
}

/// The readiness check for the load balancer.
pub(super) struct Ready(pub(super) Arc<App>);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        if self.0.is_ready() {
            header(res, "content-type", "text/plain");
            res.body("ready\n");
            return;
        }
        let text = "the node is starting or stopping";
        ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "node", text).write(res);
    }
}

/// Returns the metrics in the text format of Prometheus.
pub(super) struct Metrics(pub(super) Arc<App>);

#[handler]
impl Metrics {
    async fn handle(&self, res: &mut Response) {
        header(res, "content-type", "text/plain; version=0.0.4");
        res.body(self.0.metrics.render(&self.0));
    }
}
