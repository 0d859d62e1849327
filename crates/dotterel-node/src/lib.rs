//! The parts of an entry node that runs jobs on a platform.
//!
//! - [`platform`]: what the node needs of the platform, as one trait.
//! - [`settings`]: the node's settings, checked.
//! - [`routes`]: the configuration in force.
//! - [`http`]: the HTTP client and server.
//! - [`front`]: callers' requests.
//! - [`link`]: messages between fronts and the scheduler.
//! - [`election`]: finding the scheduler, and taking its role.
//! - [`scheduler`]: the role itself.
//! - [`node`]: all of it in one process.
//! - [`logging`], [`metrics`]: what operators see.

pub mod election;
pub mod front;
pub mod http;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod routes;
pub mod scheduler;
pub mod settings;

pub use node::run;
pub use platform::Platform;
pub use settings::Settings;
