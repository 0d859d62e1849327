//! Durable jobs on the VMs of all nodes.
//!
//! The engine of `dotterel-coord` owns shards of jobs and decides; here are its hands: capacity is
//! held at the nodes that own VMs ([`Holds`]), tasks start there, and VMs are asked about attempts.

mod holds;
mod host;
mod owner;
mod provider;

use std::sync::Arc;

use dotterel_coord::jobs::Engine;
use dotterel_kernel::Millis;

pub use holds::Holds;
pub use owner::{forget, hold, launch, press};

use crate::app::App;

const SWEEP_PERIOD: Millis = Millis(500);

/// Returns the engine that runs the jobs of this node's shards.
#[must_use]
pub fn engine(app: &Arc<App>) -> Engine {
    app.jobs.engine(Arc::new(host::Host::new(app.clone())))
}

/// Gives lapsed holds back until the future is dropped.
pub async fn expire_holds(app: Arc<App>) {
    loop {
        app.holds.sweep(app.clock.now());
        tokio::time::sleep(SWEEP_PERIOD.duration()).await;
    }
}
