//! The nodes of the system as separate processes, with the stand-ins of the platform around them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, Sightings, Worker};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// The program that the deploy file runs.
const PROGRAM: &str = "target/release/dotterel-node";

pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

pub struct Cluster {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub nodes: Vec<Node>,
    pub seen: Sightings,
    folder: PathBuf,
}

/// Returns a free port of `ip`.
fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("the listener has an address").port()
}

impl Cluster {
    /// Starts everything, and waits until all nodes are ready.
    pub fn start(nodes: usize, workers: usize, capacity: (u64, u64), record: &Record) -> Option<Self> {
        Self::start_mixed(nodes, &vec![capacity; workers], record)
    }

    /// Does the same with workers of the given capacities, in thousandths of a core and MB.
    pub fn start_mixed(nodes: usize, capacities: &[(u64, u64)], record: &Record) -> Option<Self> {
        let (store, store_address) = Store::start(record);
        let seen = Sightings::default();
        let gangs = Gangs::default();
        let workers = capacities.iter().enumerate();
        let workers = workers.map(|(index, capacity)| Worker::start(index, *capacity, &store, &seen, &gangs, record));
        let workers = workers.collect();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        store.put("op", "config", Some(&configuration()));
        let pid = std::process::id();
        let ips = (0..nodes).map(|index| format!("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 250, 10 + index));
        let ips: Vec<String> = ips.collect();
        let peers: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", free_port(ip))).collect();
        let mut cluster = Self { store, workers, nodes: Vec::new(), seen, folder };
        for (index, ip) in ips.iter().enumerate() {
            let node = cluster.start_node(index, ip, &peers, store_address)?;
            cluster.nodes.push(node);
        }
        let ready = |node: &Node| http::call(node.ready, HOST, "GET", "/ready", "", 500).0 == 200;
        for _ in 0..200 {
            if cluster.nodes.iter().all(ready) {
                record.line("script", "all nodes are ready");
                return Some(cluster);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Starts a node with the settings that `platform/settings.toml.template` gives.
    fn start_node(&self, index: usize, ip: &str, peers: &[String], store: SocketAddr) -> Option<Node> {
        let name = format!("edge-sabana-a-{}", index + 1);
        let front = format!("{ip}:{}", free_port(ip));
        let ready = format!("{ip}:{}", free_port(ip));
        let seeds: Vec<String> = peers.iter().take(3).map(|peer| format!("{peer:?}")).collect();
        let text = format!(
            "node = {name:?}\nip = {ip:?}\npeer_port = {}\npeer = {:?}\npeers = [{}]\nfront = {front:?}\n\
             ready = {ready:?}\nmetrics = \"{ip}:9464\"\ncpu_share = 0.25\n[platform]\nstore = \"{store}\"\n\
             [bounds]\nlease_max_ms = 10000\nstop_ms = 400\nstatus_s = 120\ngrace_s = 6\n",
            free_port(ip),
            peers[index],
            seeds.join(", "),
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).ok()?;
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(Path::new(PROGRAM))
            .env("DOTTERELRELAY_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(err) => {
                println!("{PROGRAM} can't be started: {err}");
                return None;
            }
        };
        Some(Node { front: front.parse().ok()?, ready: ready.parse().ok()?, child })
    }

    /// Kills the node that has led the cell last, by its log.
    pub fn kill_leader(&mut self) {
        let is_leader = |index: &usize| {
            let log = self.folder.join(format!("edge-sabana-a-{}.log", index + 1));
            fs::read_to_string(log).is_ok_and(|log| log.contains("leadership acquired"))
        };
        let leader = (0..self.nodes.len()).rfind(is_leader);
        if let Some(node) = leader.map(|index| &mut self.nodes[index]) {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
    }

    /// Sends a request about a job to a node.
    pub fn call(&self, node: usize, method: &str, id: &str, body: &str) -> (u16, String) {
        let node = &self.nodes[node % self.nodes.len()];
        http::call(node.front, HOST, method, &format!("{PREFIX}{id}"), body, 3000)
    }

    /// Submits a job, with up to five attempts at the nodes in turn. Returns true once it is accepted.
    pub fn submit(&self, id: &str, body: &str, record: &Record) -> bool {
        for attempt in 0..5 {
            let (status, _) = self.call(attempt, "POST", id, body);
            record.line("client", &format!("POST {id}: {status}"));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the state of a job, or the status if it is not 200.
    pub fn state(&self, node: usize, id: &str, record: &Record) -> String {
        let (status, body) = self.call(node, "GET", id, "");
        let state = if status == 200 {
            let state = crate::json::parse(body.as_bytes());
            state.map_or(body, |state| state.text("state").to_owned())
        } else {
            status.to_string()
        };
        record.line("client", &format!("GET {id}: {state}"));
        state
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        if std::env::var_os("KEEP").is_some() {
            println!("logs kept in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-quotes\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"service\":\"quotes\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"priority\":1,\"max_attempts\":4,\
         \"stretch\":2.2,\"target_duration_ms\":1200}}],\
         \"services\":[{{\"name\":\"quotes\",\"health_path\":\"/health\",\"admission_check\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}}}}"
    )
}
