//! Mutually authenticated QUIC links between entry nodes.
//!
//! A [`Mesh`] keeps one outgoing connection to each peer and accepts connections from peers. Each
//! call takes a stream of its own, so that a late answer can never be taken for another call's.
//! Errors tell whether the peer can have seen the call ([`MeshError`]).
//!
//! Every node proves its name by a certificate of the cluster's own authority ([`Identity`]).
//! [`keys`] makes such certificates for tests and first trials.

pub mod accept;
mod counted;
pub mod endpoint;
pub mod error;
pub mod identity;
pub mod keys;
mod link;
mod transport;
mod wire;

pub use accept::{Handler, Listener};
pub use endpoint::{Config, Counters, LinkStatus, Mesh, OpenError, Peer, Protocol};
pub use error::MeshError;
pub use identity::{Identity, IdentityError};
