//! A small deployment of stand-ins around the system under test, and its clients.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cluster::{Cluster, free_address};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::vm::{Plan, Seen, Vm};

/// The queues' host and prefixes.
pub const HOST: &str = "nony24.example";
pub const BATCH: &str = "/lohu930/";
pub const COUNT: &str = "/pule252/";
pub const SERVICE: &str = "huvo11a";
/// How long clients wait for a response.
pub const CLIENT_WAIT: Duration = Duration::from_millis(3000);

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub vms: Vec<Arc<Vm>>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub cluster: Cluster,
    pub trouble: bool,
}

/// Returns a route of the operator's configuration.
pub fn route(name: &str, prefix: &str, priority: u32, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
         \"timeout_ms\":3000,\"target_duration_ms\":3000,\"priority\":{priority},\
         \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"stretch\":4.0}}"
    )
}

/// Returns a version of the operator's configuration.
pub fn config(version: u32, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_check\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

impl World {
    /// Starts the store, the workers and the system, and waits until the system is ready.
    pub fn start(
        folder: &Path,
        nodes: usize,
        vms: &[&str],
        plan: Plan,
        first_config: &str,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(&format!("trouble: {trouble}"));
        let address = free_address()?;
        let store = Store::start(address, Arc::clone(&record))?;
        store.put("op", "config", first_config);
        let plan = Arc::new(plan);
        let seen = Arc::new(Mutex::new(Vec::new()));
        let vms = vms.iter().enumerate().map(|(number, label)| {
            Vm::start(number, free_address()?, label, &plan, &store, &record, &seen)
        });
        let vms = vms.collect::<io::Result<Vec<_>>>()?;
        let name = format!("review-3-{}", std::process::id());
        let temporary: PathBuf = std::env::temp_dir().join(name);
        // Each process has an address of its own for the store, so that one can be cut off from it.
        let mut addresses = vec![address];
        for process in 1..nodes {
            let address = free_address()?;
            store.listen(address, process)?;
            addresses.push(address);
        }
        let mut cluster = Cluster::new(&addresses, temporary)?;
        cluster.start_all()?;
        if !cluster.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("the system isn't ready"));
        }
        // As on the bench, traffic starts some seconds after the machines do.
        std::thread::sleep(Duration::from_secs(2));
        Ok(Self {
            record,
            store,
            vms,
            seen,
            cluster,
            trouble,
        })
    }

    /// Sends a client's request to a node. Returns the status and the body, or none without an answer.
    pub fn send(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        self.send_with_key(node, method, path, body, "")
    }

    /// Does the same with the key of a tenant; empty for none.
    pub fn send_with_key(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> Option<(u16, String)> {
        let node = &self.cluster.nodes[node % self.cluster.nodes.len()];
        let wait = CLIENT_WAIT.as_millis().to_string();
        let mut headers = vec![("Host", HOST), ("Deadline-Ms", wait.as_str())];
        let bearer = format!("Bearer {key}");
        if !key.is_empty() {
            headers.push(("Authorization", bearer.as_str()));
        }
        let answer = http::call(node.front, method, path, &headers, body, CLIENT_WAIT).ok();
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        let sent: String = body.chars().take(160).collect();
        self.record
            .line(&format!("{method} {path} {key} to {}: {shown} {sent}", node.name));
        answer
    }

    /// Submits a job, with four retries at other nodes. Returns the last status.
    pub fn submit(&self, node: usize, prefix: &str, id: u64, body: &str) -> Option<u16> {
        let mut last = None;
        for attempt in 0..5 {
            let answer = self.send(node + attempt, "POST", &format!("{prefix}{id:016x}"), body);
            last = answer.map(|(status, _)| status);
            match last {
                Some(200..=299 | 400..=428) => break,
                _ => std::thread::sleep(Duration::from_millis(1000)),
            }
        }
        last
    }

    /// Asks for the state of a job, with two retries at other nodes.
    pub fn state(&self, node: usize, prefix: &str, id: u64) -> Option<(u16, String)> {
        (0..3).find_map(|attempt| {
            let answer = self.send(node + attempt, "GET", &format!("{prefix}{id:016x}"), "");
            let (status, body) = answer?;
            let state = Json::parse(&body);
            let state = state.map(|state| state.get("state").text().to_owned());
            (status == 200 || status == 410).then(|| (status, state.unwrap_or_default()))
        })
    }

    /// Returns the number of runs that workers have at the moment.
    pub fn running(&self) -> usize {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|run| run.ended.is_none()).count()
    }
}
