//! A cell under test: a fake platform, workers, entry nodes and fault injection.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dotterel_entry::Settings;
use dotterel_kernel::{Clock, Millis, Revision, Size, VmId};
use dotterel_mesh::keys::Authority;
use dotterel_platform::{ListedVm, Role, VmState};
use dotterel_standin::cluster::Cluster;
use dotterel_standin::{FakeWorker, Faults};
use http::{Method, StatusCode};
use tokio::task::JoinHandle;

use crate::callers::{Callers, ORDER, Outcome, RequestSpec, WAIT_TIMEOUT, request, send};
use crate::monitor::DocumentMonitor;
use crate::node::{EntryNode, NodeState};

const REGION: &str = "region-1";
const DOCUMENT_PATH: &str = "/v1/documents/quotes";

/// Limit for the nodes to apply a change: no task starts on a worker this long after the VM list
/// shows it as leaving, and an accepted document is in force on all nodes.
pub(crate) const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time until the balancer stops sending to a node that is stopping.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Configuration of the workers and leases of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellConfig {
    /// Capacity of each worker.
    pub(crate) worker: Size,
    /// Body of the `[lease]` table in the settings of the nodes.
    pub(crate) lease: &'static str,
}

/// Small workers, and leases short enough to expire within a scenario.
const SMALL_CELL: CellConfig = CellConfig {
    worker: Size {
        milli_cores: 4_000,
        memory_mb: 8_192,
        accelerators: 0,
        slots: 4,
        connections: 16,
    },
    lease: "ttl_ms = 900\n\
            task_ttl_ms = 2700\n\
            margin_ms = 50\n\
            call_ms = 225\n",
};

pub(crate) const DOCUMENT: &str = include_str!("quotes.toml");

/// The names and HTTP addresses of the nodes that receive calls.
pub(crate) type Balancer = Arc<Mutex<Vec<(String, SocketAddr)>>>;

/// A cell under test.
pub(crate) struct Cell {
    pub(crate) clock: Clock,
    pub(crate) cluster: Cluster,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) callers: Callers,
    pub(crate) monitor: DocumentMonitor,
    /// Leaving workers, each with the time from which no task may start on it.
    pub(crate) leaving: Vec<(VmId, Millis)>,
    pub(crate) balancer: Balancer,
    authority: Authority,
    lease: &'static str,
    background: Vec<JoinHandle<()>>,
    edits: u32,
}

impl Cell {
    /// Starts a cell and waits until all workers are owned and the document is in force.
    ///
    /// The data centres are named `a`, `b` and so on, and the nodes of `a` are named `a1`, `a2`
    /// and so on. The counts of nodes and workers are per data centre.
    pub(crate) async fn start(data_centres: u8, nodes: u32, workers: u32) -> Self {
        Self::start_with(data_centres, nodes, workers, SMALL_CELL).await
    }

    /// Starts a cell like [`Cell::start`], with the given configuration.
    pub(crate) async fn start_with(
        data_centres: u8,
        nodes: u32,
        workers: u32,
        config: CellConfig,
    ) -> Self {
        let clock = Clock::system();
        let names = (b'a'..b'a' + data_centres).map(|letter| char::from(letter).to_string());
        let names: Vec<String> = names.collect();
        let mut builder = Cluster::builder(clock);
        for name in &names {
            builder = builder.workers(name, REGION, workers, config.worker);
        }
        let cluster = builder.start().await.expect("loopback has free ports");
        let mut cell = Self {
            clock,
            cluster,
            entries: Vec::new(),
            callers: Callers::default(),
            monitor: DocumentMonitor::default(),
            leaving: Vec::new(),
            balancer: Balancer::default(),
            authority: Authority::generate().expect("an authority can be generated"),
            lease: config.lease,
            background: Vec::new(),
            edits: 0,
        };
        for name in &names {
            for number in 1..=nodes {
                cell.add_node(&format!("{name}{number}"), name).await;
            }
        }
        cell.wait_until_converged().await;
        let node = cell.entries[0].name.clone();
        let first = cell.put(&node, ("if-none-match", "*")).await;
        assert!(first.is_ok(), "{first:?}");
        cell.wait_until_in_force(WAIT_TIMEOUT).await;
        cell
    }

    async fn add_node(&mut self, name: &str, data_centre: &str) {
        let settings = |relay| self.settings(name, data_centre, relay);
        let number = u8::try_from(self.entries.len() + 1).expect("a cell has few nodes");
        let ip = Ipv4Addr::new(127, 0, 1, number).into();
        let entry = EntryNode::start(name, data_centre, ip, settings).await;
        self.cluster.vms().put(ListedVm {
            id: name.into(),
            role: Role::Entry,
            state: VmState::Live,
            data_centre: data_centre.into(),
            region: REGION.into(),
            addr: entry.relay.addr.to_string().into(),
        });
        self.entries.push(entry);
        self.update_balancer();
    }

    fn settings(&self, name: &str, data_centre: &str, relay: SocketAddr) -> Settings {
        let keys = self
            .authority
            .issue(&name.into())
            .expect("keys can be issued");
        let text = format!(
            "node = \"{name}\"\n\
             data_centre = \"{data_centre}\"\n\
             region = \"{REGION}\"\n\
             platform = \"{}\"\n\
             [http]\n\
             listen = \"127.0.0.1:0\"\n\
             [mesh]\n\
             listen = \"127.0.0.1:0\"\n\
             advertise = \"{relay}\"\n\
             certificate = '''{}'''\n\
             key = '''{}'''\n\
             authorities = '''{}'''\n\
             [lease]\n\
             {}\
             [shutdown]\n\
             grace_ms = 15000\n",
            self.cluster.platform_addr(),
            keys.certificate,
            keys.key,
            self.authority.pem(),
            self.lease,
        );
        let peers = self.entries.iter().filter(|entry| entry.name != name);
        let peers = peers.map(|peer| {
            let (node, addr) = (&peer.name, peer.relay.addr);
            format!("[[peer]]\nnode = \"{node}\"\naddr = \"{addr}\"\n")
        });
        let text = text + &peers.collect::<String>();
        Settings::parse(&text).expect("the settings are valid")
    }

    /// Restarts a node that crashed or stopped, and waits until it is ready.
    pub(crate) async fn restart(&mut self, name: &str) {
        let index = self.index(name);
        let data_centre = self.entries[index].data_centre.clone();
        let settings = self.settings(name, &data_centre, self.entries[index].relay.addr);
        self.entries[index].restart(|_| settings).await;
        let addr = self.entries[index].http;
        wait_until(WAIT_TIMEOUT, "the node to become ready", async || {
            ready(addr).await
        })
        .await;
        self.update_balancer();
    }

    /// Starts a planned stop of several nodes at the same time, in the background.
    pub(crate) fn stop(&mut self, names: &[&str]) {
        for name in names {
            let index = self.index(name);
            let stopped = self.entries[index].stop();
            self.background.push(tokio::spawn(stopped));
        }
        let (balancer, stopping) = (self.balancer.clone(), to_strings(names));
        self.background.push(tokio::spawn(async move {
            tokio::time::sleep(BALANCER_LAG).await;
            let mut balancer = balancer.lock().expect("the lock is not poisoned");
            balancer.retain(|(name, _)| !stopping.contains(name));
        }));
    }

    /// Sends calls at a fixed rate in the background, to the balancer's nodes in turn.
    pub(crate) fn start_load(&mut self, spec: RequestSpec, per_second: u64, span: Duration) {
        let (balancer, callers) = (self.balancer.clone(), self.callers.clone());
        let end = Instant::now() + span;
        self.background.push(tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / per_second));
            let mut next = 0;
            while Instant::now() < end {
                ticks.tick().await;
                let nodes = balancer.lock().expect("the lock is not poisoned").clone();
                if let Some((node, addr)) = nodes.get(next % nodes.len().max(1)) {
                    callers.send(node, *addr, &spec);
                }
                next += 1;
            }
        }));
    }

    /// Sends `count` orders to each of the balancer's nodes.
    pub(crate) fn send_orders(&self, count: u32, run_ms: u64) {
        let nodes = self
            .balancer
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        for (node, addr) in nodes {
            for number in 0..count {
                let spec = request(ORDER, run_ms).key(&format!("{node}-{number}"));
                self.callers.send(&node, addr, &spec);
            }
        }
    }

    /// Repeats all orders sent so far, at one node.
    pub(crate) fn repeat_orders(&mut self, node: &str) {
        let addr = self.entry(node).http;
        let calls = self.callers.calls();
        let mut keys: Vec<String> = calls.into_iter().filter_map(|call| call.key).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            self.callers
                .send(node, addr, &request(ORDER, 300).key(&key));
        }
    }

    /// Makes a worker announce to its owner that it is leaving.
    pub(crate) fn announce_leaving(&mut self, worker: &str) {
        let worker = self.worker(worker);
        worker.set_leaving(true);
        self.leaving.push((worker.vm(), self.clock.now()));
    }

    /// Marks a worker as leaving in the VM list, which shows it `lag` later.
    pub(crate) fn list_as_leaving(&mut self, worker: &str, lag: Millis) {
        self.cluster.vms().set_state(worker, VmState::Leaving);
        let since = self.clock.now() + lag + Millis::from(PROPAGATION_LIMIT);
        self.leaving.push((worker.into(), since));
    }

    /// Waits for all stops, load generators and calls.
    pub(crate) async fn finish(&mut self) {
        for task in std::mem::take(&mut self.background) {
            task.await.expect("no background task panics");
        }
        self.callers.finish().await;
    }

    /// Crashes a node; the balancer removes it immediately.
    pub(crate) fn crash(&mut self, name: &str) {
        self.entry(name).crash();
        self.update_balancer();
    }

    /// Sets the balancer's nodes to those that are up.
    fn update_balancer(&self) {
        let up = self.entries.iter().filter(|entry| entry.is_up());
        let nodes = up.map(|entry| (entry.name.clone(), entry.http)).collect();
        *self.balancer.lock().expect("the lock is not poisoned") = nodes;
    }

    fn index(&self, name: &str) -> usize {
        let position = self.entries.iter().position(|entry| entry.name == name);
        position.expect("the scenario names a node of the cell")
    }

    pub(crate) fn entry(&mut self, name: &str) -> &mut EntryNode {
        let index = self.index(name);
        &mut self.entries[index]
    }

    pub(crate) fn worker(&self, name: &str) -> FakeWorker {
        let workers = self.cluster.workers();
        let worker = workers.into_iter().find(|w| w.vm().as_str() == name);
        worker.expect("the scenario names a worker of the cell")
    }

    /// Partitions a data centre from the others: no node reaches a node or a worker on the other
    /// side.
    pub(crate) fn partition_peers(&self, data_centre: &str) {
        let is_inside = |name: &str| name.starts_with(data_centre);
        for entry in &self.entries {
            let inside = is_inside(&entry.data_centre);
            let others = self.entries.iter();
            let others = others.filter(|other| is_inside(&other.data_centre) != inside);
            entry
                .relay
                .block(others.map(|other| other.mesh.ip()).collect());
        }
        for worker in self.cluster.workers() {
            let inside = is_inside(worker.vm().as_str());
            let others = self.entries.iter();
            let others = others.filter(|other| is_inside(&other.data_centre) != inside);
            let names: Vec<_> = others.map(|other| other.name.as_str().into()).collect();
            worker.set_faults(|faults| faults.silent = names);
        }
    }

    /// Partitions the nodes of a data centre from the platform.
    pub(crate) fn partition_platform(&self, data_centre: &str) {
        let nodes = self.entries.iter();
        let nodes = nodes.filter(|entry| entry.data_centre == data_centre);
        let names: Vec<_> = nodes.map(|entry| entry.name.as_str().into()).collect();
        self.platform_faults(|faults| faults.silent.clone_from(&names));
    }

    /// Sets faults of the table, the store and the VM list.
    pub(crate) fn platform_faults(&self, change: impl Fn(&mut Faults)) {
        self.cluster.table().set_faults(&change);
        self.cluster.store().set_faults(&change);
        self.cluster.vms().set_faults(&change);
    }

    /// Clears all injected faults; leaving workers keep leaving, and crashed nodes stay down.
    pub(crate) fn clear_faults(&mut self) {
        self.platform_faults(|faults| *faults = Faults::default());
        self.cluster.vms().freeze(false);
        for worker in self.cluster.workers() {
            worker.set_faults(|faults| *faults = Faults::default());
        }
        for entry in &mut self.entries {
            entry.relay.block(HashSet::new());
            entry.resume();
        }
    }

    /// Edits the document at a node, based on the revision in force there.
    pub(crate) async fn edit(&mut self, node: &str) -> Result<Revision, Outcome> {
        let current = self.entry(node).status().await;
        let current = current.and_then(|status| status.documents.first().map(|entry| entry.1));
        let tag = format!("\"{}\"", current.unwrap_or_default());
        self.put(node, ("if-match", &tag)).await
    }

    async fn put(&mut self, node: &str, condition: (&str, &str)) -> Result<Revision, Outcome> {
        self.edits += 1;
        let text = format!("# Edit {} at {node}.\n{DOCUMENT}", self.edits);
        let addr = self.entry(node).http;
        let accepted = put(addr, condition, &text).await;
        if let Ok(revision) = accepted {
            self.monitor.record_accepted(revision, &text);
        }
        accepted
    }

    /// Edits the document at two nodes at the same time, based on the same revision.
    pub(crate) async fn edit_concurrently(
        &mut self,
        nodes: [&str; 2],
    ) -> [Result<Revision, Outcome>; 2] {
        let current = self.monitor.newest();
        let tag = format!("\"{current}\"");
        let addrs = nodes.map(|node| self.entry(node).http);
        let texts = nodes.map(|node| format!("# Race from {current} at {node}.\n{DOCUMENT}"));
        let first = put(addrs[0], ("if-match", &tag), &texts[0]);
        let second = put(addrs[1], ("if-match", &tag), &texts[1]);
        let (first, second) = tokio::join!(first, second);
        for (accepted, text) in [&first, &second].into_iter().zip(&texts) {
            if let Ok(revision) = accepted {
                self.monitor.record_accepted(*revision, text);
            }
        }
        [first, second]
    }

    /// Waits until the newest accepted revision is in force on all live nodes.
    pub(crate) async fn wait_until_in_force(&self, limit: Duration) {
        let newest = self.monitor.newest();
        wait_until(
            limit,
            "the newest revision to be in force on all nodes",
            async || {
                for entry in self.entries.iter().filter(|entry| entry.is_up()) {
                    let status = entry.status().await;
                    let current =
                        status.and_then(|status| status.documents.first().map(|doc| doc.1));
                    if current < Some(newest) {
                        return false;
                    }
                }
                true
            },
        )
        .await;
    }

    /// Waits until the live nodes see each other as alive and own all workers of their data
    /// centres.
    pub(crate) async fn wait_until_converged(&self) {
        wait_until(WAIT_TIMEOUT, "the live nodes to converge", async || {
            let up = self.entries.iter().filter(|entry| entry.is_up());
            let count = up.clone().count();
            let mut owned = Vec::new();
            for entry in up {
                let Some(status) = entry.status().await else {
                    return false;
                };
                let alive = status.peers.iter().filter(|peer| peer.alive);
                if alive.count() + 1 != count {
                    return false;
                }
                owned.extend(status.vms.into_iter().map(|vm| vm.vm));
            }
            owned.sort();
            owned.dedup();
            owned.len() == self.count_ownable()
        })
        .await;
    }

    /// Returns the number of workers in data centres with a live node.
    fn count_ownable(&self) -> usize {
        let workers = self.cluster.workers();
        let ownable = workers.iter().filter(|worker| {
            let vm = worker.vm();
            let is_local = |entry: &EntryNode| vm.as_str().starts_with(&entry.data_centre);
            let is_up = |entry: &EntryNode| entry.state == NodeState::Up;
            self.entries
                .iter()
                .any(|entry| is_up(entry) && is_local(entry))
        });
        ownable.count()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for task in &self.background {
            task.abort();
        }
    }
}

async fn put(addr: SocketAddr, condition: (&str, &str), text: &str) -> Result<Revision, Outcome> {
    let body = Bytes::from(text.to_owned());
    let (status, headers, _) = send(addr, Method::PUT, DOCUMENT_PATH, &[condition], body).await?;
    if status != StatusCode::OK {
        return Err(Outcome::Refused(status));
    }
    let tag = headers.get("etag").and_then(|value| value.to_str().ok());
    let number = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    Ok(Revision(
        number.expect("the response to an accepted edit has a revision"),
    ))
}

async fn ready(addr: SocketAddr) -> bool {
    let response = send(addr, Method::GET, "/readyz", &[], Bytes::new()).await;
    response.is_ok_and(|(status, _, _)| status == StatusCode::OK)
}

/// Waits until the check returns true.
///
/// # Panics
///
/// Panics after `limit`; `what` describes the condition in the message.
pub(crate) async fn wait_until(limit: Duration, what: &str, mut check: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !check().await {
        assert!(start.elapsed() < limit, "waited {limit:?} for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn to_strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}
