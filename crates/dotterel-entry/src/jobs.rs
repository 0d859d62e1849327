//! Durable jobs on the VMs of all nodes.
//!
//! The engine of `dotterel-coord` owns shards of jobs and makes the decisions. This module carries
//! them out: it holds capacity on the nodes that own VMs ([`Holds`]), starts tasks there and
//! queries VMs for attempts.

mod holds;
mod host;
mod owner;
mod provider;

use std::sync::Arc;

use dotterel_coord::jobs::Engine;
use dotterel_kernel::Millis;

pub use holds::Holds;
pub use owner::{forget, hold, launch, signal};

use crate::app::App;

const SWEEP_INTERVAL: Millis = Millis(500);

/// Returns the engine that runs the jobs of this node's shards.
#[must_use]
pub fn engine(app: &Arc<App>) -> Engine {
    app.jobs.engine(Arc::new(host::Host::new(app.clone())))
}

/// Releases expired holds periodically until the future is dropped.
pub async fn expire_holds(app: Arc<App>) {
    loop {
        app.holds.remove_expired(app.clock.now());
        tokio::time::sleep(SWEEP_INTERVAL.duration()).await;
    }
}
