//! One node from its start to its planned stop.

mod error;

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use dotterel_coord::claims::{self, Claims};
use dotterel_coord::feed::{self, Feed};
use dotterel_coord::jobs::Jobs;
use dotterel_coord::journal::{self, Journal, Reader};
use dotterel_coord::{Heartbeat, RetryBudget};
use dotterel_kernel::{Clock, Incarnation, Millis, NodeId, PolicySet, Size};
use dotterel_mesh::{Config, Mesh};
use dotterel_platform::{
    HttpStore, HttpTable, HttpUpstream, HttpVmList, Limits, ObjectStore, Owner, Table, VmList,
};
use salvo::conn::TcpListener;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Listener, Server};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub use error::StartError;

use crate::adapters::{Adapters, Connect};
use crate::app::{App, Flag, Gate};
use crate::jobs::{self, Holds};
use crate::metrics::Metrics;
use crate::ownership::{self, Keepers, Listed};
use crate::peers::{self, Peers, Writers};
use crate::requests::{Bodies, Recall};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{Workers, front, quotas};

/// Retries that are allowed in ten seconds however few requests there are.
const RETRY_FLOOR: u64 = 10;

/// How long the node goes on taking requests after it has said that it is stopping.
const LINGER: Millis = Millis(500);

/// The longest that giving back the shards of jobs may take.
const JOBS_LIMIT: Millis = Millis::secs(3);

/// The longest that the last journal segments may take.
const SHIP_LIMIT: Millis = Millis::secs(3);

/// What a node uses of the world outside.
#[derive(Clone)]
pub struct Parts {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of VMs.
    pub list: Arc<dyn VmList>,
    /// Makes the adapter of a listed worker.
    pub connect: Connect,
    /// What all of these count.
    pub traffic: Traffic,
}

impl Parts {
    /// Returns the platform and the workers over HTTP.
    #[must_use]
    pub fn http(settings: &Settings) -> Self {
        let (addr, node) = (settings.platform, settings.node.clone());
        let limits = Limits::default();
        let traffic = Traffic::default();
        Self {
            table: Arc::new(HttpTable::new(addr, &node, limits).with_traffic(&traffic.table)),
            store: Arc::new(HttpStore::new(addr, &node, limits).with_traffic(&traffic.store)),
            list: Arc::new(HttpVmList::new(addr, &node, limits).with_traffic(&traffic.list)),
            connect: connect(node, traffic.clone()),
            traffic,
        }
    }
}

fn connect(node: NodeId, traffic: Traffic) -> Connect {
    Arc::new(move |vm| {
        let addr = vm.addr.parse().unwrap_or_else(|fault| {
            log::error!(vm = vm.id.as_str(), fault:% = fault; "listed address not usable");
            SocketAddr::from(([0, 0, 0, 0], 0))
        });
        let upstream = HttpUpstream::new(addr, &node, Limits::default());
        Arc::new(upstream.with_traffic(&traffic.runs, &traffic.leases))
    })
}

/// A running node.
pub struct Node {
    app: Arc<App>,
    http: SocketAddr,
    server: ServerHandle,
    serving: JoinHandle<()>,
    keepers: JoinHandle<()>,
    jobs: JoinHandle<()>,
    end_jobs: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node; it serves when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error when an address is in use or a plug-in is not registered.
    pub async fn start(settings: Settings, parts: Parts) -> Result<Self, StartError> {
        let socket = UdpSocket::bind(settings.mesh.listen)
            .map_err(|fault| StartError::Listen(settings.mesh.listen, fault))?;
        Self::start_on(settings, parts, socket).await
    }

    /// Starts a node whose mesh uses a bound socket, for addresses that must be known before.
    ///
    /// # Errors
    ///
    /// As for [`Node::start`].
    pub async fn start_on(
        settings: Settings,
        parts: Parts,
        socket: UdpSocket,
    ) -> Result<Self, StartError> {
        let listen = settings.http.listen;
        let acceptor = TcpListener::new(listen)
            .try_bind()
            .await
            .map_err(|fault| StartError::Listen(listen, std::io::Error::other(fault)))?;
        let http = acceptor
            .local_addr()
            .map_err(|fault| StartError::Listen(listen, fault))?;
        let clock = Clock::system();
        // A later start has a higher number, because a node's wall clock moves on between starts.
        let incarnation = Incarnation(clock.now().0);
        let config = Config {
            node: settings.node.clone(),
            incarnation,
            identity: settings.mesh.identity.clone(),
        };
        let (mesh, inbox) = Mesh::open(&config, socket)?;
        let app = Arc::new(app(settings, &parts, clock, incarnation, mesh)?);
        let tasks = vec![
            tokio::spawn(inbox.serve(Arc::new(peers::Server(app.clone())))),
            tokio::spawn(peers::beat(app.clone())),
            tokio::spawn(ownership::follow_list(app.clone(), parts.list)),
            tokio::spawn(quotas::follow(app.clone())),
            tokio::spawn(jobs::sweep(app.clone())),
            tokio::spawn(follow_documents(app.clone())),
            tokio::spawn(ship(app.clone())),
        ];
        let (end_jobs, stop_jobs) = watch::channel(false);
        let engine = jobs::engine(&app);
        let jobs = tokio::spawn(engine.run(stop_jobs));
        let keepers = tokio::spawn(Keepers::new(app.clone()).run());
        let (server, serving) = serve(&app, acceptor);
        log::info!(node = app.node().as_str(), http:% = http, mesh:% = app.mesh.addr(); "serving");
        Ok(Self {
            app,
            http,
            server,
            serving,
            keepers,
            jobs,
            end_jobs,
            tasks,
        })
    }

    /// Returns the address of callers' HTTP.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address of the mesh.
    #[must_use]
    pub fn mesh_addr(&self) -> SocketAddr {
        self.app.mesh.addr()
    }

    /// Returns what the parts of the node share.
    #[must_use]
    pub const fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Stops the node: readiness goes down, leases go to their heirs, requests in flight are
    /// answered within the grace, and the journal is shipped.
    pub async fn stop(self) {
        let grace = self.app.settings.grace;
        let until = self.app.clock.now() + grace;
        log::info!(node = self.app.node().as_str(), grace_ms = grace.0; "stopping");
        self.app.stopping.set(true);
        peers::announce(&self.app, true);
        self.end_jobs.send_replace(true);
        tokio::time::sleep(LINGER.duration()).await;
        let left = until - self.app.clock.now();
        self.server.stop_graceful(left.duration());
        if timeout(left.duration(), self.app.gate.idle())
            .await
            .is_err()
        {
            log::warn!(open = self.app.gate.taken(); "requests still open after the grace");
        }
        // Ends by itself once the last connection is closed, or when the grace is over.
        let _ = timeout(left.duration(), self.serving).await;
        if timeout(JOBS_LIMIT.duration(), self.jobs).await.is_err() {
            log::warn!("shards of jobs not given back in time");
        }
        // Leases are handed over meanwhile; keepers stay on until their heirs have taken them.
        let left = until - self.app.clock.now();
        let handed = timeout(left.duration(), self.keepers).await;
        if handed.is_err() {
            log::warn!("not all leases were handed over in time");
        }
        let shipped = timeout(SHIP_LIMIT.duration(), self.app.journal.finish()).await;
        if shipped != Ok(true) {
            log::warn!("journal not shipped to its end");
        }
        for task in &self.tasks {
            task.abort();
        }
        self.app.mesh.close().await;
        log::info!(node = self.app.node().as_str(); "stopped");
    }
}

fn app(
    settings: Settings,
    parts: &Parts,
    clock: Clock,
    incarnation: Incarnation,
    mesh: Mesh<crate::messages::Messages>,
) -> Result<App, StartError> {
    let policy = PolicySet::from_names(settings.plugins.iter().map(CompactString::as_str))?;
    let owner = Owner {
        node: settings.node.clone(),
        incarnation,
    };
    let addr = settings.mesh.advertise.unwrap_or(mesh.addr());
    let own = Heartbeat {
        node: settings.node.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        addr: compact_str::format_compact!("{addr}"),
        at: clock.now(),
        stopping: false,
        spare: Size::ZERO,
        documents: Vec::new(),
    };
    let jobs = Jobs::new(
        parts.table.clone(),
        clock,
        owner.clone(),
        Default::default(),
    );
    let peers = Arc::new(Peers::new(own, clock.now()));
    let writers = Writers::new(mesh.clone(), peers.clone(), clock);
    let claims = Claims::new(parts.table.clone(), clock, owner, claims::Config::default())
        .with_peers(Arc::new(writers))
        .with_store(parts.store.clone());
    let places = u32::try_from(settings.http.requests).unwrap_or(u32::MAX);
    Ok(App {
        clock,
        incarnation,
        workers: Workers::new(policy, settings.data_centre.clone(), clock),
        feed: Feed::new(parts.table.clone(), clock, feed::Config::default()),
        journal: Journal::new(
            settings.node.clone(),
            incarnation,
            clock,
            parts.store.clone(),
            journal::Config::default(),
        ),
        reader: Reader::new(parts.store.clone()),
        claims,
        mesh,
        peers,
        adapters: Adapters::new(parts.connect.clone()),
        jobs,
        holds: Holds::default(),
        listed: Listed::default(),
        recall: Recall::default(),
        bodies: Bodies::default(),
        budget: Mutex::new(RetryBudget::new(RETRY_FLOOR)),
        metrics: Metrics::new(),
        traffic: parts.traffic.clone(),
        gate: Arc::new(Gate::new(places)),
        stopping: Flag::default(),
        platform: Flag::default(),
        settings,
    })
}

fn serve(app: &Arc<App>, acceptor: TcpAcceptor) -> (ServerHandle, JoinHandle<()>) {
    let server = Server::new(acceptor);
    let handle = server.handle();
    let service = front::service(app);
    let serving = tokio::spawn(async move {
        server.serve(service).await;
    });
    (handle, serving)
}

async fn follow_documents(app: Arc<App>) {
    app.feed.run().await;
}

async fn ship(app: Arc<App>) {
    app.journal.run().await;
}
