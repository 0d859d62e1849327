//! A platform and workers on loopback, in this process.

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

/// Any free port on loopback.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A worker to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfig {
    /// Its name.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// What it can hold.
    pub capacity: Size,
    /// Where it listens; port 0 takes any free one.
    pub addr: SocketAddr,
}

/// Settings of a [`Cluster`].
#[derive(Clone, Debug)]
pub struct Builder {
    clock: Clock,
    platform: SocketAddr,
    admin: Option<SocketAddr>,
    plans: Vec<WorkerConfig>,
}

/// A running platform with its workers; dropping it stops them.
#[derive(Debug)]
pub struct Cluster {
    platform: PlatformApi,
    platform_server: Server,
    workers: Vec<(FakeWorker, Server)>,
    admin: Option<Server>,
}

impl Builder {
    /// Sets the address of the platform instead of any free port on loopback.
    #[must_use]
    pub const fn platform(mut self, addr: SocketAddr) -> Self {
        self.platform = addr;
        self
    }

    /// Opens the administrator's port.
    #[must_use]
    pub const fn admin(mut self, addr: SocketAddr) -> Self {
        self.admin = Some(addr);
        self
    }

    /// Adds a worker.
    #[must_use]
    pub fn worker(mut self, plan: WorkerConfig) -> Self {
        self.plans.push(plan);
        self
    }

    /// Adds `count` workers in a data centre, named after it and numbered from one.
    #[must_use]
    pub fn workers(mut self, data_centre: &str, region: &str, count: u32, capacity: Size) -> Self {
        self.plans.extend((1..=count).map(|number| WorkerConfig {
            vm: VmId(format_compact!("{data_centre}-w{number:03}")),
            data_centre: data_centre.into(),
            region: region.into(),
            capacity,
            addr: ANY,
        }));
        self
    }

    /// Starts everything and puts the workers on the platform's list.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first address that cannot be bound.
    pub async fn start(self) -> io::Result<Cluster> {
        let platform = PlatformApi {
            table: FakeTable::new(self.clock),
            store: FakeStore::new(self.clock),
            vms: FakeVmList::new(self.clock),
        };
        let platform_server = bind(self.platform, platform.clone()).await?;
        let checkpoints = Checkpoints::default();
        let mut workers = Vec::new();
        for plan in &self.plans {
            let worker = FakeWorker::new(plan.vm.clone(), plan.capacity, self.clock)
                .with_checkpoints(checkpoints.clone());
            let server = bind(plan.addr, WorkerApi(worker.clone())).await?;
            platform.vms.put(listed(plan, server.addr()));
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
    /// Returns settings without workers.
    #[must_use]
    pub const fn builder(clock: Clock) -> Builder {
        Builder {
            clock,
            platform: ANY,
            admin: None,
            plans: Vec::new(),
        }
    }

    /// Returns the table.
    #[must_use]
    pub const fn table(&self) -> &FakeTable {
        &self.platform.table
    }

    /// Returns the object store.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.platform.store
    }

    /// Returns the list of VMs.
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

    /// Returns the address of the administrator's port, if it is open.
    #[must_use]
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(Server::addr)
    }

    /// Returns the addresses of the workers, in the order in which they were added.
    #[must_use]
    pub fn worker_addrs(&self) -> Vec<SocketAddr> {
        self.workers.iter().map(|entry| entry.1.addr()).collect()
    }

    /// Makes all open connections to the platform silent for good; new ones work.
    pub fn stall_platform(&self) {
        self.platform_server.stall_connections();
    }

    /// Makes all open connections to a worker silent for good; new ones work.
    pub fn stall_worker(&self, index: usize) {
        if let Some((_, server)) = self.workers.get(index) {
            server.stall_connections();
        }
    }

    fn admin_api(&self, clock: Clock) -> AdminApi {
        let platform = (
            CompactString::from("platform"),
            self.platform_server.husher(),
        );
        let workers = self.workers.iter();
        let workers = workers.map(|(worker, server)| (worker.vm().0, server.husher()));
        AdminApi {
            clock,
            platform: self.platform.clone(),
            workers: self.workers(),
            hushers: std::iter::once(platform).chain(workers).collect(),
        }
    }
}

/// Binds a server; the error names the address.
async fn bind(addr: SocketAddr, api: impl crate::server::Api) -> io::Result<Server> {
    let named = |fault: io::Error| io::Error::new(fault.kind(), format!("{addr}: {fault}"));
    Server::start(addr, api).await.map_err(named)
}

fn listed(plan: &WorkerConfig, addr: SocketAddr) -> ListedVm {
    ListedVm {
        id: plan.vm.0.clone(),
        role: Role::Worker,
        state: VmState::Live,
        data_centre: plan.data_centre.clone(),
        region: plan.region.clone(),
        addr: format_compact!("{addr}"),
    }
}
