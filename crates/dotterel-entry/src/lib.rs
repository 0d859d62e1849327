//! The entry daemon: callers' HTTP, worker ownership, claims, jobs, documents and the account.
//!
//! [`Node::start`] runs a whole node inside the calling process; the binary `dotterel-entry` does
//! that with [`Settings`] read from a file.
//!
//! The way of a request: [`front`] checks it, [`requests`] claims and places it, [`workers`] sets
//! capacity apart on a VM that this node owns, or [`peers`] names a node that has some, and
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
