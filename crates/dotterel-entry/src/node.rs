//! Starts a node's parts and stops them in order on a planned shutdown.

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
use crate::app::{App, RequestLimiter, SharedFlag};
use crate::jobs::{self, Holds};
use crate::metrics::Metrics;
use crate::ownership::{self, LeaseKeepers, VmListCache};
use crate::peers::{self, ClaimWriters, Peers};
use crate::requests::{ReceivedTasks, RecentBodies};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::{Workers, front, quotas};

/// Retries allowed in ten seconds, however few requests there are.
const MIN_RETRIES: u64 = 10;

/// How long the node still accepts requests after its readiness check starts to fail, so that the
/// load balancer can stop sending them.
const DRAIN_DELAY: Millis = Millis(500);

/// The timeout for releasing the leases of job shards on shutdown.
const JOBS_STOP_TIMEOUT: Millis = Millis::secs(3);

/// The timeout for shipping the last journal segments on shutdown.
const SHIP_TIMEOUT: Millis = Millis::secs(3);

/// External services that a node uses.
#[derive(Clone)]
pub struct Dependencies {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's VM list.
    pub list: Arc<dyn VmList>,
    /// Creates the adapter of a listed worker VM.
    pub connect: Connect,
    /// Counts the traffic of all of these.
    pub traffic: Traffic,
}

impl Dependencies {
    /// Returns clients of the platform and the worker VMs over HTTP.
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
        let addr = vm.addr.parse().unwrap_or_else(|err| {
            log::error!(vm = vm.id.as_str(), fault:% = err; "invalid address in the VM list");
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
    jobs_stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node. It accepts requests and peer connections when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use, the mesh can't be opened or a plug-in isn't
    /// registered.
    pub async fn start(settings: Settings, deps: Dependencies) -> Result<Self, StartError> {
        let socket = UdpSocket::bind(settings.mesh.listen)
            .map_err(|err| StartError::Listen(settings.mesh.listen, err))?;
        Self::start_with_socket(settings, deps, socket).await
    }

    /// Starts a node whose mesh uses an already bound socket, so that callers can know its address
    /// before the start.
    ///
    /// # Errors
    ///
    /// See [`Node::start`].
    pub async fn start_with_socket(
        settings: Settings,
        deps: Dependencies,
        socket: UdpSocket,
    ) -> Result<Self, StartError> {
        let listen = settings.http.listen;
        let acceptor = TcpListener::new(listen)
            .try_bind()
            .await
            .map_err(|err| StartError::Listen(listen, std::io::Error::other(err)))?;
        let http = acceptor
            .local_addr()
            .map_err(|err| StartError::Listen(listen, err))?;
        let clock = Clock::system();
        // The wall clock advances between starts, so a later start has a higher incarnation.
        let incarnation = Incarnation(clock.now().0);
        let config = Config {
            node: settings.node.clone(),
            incarnation,
            identity: settings.mesh.identity.clone(),
        };
        let (mesh, inbox) = Mesh::open(&config, socket)?;
        let app = Arc::new(build_app(settings, &deps, clock, incarnation, mesh)?);
        let tasks = vec![
            tokio::spawn(inbox.serve(Arc::new(peers::Server(app.clone())))),
            tokio::spawn(peers::send_heartbeats(app.clone())),
            tokio::spawn(ownership::follow_list(app.clone(), deps.list)),
            tokio::spawn(quotas::run(app.clone())),
            tokio::spawn(jobs::expire_holds(app.clone())),
            tokio::spawn(follow_documents(app.clone())),
            tokio::spawn(ship_journal(app.clone())),
        ];
        let (jobs_stop, stop_receiver) = watch::channel(false);
        let engine = jobs::engine(&app);
        let jobs = tokio::spawn(engine.run(stop_receiver));
        let keepers = tokio::spawn(LeaseKeepers::new(app.clone()).run());
        let (server, serving) = serve(&app, acceptor);
        log::info!(node = app.node().as_str(), http:% = http, mesh:% = app.mesh.addr(); "serving");
        Ok(Self {
            app,
            http,
            server,
            serving,
            keepers,
            jobs,
            jobs_stop,
            tasks,
        })
    }

    /// Returns the address for callers' HTTP requests.
    #[must_use]
    pub const fn http_addr(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address of the mesh.
    #[must_use]
    pub fn mesh_addr(&self) -> SocketAddr {
        self.app.mesh.addr()
    }

    /// Returns the state shared by the parts of the node.
    #[must_use]
    pub const fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Stops the node gracefully.
    ///
    /// The readiness check fails, leases are handed over to their successors, requests in flight are
    /// answered within the grace period, and the journal is shipped.
    pub async fn stop(self) {
        let grace_period = self.app.settings.grace_period;
        let deadline = self.app.clock.now() + grace_period;
        log::info!(node = self.app.node().as_str(), grace_ms = grace_period.0; "stopping");
        self.app.stopping.set(true);
        peers::broadcast_heartbeat(&self.app, true);
        self.jobs_stop.send_replace(true);
        tokio::time::sleep(DRAIN_DELAY.duration()).await;
        let remaining = deadline - self.app.clock.now();
        self.server.stop_graceful(remaining.duration());
        if timeout(remaining.duration(), self.app.limiter.wait_idle())
            .await
            .is_err()
        {
            log::warn!(open = self.app.limiter.acquired(); "requests still in flight after the grace period");
        }
        // The server ends when the last connection is closed or the grace period is over.
        let _ = timeout(remaining.duration(), self.serving).await;
        if timeout(JOBS_STOP_TIMEOUT.duration(), self.jobs)
            .await
            .is_err()
        {
            log::warn!("job shards not released in time");
        }
        // The keepers hand their leases over meanwhile, and end once the successors hold them.
        let remaining = deadline - self.app.clock.now();
        let handed_over = timeout(remaining.duration(), self.keepers).await;
        if handed_over.is_err() {
            log::warn!("not all leases handed over in time");
        }
        let shipped = timeout(SHIP_TIMEOUT.duration(), self.app.journal.finish()).await;
        if shipped != Ok(true) {
            log::warn!("journal not fully shipped");
        }
        for task in &self.tasks {
            task.abort();
        }
        self.app.mesh.close().await;
        log::info!(node = self.app.node().as_str(); "stopped");
    }
}

fn build_app(
    settings: Settings,
    deps: &Dependencies,
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
    let jobs = Jobs::new(deps.table.clone(), clock, owner.clone(), Default::default());
    let peers = Arc::new(Peers::new(own, clock.now()));
    let writers = ClaimWriters::new(mesh.clone(), peers.clone(), clock);
    let claims = Claims::new(deps.table.clone(), clock, owner, claims::Config::default())
        .with_peers(Arc::new(writers))
        .with_store(deps.store.clone());
    let request_limit = u32::try_from(settings.http.request_limit).unwrap_or(u32::MAX);
    Ok(App {
        clock,
        incarnation,
        workers: Workers::new(policy, settings.data_centre.clone(), clock),
        feed: Feed::new(deps.table.clone(), clock, feed::Config::default()),
        journal: Journal::new(
            settings.node.clone(),
            incarnation,
            clock,
            deps.store.clone(),
            journal::Config::default(),
        ),
        journal_reader: Reader::new(deps.store.clone()),
        claims,
        mesh,
        peers,
        adapters: Adapters::new(deps.connect.clone()),
        jobs,
        holds: Holds::default(),
        vm_list: VmListCache::default(),
        received_tasks: ReceivedTasks::default(),
        recent_bodies: RecentBodies::default(),
        retry_budget: Mutex::new(RetryBudget::new(MIN_RETRIES)),
        metrics: Metrics::new(),
        traffic: deps.traffic.clone(),
        limiter: Arc::new(RequestLimiter::new(request_limit)),
        stopping: SharedFlag::default(),
        platform_reachable: SharedFlag::default(),
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

async fn ship_journal(app: Arc<App>) {
    app.journal.run().await;
}
