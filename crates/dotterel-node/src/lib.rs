//! Library of the entry node that runs jobs on a platform.
//!
//! - [`platform`]: the interface to the platform, as one trait.
//! - [`settings`]: the node's validated settings.
//! - [`routes`]: the operator's configuration.
//! - [`config`]: keeps the configuration up to date.
//! - [`config_check`]: checks a configuration before it is put in force.
//! - [`keys`]: API keys of the tenants.
//! - [`http`]: the HTTP client and server.
//! - [`front`]: handles callers' requests.
//! - [`link`]: protocol between fronts and the scheduler.
//! - [`election`]: finds the leader of a cell, or takes over when there is none.
//! - [`scheduler`]: the scheduler of a cell.
//! - [`node`]: runs all parts in one process.
//! - [`logging`], [`metrics`]: logs and metrics for operators.

pub mod advice;
mod commit_probe;
pub mod config;
pub mod config_check;
pub mod election;
pub mod front;
pub mod http;
pub mod keys;
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
