//! Entry nodes that can crash, pause and stop like processes.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use dotterel_entry::{Dependencies, Node, Settings};
use dotterel_kernel::{Revision, Status};
use http::Method;
use tokio::runtime::{Builder, Runtime};

use crate::callers::{get, send};
use crate::relay::Relay;

/// Upper bound of a pause, after which the node resumes by itself.
const PAUSE_LIMIT: Duration = Duration::from_secs(60);

/// The state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeState {
    Up,
    Crashed,
    Stopped,
}

/// An entry VM; its node runs on a single-threaded runtime of its own, which stands for a process.
pub(crate) struct EntryNode {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) http: SocketAddr,
    pub(crate) mesh: SocketAddr,
    pub(crate) relay: Relay,
    pub(crate) state: NodeState,
    /// True once the node has crashed or paused; its calls may then end without a response.
    pub(crate) disrupted: bool,
    runtime: Option<Runtime>,
    node: Option<Node>,
    resume: Option<mpsc::Sender<()>>,
}

impl EntryNode {
    /// Starts a node; `settings` receives the address at which peers reach the node.
    pub(crate) async fn start(
        name: &str,
        data_centre: &str,
        ip: IpAddr,
        settings: impl FnOnce(SocketAddr) -> Settings,
    ) -> Self {
        let (socket, mesh) = bind(ip);
        let relay = Relay::start(mesh).await;
        let (runtime, node) = spawn_node(settings(relay.addr), socket).await;
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            http: node.http_addr(),
            mesh,
            relay,
            state: NodeState::Up,
            disrupted: false,
            runtime: Some(runtime),
            node: Some(node),
            resume: None,
        }
    }

    /// Restarts the node after a crash or a stop.
    ///
    /// # Panics
    ///
    /// Panics if the node is up.
    pub(crate) async fn restart(&mut self, settings: impl FnOnce(SocketAddr) -> Settings) {
        assert_ne!(self.state, NodeState::Up, "{} is still up", self.name);
        let (socket, mesh) = bind(self.mesh.ip());
        self.mesh = mesh;
        self.relay.redirect(self.mesh);
        let (runtime, node) = spawn_node(settings(self.relay.addr), socket).await;
        self.http = node.http_addr();
        (self.runtime, self.node) = (Some(runtime), Some(node));
        self.state = NodeState::Up;
    }

    /// Aborts the node without a shutdown.
    pub(crate) fn crash(&mut self) {
        self.disrupted = true;
        self.state = NodeState::Crashed;
        drop(self.node.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.resume();
    }

    /// Blocks the node's only thread until [`EntryNode::resume`].
    pub(crate) fn pause(&mut self) {
        self.disrupted = true;
        let (resume, resumed) = mpsc::channel();
        let runtime = self.runtime.as_ref().expect("the node runs");
        runtime.spawn(async move {
            // Blocks the thread on purpose; an error means that the sender was dropped by a resume.
            let _ = resumed.recv_timeout(PAUSE_LIMIT);
        });
        self.resume = Some(resume);
    }

    pub(crate) fn resume(&mut self) {
        self.resume = None;
    }

    /// Returns a future that performs a planned stop.
    pub(crate) fn stop(&mut self) -> impl Future<Output = ()> + use<> {
        let node = self.node.take().expect("the node runs");
        let runtime = self.runtime.take().expect("the node runs");
        self.state = NodeState::Stopped;
        async move {
            let stopped = runtime.spawn(node.stop()).await;
            runtime.shutdown_background();
            stopped.expect("a planned stop does not panic");
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.state == NodeState::Up
    }

    /// Returns the node's status; `None` if it does not respond.
    pub(crate) async fn status(&self) -> Option<Status> {
        get(self.http, "/v1/status").await
    }

    /// Returns the revision and the text of the document in force.
    pub(crate) async fn document(&self) -> Option<(Revision, String)> {
        let path = "/v1/documents/quotes";
        let response = send(self.http, Method::GET, path, &[], Bytes::new()).await;
        let (_, headers, body) = response.ok()?;
        let tag = headers.get("etag")?.to_str().ok()?;
        let revision = Revision(tag.trim_matches('"').parse().ok()?);
        Some((revision, String::from_utf8(body.to_vec()).ok()?))
    }
}

impl Drop for EntryNode {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Binds the mesh socket of a node; relays identify nodes by their IP address.
fn bind(ip: IpAddr) -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((ip, 0)).expect("loopback has free ports");
    let mesh = socket.local_addr().expect("the socket is bound");
    (socket, mesh)
}

/// Starts a node on a new runtime.
async fn spawn_node(settings: Settings, socket: UdpSocket) -> (Runtime, Node) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(settings.node.as_str())
        .enable_all()
        .build()
        .expect("a thread can be started");
    let deps = Dependencies::http(&settings);
    let started = runtime.spawn(Node::start_with_socket(settings, deps, socket));
    let node = started.await.expect("the start does not panic");
    (runtime, node.expect("the node starts"))
}
