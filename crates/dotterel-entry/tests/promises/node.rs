//! Entry nodes that can die, pause and stop like processes.

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

/// The longest pause that a node is given.
const PAUSE_LIMIT: Duration = Duration::from_secs(60);

/// How a node's last life went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    Up,
    Dead,
    Stopped,
}

/// One entry VM; its node has a runtime of one thread, which takes the place of a process.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) http: SocketAddr,
    pub(crate) mesh: SocketAddr,
    pub(crate) relay: Relay,
    pub(crate) life: Life,
    /// True once a life of the node has ended or paused without a planned stop.
    pub(crate) hurt: bool,
    runtime: Option<Runtime>,
    node: Option<Node>,
    resume: Option<mpsc::Sender<()>>,
}

impl Entry {
    /// Starts a node; `settings` makes them from the address that peers reach it at.
    pub(crate) async fn start(
        name: &str,
        data_centre: &str,
        ip: IpAddr,
        settings: impl FnOnce(SocketAddr) -> Settings,
    ) -> Self {
        let (socket, mesh) = bind(ip);
        let relay = Relay::start(mesh).await;
        let (runtime, node) = run(settings(relay.addr), socket).await;
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            http: node.http_addr(),
            mesh,
            relay,
            life: Life::Up,
            hurt: false,
            runtime: Some(runtime),
            node: Some(node),
            resume: None,
        }
    }

    /// Starts the node again after its end.
    pub(crate) async fn restart(&mut self, settings: impl FnOnce(SocketAddr) -> Settings) {
        assert_ne!(self.life, Life::Up, "{} has not ended", self.name);
        let (socket, mesh) = bind(self.mesh.ip());
        self.mesh = mesh;
        self.relay.redirect(self.mesh);
        let (runtime, node) = run(settings(self.relay.addr), socket).await;
        self.http = node.http_addr();
        (self.runtime, self.node) = (Some(runtime), Some(node));
        self.life = Life::Up;
    }

    /// Ends the node at once, as a crash does.
    pub(crate) fn die(&mut self) {
        self.hurt = true;
        self.life = Life::Dead;
        drop(self.node.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.resume();
    }

    /// Stands the node's only thread still until it is resumed.
    pub(crate) fn freeze(&mut self) {
        self.hurt = true;
        let (resume, resumed) = mpsc::channel();
        let runtime = self.runtime.as_ref().expect("the node runs");
        runtime.spawn(async move {
            // Blocks the thread on purpose; an error means that the node was resumed.
            let _ = resumed.recv_timeout(PAUSE_LIMIT);
        });
        self.resume = Some(resume);
    }

    pub(crate) fn resume(&mut self) {
        self.resume = None;
    }

    /// Begins a planned stop and returns when it is over.
    pub(crate) fn stop(&mut self) -> impl Future<Output = ()> + use<> {
        let node = self.node.take().expect("the node runs");
        let runtime = self.runtime.take().expect("the node runs");
        self.life = Life::Stopped;
        async move {
            let stopped = runtime.spawn(node.stop()).await;
            runtime.shutdown_background();
            stopped.expect("a planned stop does not panic");
        }
    }

    pub(crate) fn up(&self) -> bool {
        self.life == Life::Up
    }

    /// Returns the node's status; none when it does not answer.
    pub(crate) async fn status(&self) -> Option<Status> {
        get(self.http, "/v1/status").await
    }

    /// Returns the document in force with its revision.
    pub(crate) async fn document(&self) -> Option<(Revision, String)> {
        let path = "/v1/documents/quotes";
        let answer = send(self.http, Method::GET, path, &[], Bytes::new()).await;
        let (_, headers, body) = answer.ok()?;
        let tag = headers.get("etag")?.to_str().ok()?;
        let revision = Revision(tag.trim_matches('"').parse().ok()?);
        Some((revision, String::from_utf8(body.to_vec()).ok()?))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.die();
    }
}

/// Binds a socket for a mesh; relays know a node by its IP address.
fn bind(ip: IpAddr) -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((ip, 0)).expect("loopback has free ports");
    let mesh = socket.local_addr().expect("the socket is bound");
    (socket, mesh)
}

async fn run(settings: Settings, socket: UdpSocket) -> (Runtime, Node) {
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
