//! The entry daemon: HTTP API for callers, ownership of worker VMs, claims, jobs, documents and the
//! account.
//!
//! [`Node::start`] runs a complete node inside the calling process; the binary `dotterel-entry` does
//! so with [`Settings`] read from a file.
//!
//! A request is validated by [`front`], then claimed and placed by [`requests`]: [`workers`] reserves
//! capacity on a VM that this node owns, or [`peers`] selects a node with free capacity. Then
//! [`requests`] dispatches it and settles its fate in the journal.

pub mod adapters;
pub mod app;
pub mod front;
pub mod jobs;
pub mod logging;
pub mod messages;
pub mod metrics;
pub mod node;
pub mod ownership;
pub mod peers;
pub mod quotas;
pub mod requests;
pub mod settings;
pub mod traffic;
pub mod workers;

pub use app::App;
pub use node::{Dependencies, Node, StartError};
pub use settings::Settings;
pub use traffic::Traffic;
pub use workers::Workers;
