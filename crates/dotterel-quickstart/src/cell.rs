//! A cell in this process: a fake platform, fake workers and entry nodes.

use std::net::SocketAddr;

use anyhow::Context;
use compact_str::format_compact;
use dotterel_entry::{Dependencies, Node, Settings};
use dotterel_kernel::{Clock, NodeId, Size};
use dotterel_mesh::keys::Authority;
use dotterel_platform::{ListedVm, Role, VmState};
use dotterel_standin::cluster::Cluster;

const REGION: &str = "region-1";
const DATA_CENTRES: [&str; 2] = ["dc-1", "dc-2"];
const WORKERS_PER_DATA_CENTRE: u32 = 2;
const ANY_PORT: &str = "127.0.0.1:0";

const WORKER_CAPACITY: Size = Size {
    milli_cores: 32_000,
    memory_mb: 65_536,
    accelerators: 0,
    slots: 8,
    connections: 64,
};

/// A running cell.
pub(crate) struct Cell {
    cluster: Cluster,
    nodes: Vec<Node>,
}

impl Cell {
    /// Starts the cell; its first node listens for callers on `listen`, the others on any free port.
    pub(crate) async fn start(listen: SocketAddr) -> anyhow::Result<Self> {
        let cluster = start_cluster().await.context("stand-ins")?;
        let authority = Authority::generate().context("certificate authority")?;
        let mut cell = Self {
            cluster,
            nodes: Vec::new(),
        };
        for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
            let listen = if index == 0 {
                listen.to_string()
            } else {
                ANY_PORT.to_owned()
            };
            cell.add_node(&authority, data_centre, &listen).await?;
        }
        Ok(cell)
    }

    /// Returns the HTTP address of the first node.
    pub(crate) fn entry_addr(&self) -> SocketAddr {
        self.nodes[0].http_addr()
    }

    /// Returns the number of entry nodes.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of workers.
    pub(crate) fn worker_count(&self) -> usize {
        self.cluster.workers().len()
    }

    /// Shuts the nodes down gracefully, one after the other.
    pub(crate) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }

    async fn add_node(
        &mut self,
        authority: &Authority,
        data_centre: &str,
        listen: &str,
    ) -> anyhow::Result<()> {
        let name = NodeId(format_compact!("{data_centre}-entry"));
        let text = self.settings_text(authority, &name, data_centre, listen)?;
        let settings = Settings::parse(&text)?;
        let deps = Dependencies::http(&settings);
        let node = Node::start(settings, deps)
            .await
            .with_context(|| format!("node {name}"))?;
        self.cluster.vms().put(ListedVm {
            id: name.0,
            role: Role::Entry,
            state: VmState::Live,
            data_centre: data_centre.into(),
            region: REGION.into(),
            addr: format_compact!("{}", node.mesh_addr()),
        });
        self.nodes.push(node);
        Ok(())
    }

    /// Returns the contents of a node's settings file.
    fn settings_text(
        &self,
        authority: &Authority,
        node: &NodeId,
        data_centre: &str,
        listen: &str,
    ) -> anyhow::Result<String> {
        let keys = authority.issue(node).context("node certificate")?;
        Ok(format!(
            "node = \"{node}\"\n\
             data_centre = \"{data_centre}\"\n\
             region = \"{REGION}\"\n\
             platform = \"{platform}\"\n\
             [http]\n\
             listen = \"{listen}\"\n\
             [mesh]\n\
             listen = \"{ANY_PORT}\"\n\
             certificate = '''{certificate}'''\n\
             key = '''{key}'''\n\
             authorities = '''{authorities}'''\n",
            platform = self.cluster.platform_addr(),
            certificate = keys.certificate,
            key = keys.key,
            authorities = authority.pem(),
        ))
    }
}

async fn start_cluster() -> std::io::Result<Cluster> {
    let mut builder = Cluster::builder(Clock::system());
    for data_centre in DATA_CENTRES {
        builder = builder.workers(
            data_centre,
            REGION,
            WORKERS_PER_DATA_CENTRE,
            WORKER_CAPACITY,
        );
    }
    builder.start().await
}
