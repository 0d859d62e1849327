//! Mutually authenticated QUIC connections between entry nodes.
//!
//! A [`Mesh`] keeps one outgoing connection to each peer and accepts connections from peers. Each
//! call uses its own stream, so a late reply cannot be mistaken for the reply to another call.
//! Errors state whether the peer can have received the call ([`MeshError`]).
//!
//! Every node proves its name with a certificate issued by the cluster's authority ([`Identity`]).
//! [`keys`] generates such certificates for tests and evaluation.

mod counters;
pub mod endpoint;
pub mod error;
pub mod identity;
pub mod keys;
mod link;
pub mod listener;
mod transport;
mod wire;

pub use endpoint::{Config, Counters, LinkStatus, Mesh, OpenError, Peer, Protocol};
pub use error::MeshError;
pub use identity::{Identity, IdentityError};
pub use listener::{Handler, Listener};
