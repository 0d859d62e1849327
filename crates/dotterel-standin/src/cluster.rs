//! A fake platform and its workers, served over HTTP from this process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Clock, DataCentre, Region, Size, VmId};
use dotterel_platform::{ListedVm, Role, VmState};

use crate::server::{AdminApi, PlatformApi, Server, WorkerApi};
use crate::store::FakeStore;
use crate::table::FakeTable;
use crate::vm_list::FakeVmList;
use crate::worker::{Checkpoints, FakeWorker};

/// Any free loopback port.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    /// The worker's name.
    pub vm: VmId,
    /// The worker's data centre.
    pub data_centre: DataCentre,
    /// The worker's region.
    pub region: Region,
    /// The worker's capacity.
    pub capacity: Size,
    /// The address to listen on; port 0 selects any free port.
    pub addr: SocketAddr,
}

/// Settings of a [`Cluster`].
#[derive(Clone, Debug)]
pub struct Builder {
    clock: Clock,
    platform: SocketAddr,
    admin: Option<SocketAddr>,
    worker_configs: Vec<WorkerConfig>,
}

/// A running platform and its workers; dropping it stops them.
#[derive(Debug)]
pub struct Cluster {
    platform: PlatformApi,
    platform_server: Server,
    workers: Vec<(FakeWorker, Server)>,
    admin: Option<Server>,
}

impl Builder {
    /// Sets the address of the platform; the default is any free loopback port.
    #[must_use]
    pub const fn platform(mut self, addr: SocketAddr) -> Self {
        self.platform = addr;
        self
    }

    /// Enables the administrator's interface at this address.
    #[must_use]
    pub const fn admin(mut self, addr: SocketAddr) -> Self {
        self.admin = Some(addr);
        self
    }

    /// Adds a worker.
    #[must_use]
    pub fn worker(mut self, config: WorkerConfig) -> Self {
        self.worker_configs.push(config);
        self
    }

    /// Adds `count` workers to a data centre, named `{data_centre}-w001` and so on.
    #[must_use]
    pub fn workers(mut self, data_centre: &str, region: &str, count: u32, capacity: Size) -> Self {
        self.worker_configs
            .extend((1..=count).map(|number| WorkerConfig {
                vm: VmId(format_compact!("{data_centre}-w{number:03}")),
                data_centre: data_centre.into(),
                region: region.into(),
                capacity,
                addr: ANY_LOOPBACK_PORT,
            }));
        self
    }

    /// Starts all servers and adds the workers to the platform's VM list.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(self) -> io::Result<Cluster> {
        let platform = PlatformApi {
            table: FakeTable::new(self.clock),
            store: FakeStore::new(self.clock),
            vms: FakeVmList::new(self.clock),
        };
        let platform_server = bind(self.platform, platform.clone()).await?;
        let checkpoints = Checkpoints::default();
        let mut workers = Vec::new();
        for config in &self.worker_configs {
            let worker = FakeWorker::new(config.vm.clone(), config.capacity, self.clock)
                .with_checkpoints(checkpoints.clone());
            let server = bind(config.addr, WorkerApi(worker.clone())).await?;
            platform.vms.put(listed_vm(config, server.addr()));
            workers.push((worker, server));
        }
        let mut cluster = Cluster {
            platform,
            platform_server,
            workers,
            admin: None,
        };
        if let Some(addr) = self.admin {
            let admin = cluster.admin_api(self.clock);
            cluster.admin = Some(bind(addr, admin).await?);
        }
        Ok(cluster)
    }
}

impl Cluster {
    /// Returns a builder without workers.
    #[must_use]
    pub const fn builder(clock: Clock) -> Builder {
        Builder {
            clock,
            platform: ANY_LOOPBACK_PORT,
            admin: None,
            worker_configs: Vec::new(),
        }
    }

    /// Returns the platform's table.
    #[must_use]
    pub const fn table(&self) -> &FakeTable {
        &self.platform.table
    }

    /// Returns the platform's object store.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.platform.store
    }

    /// Returns the platform's VM list.
    #[must_use]
    pub const fn vms(&self) -> &FakeVmList {
        &self.platform.vms
    }

    /// Returns the workers, in the order in which they were added.
    #[must_use]
    pub fn workers(&self) -> Vec<FakeWorker> {
        self.workers.iter().map(|entry| entry.0.clone()).collect()
    }

    /// Returns the address of the platform.
    #[must_use]
    pub const fn platform_addr(&self) -> SocketAddr {
        self.platform_server.addr()
    }

    /// Returns the address of the administrator's interface, if it is enabled.
    #[must_use]
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(Server::addr)
    }

    /// Returns the addresses of the workers, in the order in which they were added.
    #[must_use]
    pub fn worker_addrs(&self) -> Vec<SocketAddr> {
        self.workers.iter().map(|entry| entry.1.addr()).collect()
    }

    /// Permanently stalls all open connections to the platform; new ones work.
    pub fn stall_platform(&self) {
        self.platform_server.stall_connections();
    }

    /// Permanently stalls all open connections to a worker; new ones work.
    pub fn stall_worker(&self, index: usize) {
        if let Some((_, server)) = self.workers.get(index) {
            server.stall_connections();
        }
    }

    fn admin_api(&self, clock: Clock) -> AdminApi {
        let platform = (
            CompactString::from("platform"),
            self.platform_server.connection_generation(),
        );
        let workers = self.workers.iter();
        let workers =
            workers.map(|(worker, server)| (worker.vm().0, server.connection_generation()));
        AdminApi {
            clock,
            platform: self.platform.clone(),
            workers: self.workers(),
            connection_generations: std::iter::once(platform).chain(workers).collect(),
        }
    }
}

/// Starts a server; errors name the address.
async fn bind(addr: SocketAddr, api: impl crate::server::Api) -> io::Result<Server> {
    let with_addr = |err: io::Error| io::Error::new(err.kind(), format!("{addr}: {err}"));
    Server::start(addr, api).await.map_err(with_addr)
}

fn listed_vm(config: &WorkerConfig, addr: SocketAddr) -> ListedVm {
    ListedVm {
        id: config.vm.0.clone(),
        role: Role::Worker,
        state: VmState::Live,
        data_centre: config.data_centre.clone(),
        region: config.region.clone(),
        addr: format_compact!("{addr}"),
    }
}
