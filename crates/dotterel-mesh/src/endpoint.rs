//! The mesh of one node.

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

use crate::accept::Listener;
use crate::counted::Counted;
use crate::error::MeshError;
use crate::identity::{Identity, IdentityError};
use crate::link::{Dial, Link};
use crate::transport;

const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The messages that nodes exchange.
pub trait Protocol: Send + Sync + 'static {
    /// What a node asks of another.
    type Call: Serialize + DeserializeOwned + Send + Sync;
    /// What the other answers.
    type Reply: Serialize + DeserializeOwned + Send + Sync;
}

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, which its certificate must carry.
    pub node: NodeId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// What a mesh needs to know of its own node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node.
    pub node: NodeId,
    /// The node's life.
    pub incarnation: Incarnation,
    /// Its certificate, key and trusted authorities.
    pub identity: Identity,
}

/// Events counted since the mesh was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Incoming connections refused for want of a known certificate or the right name.
    pub refused_peers: u64,
    /// Outgoing connections that were lost.
    pub lost_links: u64,
    /// Bytes sent in the datagrams of all connections.
    pub bytes_sent: u64,
    /// Bytes received in the datagrams of all connections.
    pub bytes_received: u64,
}

/// The state of the connection to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// The peer.
    pub peer: Peer,
    /// Whether a connection stands.
    pub connected: bool,
}

/// The mesh of one node; clones share it.
pub struct Mesh<P> {
    shared: Arc<Shared>,
    protocol: PhantomData<fn() -> P>,
}

struct Shared {
    node: NodeId,
    incarnation: Incarnation,
    client: ClientConfig,
    endpoint: Endpoint,
    addr: SocketAddr,
    counted: Arc<Counted>,
    /// Sorted by name.
    links: Mutex<Vec<Link>>,
}

impl<P: Protocol> Mesh<P> {
    /// Opens the mesh on a bound socket; peers are served by the [`Listener`].
    ///
    /// # Errors
    ///
    /// Returns an error when the identity or the socket cannot be used.
    pub fn open(config: &Config, socket: UdpSocket) -> Result<(Self, Listener), OpenError> {
        let client = transport::client(&config.identity)?;
        let server = transport::server(&config.identity)?;
        let endpoint = transport::listener(socket, server)?;
        let addr = endpoint.local_addr()?;
        let counted = Arc::new(Counted::default());
        let inbox = Listener {
            endpoint: endpoint.clone(),
            counted: counted.clone(),
        };
        let shared = Shared {
            node: config.node.clone(),
            incarnation: config.incarnation,
            client,
            endpoint,
            addr,
            counted,
            links: Mutex::default(),
        };
        let mesh = Self {
            shared: Arc::new(shared),
            protocol: PhantomData,
        };
        Ok((mesh, inbox))
    }

    /// Returns the address that the mesh listens at.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Makes `peers` the nodes to keep connections to; unchanged ones keep theirs.
    pub fn set_peers(&self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.node != self.shared.node);
        peers.sort_by(|a, b| a.node.cmp(&b.node));
        peers.dedup_by(|a, b| a.node == b.node);
        let mut links = self.links();
        links.retain(|link| peers.contains(&link.peer));
        for peer in peers {
            let found = links.binary_search_by(|link| link.peer.node.cmp(&peer.node));
            if let Err(index) = found {
                links.insert(index, Link::open(self.dial(peer)));
            }
        }
    }

    /// Gives up the connection to a peer and makes a new one, because the peer has restarted.
    pub fn reconnect(&self, peer: &NodeId) {
        let mut links = self.links();
        let found = links.binary_search_by(|link| link.peer.node.cmp(peer));
        if let Ok(index) = found {
            let peer = links[index].peer.clone();
            links[index] = Link::open(self.dial(peer));
        }
    }

    /// Calls a peer and waits for the answer, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`MeshError::NotSent`] only when the peer cannot have acted on the call.
    pub async fn call(
        &self,
        peer: &NodeId,
        call: &P::Call,
        limit: Millis,
    ) -> Result<P::Reply, MeshError> {
        let line = {
            let links = self.links();
            links
                .binary_search_by(|link| link.peer.node.cmp(peer))
                .ok()
                .map(|index| links[index].line())
        };
        let Some(line) = line else {
            return Err(MeshError::not_sent("not a known peer"));
        };
        line.call(call, limit.duration()).await
    }

    /// Returns the state of all links, sorted by the peers' names.
    #[must_use]
    pub fn status(&self) -> Vec<LinkStatus> {
        let links = self.links();
        let status = |link: &Link| LinkStatus {
            peer: link.peer.clone(),
            connected: link.connected(),
        };
        links.iter().map(status).collect()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counted.counters()
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.links().clear();
        self.shared.endpoint.close(VarInt::from_u32(0), b"closed");
        // The peers notice by their idle timeout if the last packets are lost.
        let _ = timeout(CLOSE_TIMEOUT, self.shared.endpoint.wait_idle()).await;
    }

    fn dial(&self, peer: Peer) -> Dial {
        Dial {
            peer,
            own: self.shared.node.clone(),
            addr: self.shared.addr.ip(),
            incarnation: self.shared.incarnation,
            config: self.shared.client.clone(),
            counted: self.shared.counted.clone(),
        }
    }

    fn links(&self) -> std::sync::MutexGuard<'_, Vec<Link>> {
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

/// Why a mesh could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The certificate, key or authorities cannot be used.
    Identity(IdentityError),
    /// The socket cannot be used.
    Socket(std::io::Error),
}

impl From<IdentityError> for OpenError {
    fn from(fault: IdentityError) -> Self {
        Self::Identity(fault)
    }
}

impl From<std::io::Error> for OpenError {
    fn from(fault: std::io::Error) -> Self {
        Self::Socket(fault)
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identity(fault) => fault.fmt(f),
            Self::Socket(fault) => write!(f, "mesh socket: {fault}"),
        }
    }
}

impl std::error::Error for OpenError {}
