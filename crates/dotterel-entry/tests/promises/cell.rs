//! A cell under test: a platform, workers, entry nodes and their faults.

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

use crate::callers::{Ask, Callers, ORDER, PATIENCE, Told, ask, send};
use crate::node::{Entry, Life};
use crate::watch::Watch;

const REGION: &str = "region-1";
const DOCUMENT_PATH: &str = "/v1/documents/quotes";

/// How long work may still start on a worker after the platform's list said that it leaves, and
/// how long a document may take to be in force everywhere.
pub(crate) const SOON: Duration = Duration::from_secs(3);

/// How long the balancer takes to see that a node is about to stop.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// What a cell's workers and leases are like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// What each worker can hold.
    pub(crate) worker: Size,
    /// The nodes' table of lease terms.
    pub(crate) lease: &'static str,
}

/// Small workers, and leases short enough for scenarios.
const SMALL: Plan = Plan {
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

/// The nodes that the balancer sends callers to.
pub(crate) type Balancer = Arc<Mutex<Vec<(String, SocketAddr)>>>;

/// A cell under test.
pub(crate) struct Cell {
    pub(crate) clock: Clock,
    pub(crate) cluster: Cluster,
    pub(crate) entries: Vec<Entry>,
    pub(crate) callers: Callers,
    pub(crate) watch: Watch,
    /// Workers that leave, and from when on they must get nothing new.
    pub(crate) leaving: Vec<(VmId, Millis)>,
    pub(crate) balancer: Balancer,
    authority: Authority,
    lease: &'static str,
    background: Vec<JoinHandle<()>>,
    edits: u32,
}

impl Cell {
    /// Starts a cell whose data centres are named `a`, `b` and so on, their nodes `a1`, `a2`, and
    /// waits until all workers are owned and the document is in force.
    pub(crate) async fn start(data_centres: u8, nodes: u32, workers: u32) -> Self {
        Self::planned(data_centres, nodes, workers, SMALL).await
    }

    /// Starts a cell as [`Cell::start`] does, with workers and leases of this kind.
    pub(crate) async fn planned(data_centres: u8, nodes: u32, workers: u32, plan: Plan) -> Self {
        let clock = Clock::system();
        let names = (b'a'..b'a' + data_centres).map(|letter| char::from(letter).to_string());
        let names: Vec<String> = names.collect();
        let mut builder = Cluster::builder(clock);
        for name in &names {
            builder = builder.workers(name, REGION, workers, plan.worker);
        }
        let cluster = builder.start().await.expect("loopback has free ports");
        let mut cell = Self {
            clock,
            cluster,
            entries: Vec::new(),
            callers: Callers::default(),
            watch: Watch::default(),
            leaving: Vec::new(),
            balancer: Balancer::default(),
            authority: Authority::generate().expect("an authority is made"),
            lease: plan.lease,
            background: Vec::new(),
            edits: 0,
        };
        for name in &names {
            for number in 1..=nodes {
                cell.add_node(&format!("{name}{number}"), name).await;
            }
        }
        cell.settled().await;
        let node = cell.entries[0].name.clone();
        let first = cell.put(&node, ("if-none-match", "*")).await;
        assert!(first.is_ok(), "{first:?}");
        cell.in_force(PATIENCE).await;
        cell
    }

    async fn add_node(&mut self, name: &str, data_centre: &str) {
        let make = |relay| self.settings(name, data_centre, relay);
        let number = u8::try_from(self.entries.len() + 1).expect("a cell has few nodes");
        let ip = Ipv4Addr::new(127, 0, 1, number).into();
        let entry = Entry::start(name, data_centre, ip, make).await;
        self.cluster.vms().put(ListedVm {
            id: name.into(),
            role: Role::Entry,
            state: VmState::Live,
            data_centre: data_centre.into(),
            region: REGION.into(),
            addr: entry.relay.addr.to_string().into(),
        });
        self.entries.push(entry);
        self.balance();
    }

    fn settings(&self, name: &str, data_centre: &str, relay: SocketAddr) -> Settings {
        let keys = self.authority.issue(&name.into()).expect("keys are made");
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

    /// Starts a node again after its end.
    pub(crate) async fn restart(&mut self, name: &str) {
        let index = self.index(name);
        let data_centre = self.entries[index].data_centre.clone();
        let settings = self.settings(name, &data_centre, self.entries[index].relay.addr);
        self.entries[index].restart(|_| settings).await;
        let addr = self.entries[index].http;
        until(PATIENCE, "the node to be ready", async || ready(addr).await).await;
        self.balance();
    }

    /// Begins the planned stop of nodes, all at once.
    pub(crate) fn stop(&mut self, names: &[&str]) {
        for name in names {
            let index = self.index(name);
            let stopped = self.entries[index].stop();
            self.background.push(tokio::spawn(stopped));
        }
        let (balancer, gone) = (self.balancer.clone(), owned(names));
        self.background.push(tokio::spawn(async move {
            tokio::time::sleep(BALANCER_LAG).await;
            let mut balancer = balancer.lock().expect("no user panics");
            balancer.retain(|(name, _)| !gone.contains(name));
        }));
    }

    /// Sends calls to one node after another in the background.
    pub(crate) fn load(&mut self, ask: Ask, per_second: u64, span: Duration) {
        let (balancer, callers) = (self.balancer.clone(), self.callers.clone());
        let end = Instant::now() + span;
        self.background.push(tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / per_second));
            let mut turn = 0;
            while Instant::now() < end {
                ticks.tick().await;
                let nodes = balancer.lock().expect("no user panics").clone();
                if let Some((node, addr)) = nodes.get(turn % nodes.len().max(1)) {
                    callers.send(node, *addr, &ask);
                }
                turn += 1;
            }
        }));
    }

    /// Sends orders to each node that the balancer knows.
    pub(crate) fn orders(&self, count: u32, run_ms: u64) {
        let nodes = self.balancer.lock().expect("no user panics").clone();
        for (node, addr) in nodes {
            for number in 0..count {
                let ask = ask(ORDER, run_ms).key(&format!("{node}-{number}"));
                self.callers.send(&node, addr, &ask);
            }
        }
    }

    /// Sends every order so far again, to one node.
    pub(crate) fn repeat_orders(&mut self, node: &str) {
        let addr = self.entry(node).http;
        let calls = self.callers.calls();
        let mut keys: Vec<String> = calls.into_iter().filter_map(|call| call.key).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            self.callers.send(node, addr, &ask(ORDER, 300).key(&key));
        }
    }

    /// Lets a worker say that it leaves.
    pub(crate) fn leave(&mut self, worker: &str) {
        let worker = self.worker(worker);
        worker.set_leaving(true);
        self.leaving.push((worker.vm(), self.clock.now()));
    }

    /// Lets the list, which lags, say that a worker leaves.
    pub(crate) fn list_leaving(&mut self, worker: &str, lag: Millis) {
        self.cluster.vms().set_state(worker, VmState::Leaving);
        let since = self.clock.now() + lag + Millis::from(SOON);
        self.leaving.push((worker.into(), since));
    }

    /// Waits for stops, loads and calls.
    pub(crate) async fn finish(&mut self) {
        for task in std::mem::take(&mut self.background) {
            task.await.expect("no task in the background panics");
        }
        self.callers.finish().await;
    }

    /// Ends a node at once.
    pub(crate) fn die(&mut self, name: &str) {
        self.entry(name).die();
        self.balance();
    }

    fn balance(&self) {
        let up = self.entries.iter().filter(|entry| entry.up());
        let nodes = up.map(|entry| (entry.name.clone(), entry.http)).collect();
        *self.balancer.lock().expect("no user panics") = nodes;
    }

    fn index(&self, name: &str) -> usize {
        let found = self.entries.iter().position(|entry| entry.name == name);
        found.expect("the scenario names a node of the cell")
    }

    pub(crate) fn entry(&mut self, name: &str) -> &mut Entry {
        let index = self.index(name);
        &mut self.entries[index]
    }

    pub(crate) fn worker(&self, name: &str) -> FakeWorker {
        let workers = self.cluster.workers();
        let found = workers.into_iter().find(|w| w.vm().as_str() == name);
        found.expect("the scenario names a worker of the cell")
    }

    /// Cuts a data centre from the others: its nodes from theirs, and each side from the other's
    /// workers.
    pub(crate) fn cut_peers(&self, data_centre: &str) {
        let inside = |name: &str| name.starts_with(data_centre);
        for entry in &self.entries {
            let side = inside(&entry.data_centre);
            let others = self.entries.iter();
            let others = others.filter(|other| inside(&other.data_centre) != side);
            entry
                .relay
                .cut(others.map(|other| other.mesh.ip()).collect());
        }
        for worker in self.cluster.workers() {
            let side = inside(worker.vm().as_str());
            let others = self.entries.iter();
            let others = others.filter(|other| inside(&other.data_centre) != side);
            let names: Vec<_> = others.map(|other| other.name.as_str().into()).collect();
            worker.set_faults(|faults| faults.silent = names);
        }
    }

    /// Cuts the nodes of a data centre from the platform.
    pub(crate) fn cut_platform(&self, data_centre: &str) {
        let nodes = self.entries.iter();
        let nodes = nodes.filter(|entry| entry.data_centre == data_centre);
        let names: Vec<_> = nodes.map(|entry| entry.name.as_str().into()).collect();
        self.platform_faults(|faults| faults.silent.clone_from(&names));
    }

    pub(crate) fn platform_faults(&self, change: impl Fn(&mut Faults)) {
        self.cluster.table().set_faults(&change);
        self.cluster.store().set_faults(&change);
        self.cluster.vms().set_faults(&change);
    }

    /// Ends all faults; workers that leave go on leaving, and dead nodes stay dead.
    pub(crate) fn heal(&mut self) {
        self.platform_faults(|faults| *faults = Faults::default());
        self.cluster.vms().freeze(false);
        for worker in self.cluster.workers() {
            worker.set_faults(|faults| *faults = Faults::default());
        }
        for entry in &mut self.entries {
            entry.relay.cut(HashSet::new());
            entry.resume();
        }
    }

    /// Edits the document at a node, from the revision in force there.
    pub(crate) async fn edit(&mut self, node: &str) -> Result<Revision, Told> {
        let held = self.entry(node).status().await;
        let held = held.and_then(|status| status.documents.first().map(|entry| entry.1));
        let tag = format!("\"{}\"", held.unwrap_or_default());
        self.put(node, ("if-match", &tag)).await
    }

    async fn put(&mut self, node: &str, condition: (&str, &str)) -> Result<Revision, Told> {
        self.edits += 1;
        let text = format!("# Edit {} at {node}.\n{DOCUMENT}", self.edits);
        let addr = self.entry(node).http;
        let accepted = put(addr, condition, &text).await;
        if let Ok(revision) = accepted {
            self.watch.accepted(revision, &text);
        }
        accepted
    }

    /// Edits the document at two nodes at the same time, from the same revision.
    pub(crate) async fn race(&mut self, nodes: [&str; 2]) -> [Result<Revision, Told>; 2] {
        let held = self.watch.newest();
        let tag = format!("\"{held}\"");
        let addrs = nodes.map(|node| self.entry(node).http);
        let texts = nodes.map(|node| format!("# Race from {held} at {node}.\n{DOCUMENT}"));
        let first = put(addrs[0], ("if-match", &tag), &texts[0]);
        let second = put(addrs[1], ("if-match", &tag), &texts[1]);
        let (first, second) = tokio::join!(first, second);
        for (accepted, text) in [&first, &second].into_iter().zip(&texts) {
            if let Ok(revision) = accepted {
                self.watch.accepted(*revision, text);
            }
        }
        [first, second]
    }

    /// Waits until the newest accepted revision is in force on all live nodes.
    pub(crate) async fn in_force(&self, limit: Duration) {
        let newest = self.watch.newest();
        until(
            limit,
            "the newest revision in force everywhere",
            async || {
                for entry in self.entries.iter().filter(|entry| entry.up()) {
                    let status = entry.status().await;
                    let held = status.and_then(|status| status.documents.first().map(|doc| doc.1));
                    if held < Some(newest) {
                        return false;
                    }
                }
                true
            },
        )
        .await;
    }

    /// Waits until the live nodes hear each other and own all workers that answer.
    pub(crate) async fn settled(&self) {
        until(PATIENCE, "the nodes to settle", async || {
            let up = self.entries.iter().filter(|entry| entry.up());
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
            owned.len() == self.ownable()
        })
        .await;
    }

    /// Counts the workers of data centres that have a live node.
    fn ownable(&self) -> usize {
        let workers = self.cluster.workers();
        let ownable = workers.iter().filter(|worker| {
            let vm = worker.vm();
            let near = |entry: &Entry| vm.as_str().starts_with(&entry.data_centre);
            let lives = |entry: &Entry| entry.life == Life::Up;
            self.entries.iter().any(|entry| lives(entry) && near(entry))
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

async fn put(addr: SocketAddr, condition: (&str, &str), text: &str) -> Result<Revision, Told> {
    let body = Bytes::from(text.to_owned());
    let (status, headers, _) = send(addr, Method::PUT, DOCUMENT_PATH, &[condition], body).await?;
    if status != StatusCode::OK {
        return Err(Told::Refused(status));
    }
    let tag = headers.get("etag").and_then(|value| value.to_str().ok());
    let number = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    Ok(Revision(number.expect("an accepted edit has a revision")))
}

async fn ready(addr: SocketAddr) -> bool {
    let answer = send(addr, Method::GET, "/readyz", &[], Bytes::new()).await;
    answer.is_ok_and(|(status, _, _)| status == StatusCode::OK)
}

/// Waits until the check comes true.
pub(crate) async fn until(limit: Duration, what: &str, mut check: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !check().await {
        assert!(start.elapsed() < limit, "waited {limit:?} for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}
