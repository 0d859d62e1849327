//! The mesh endpoint of one node: its connections to peers and the calls over them.

use std::fmt;
use std::marker::PhantomData;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dotterel_kernel::{Incarnation, Millis, NodeId};
use quinn::{ClientConfig, Endpoint, VarInt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::counters::MeshMetrics;
use crate::error::MeshError;
use crate::identity::{Identity, IdentityError};
use crate::link::{Connector, Link};
use crate::listener::Listener;
use crate::transport;

const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The request and reply types that nodes exchange.
pub trait Protocol: Send + Sync + 'static {
    /// The request of a call.
    type Call: Serialize + DeserializeOwned + Send + Sync;
    /// The reply to a call.
    type Reply: Serialize + DeserializeOwned + Send + Sync;
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's name; its certificate must be for this name.
    pub node: NodeId,
    /// The address that the peer listens on.
    pub addr: SocketAddr,
}

/// The identity of the node that a mesh belongs to.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The node's certificate and key, and the authorities that it trusts.
    pub identity: Identity,
}

/// Counts of events since the mesh was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Incoming connections refused because the certificate was untrusted or for another name.
    pub refused_peers: u64,
    /// Outgoing connections that were lost.
    pub lost_links: u64,
    /// Bytes of UDP payload sent on all connections.
    pub bytes_sent: u64,
    /// Bytes of UDP payload received on all connections.
    pub bytes_received: u64,
}

/// The state of the connection to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// The peer.
    pub peer: Peer,
    /// Whether a connection is established.
    pub connected: bool,
}

/// The mesh endpoint of one node. Clones share the connections.
pub struct Mesh<P> {
    shared: Arc<Shared>,
    protocol: PhantomData<fn() -> P>,
}

struct Shared {
    node: NodeId,
    incarnation: Incarnation,
    client_config: ClientConfig,
    endpoint: Endpoint,
    addr: SocketAddr,
    metrics: Arc<MeshMetrics>,
    /// Sorted by the peers' names.
    links: Mutex<Vec<Link>>,
}

impl<P: Protocol> Mesh<P> {
    /// Opens the mesh on a bound socket. The returned [`Listener`] serves the calls of peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity or the socket cannot be used.
    pub fn open(config: &Config, socket: UdpSocket) -> Result<(Self, Listener), OpenError> {
        let client_config = transport::client_config(&config.identity)?;
        let server_config = transport::server_config(&config.identity)?;
        let endpoint = transport::server_endpoint(socket, server_config)?;
        let addr = endpoint.local_addr()?;
        let metrics = Arc::new(MeshMetrics::default());
        let listener = Listener {
            endpoint: endpoint.clone(),
            metrics: metrics.clone(),
        };
        let shared = Shared {
            node: config.node.clone(),
            incarnation: config.incarnation,
            client_config,
            endpoint,
            addr,
            metrics,
            links: Mutex::default(),
        };
        let mesh = Self {
            shared: Arc::new(shared),
            protocol: PhantomData,
        };
        Ok((mesh, listener))
    }

    /// Returns the address that the mesh listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Sets the peers to keep connections to. Peers that did not change keep their connections.
    pub fn set_peers(&self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.node != self.shared.node);
        peers.sort_by(|a, b| a.node.cmp(&b.node));
        peers.dedup_by(|a, b| a.node == b.node);
        let mut links = self.lock_links();
        links.retain(|link| peers.contains(&link.peer));
        for peer in peers {
            let found = links.binary_search_by(|link| link.peer.node.cmp(&peer.node));
            if let Err(index) = found {
                links.insert(index, Link::open(self.connector(peer)));
            }
        }
    }

    /// Drops the connection to a peer and opens a new one, for use after the peer has restarted.
    pub fn reconnect(&self, peer: &NodeId) {
        let mut links = self.lock_links();
        let found = links.binary_search_by(|link| link.peer.node.cmp(peer));
        if let Ok(index) = found {
            let peer = links[index].peer.clone();
            links[index] = Link::open(self.connector(peer));
        }
    }

    /// Calls a peer and waits for the reply, for up to `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`MeshError::NotSent`] if the peer cannot have acted on the call, and otherwise
    /// [`MeshError::Unknown`].
    pub async fn call(
        &self,
        peer: &NodeId,
        call: &P::Call,
        limit: Millis,
    ) -> Result<P::Reply, MeshError> {
        let handle = {
            let links = self.lock_links();
            links
                .binary_search_by(|link| link.peer.node.cmp(peer))
                .ok()
                .map(|index| links[index].handle())
        };
        let Some(handle) = handle else {
            return Err(MeshError::not_sent("not a known peer"));
        };
        handle.call(call, limit.duration()).await
    }

    /// Returns the state of all links, sorted by the peers' names.
    #[must_use]
    pub fn status(&self) -> Vec<LinkStatus> {
        let links = self.lock_links();
        let status = |link: &Link| LinkStatus {
            peer: link.peer.clone(),
            connected: link.is_connected(),
        };
        links.iter().map(status).collect()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.metrics.snapshot()
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.lock_links().clear();
        self.shared.endpoint.close(VarInt::from_u32(0), b"closed");
        // If the last packets are lost, the peers close the connection after their idle timeout.
        let _ = timeout(CLOSE_TIMEOUT, self.shared.endpoint.wait_idle()).await;
    }

    fn connector(&self, peer: Peer) -> Connector {
        Connector {
            peer,
            own_node: self.shared.node.clone(),
            own_addr: self.shared.addr.ip(),
            incarnation: self.shared.incarnation,
            client_config: self.shared.client_config.clone(),
            metrics: self.shared.metrics.clone(),
        }
    }

    fn lock_links(&self) -> std::sync::MutexGuard<'_, Vec<Link>> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P> Clone for Mesh<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            protocol: PhantomData,
        }
    }
}

impl<P> fmt::Debug for Mesh<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mesh")
            .field("node", &self.shared.node)
            .field("addr", &self.shared.addr)
            .finish_non_exhaustive()
    }
}

/// The error of opening a mesh.
#[derive(Debug)]
pub enum OpenError {
    /// The certificate, key or authorities cannot be used.
    Identity(IdentityError),
    /// The socket cannot be used.
    Socket(std::io::Error),
}

impl From<IdentityError> for OpenError {
    fn from(err: IdentityError) -> Self {
        Self::Identity(err)
    }
}

impl From<std::io::Error> for OpenError {
    fn from(err: std::io::Error) -> Self {
        Self::Socket(err)
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identity(err) => err.fmt(f),
            Self::Socket(err) => write!(f, "mesh socket: {err}"),
        }
    }
}

impl std::error::Error for OpenError {}
