//! Processes and calls for the tests.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dotterel_coord::rendezvous;
use dotterel_kernel::{Account, Clock, ErrorBody, NodeId, Record, Size, Status, VmId};
use dotterel_mesh::keys::Authority;
use dotterel_platform::{ListedVm, Role, VmState};
use dotterel_standin::FakeWorker;
use dotterel_standin::cluster::Cluster;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

pub(crate) const DATA_CENTRE: &str = "dc-1";
pub(crate) const REGION: &str = "region-1";

/// The longest that the tests wait for anything.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) const DOCUMENT: &str = r#"
service = "quotes"
team = "consorcio"

[[class]]
name = "bracket-count"
kind = "interactive"
urgency = "urgent"
start_ms = 5000
typical_ms = 500
size = { cores = 0.5, memory_mb = 256 }

[[class]]
name = "roof-order"
kind = "interactive"
repeatable = false
start_ms = 5000
typical_ms = 50
size = { cores = 0.5, memory_mb = 256 }
duplicates = "flag"
"#;

/// A platform, its workers and the authority of the nodes.
pub(crate) struct Site {
    pub(crate) cluster: Cluster,
    pub(crate) authority: Authority,
}

/// A running entry process.
pub(crate) struct Entry {
    pub(crate) node: NodeId,
    pub(crate) http: SocketAddr,
    pub(crate) mesh: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

/// An answer read to its end.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Site {
    /// Starts a platform with workers of 8 slots and 64 connections.
    pub(crate) async fn start(workers: u32) -> Self {
        let capacity = Size {
            milli_cores: 32_000,
            memory_mb: 64 << 10,
            accelerators: 0,
            slots: 8,
            connections: 64,
        };
        let cluster = Cluster::builder(Clock::system())
            .workers(DATA_CENTRE, REGION, workers, capacity)
            .start()
            .await
            .expect("loopback has free ports");
        let authority = Authority::generate().expect("an authority is made");
        Self { cluster, authority }
    }

    /// Starts an entry process and puts it on the platform's list.
    pub(crate) fn entry(&self, name: &str) -> Entry {
        self.entry_beside(name, &[])
    }

    /// Starts an entry process whose settings name its peers.
    pub(crate) fn entry_beside(&self, name: &str, peers: &[&Entry]) -> Entry {
        let mut settings = self.settings(name);
        for peer in peers {
            let (node, addr) = (&peer.node, peer.mesh);
            settings += &format!("[[peer]]\nnode = \"{node}\"\naddr = \"{addr}\"\n");
        }
        let entry = Entry::start(name, &settings);
        self.cluster.vms().put(ListedVm {
            id: name.into(),
            role: Role::Entry,
            state: VmState::Live,
            data_centre: DATA_CENTRE.into(),
            region: REGION.into(),
            addr: entry.mesh.to_string().into(),
        });
        entry
    }

    pub(crate) fn settings(&self, name: &str) -> String {
        let keys = self.authority.issue(&name.into()).expect("keys are made");
        format!(
            "node = \"{name}\"\n\
             data_centre = \"{DATA_CENTRE}\"\n\
             region = \"{REGION}\"\n\
             platform = \"{}\"\n\
             [http]\n\
             listen = \"127.0.0.1:0\"\n\
             body_limit_bytes = 4096\n\
             [mesh]\n\
             listen = \"127.0.0.1:0\"\n\
             certificate = '''{}'''\n\
             key = '''{}'''\n\
             authorities = '''{}'''\n\
             [log]\n\
             format = \"json\"\n",
            self.cluster.platform_addr(),
            keys.certificate,
            keys.key,
            self.authority.pem(),
        )
    }
}

impl Entry {
    pub(crate) fn start(name: &str, settings: &str) -> Self {
        let file = std::env::temp_dir().join(format!(
            "dotterel-{}-{name}-{}.toml",
            std::process::id(),
            uuid::Uuid::now_v7()
        ));
        std::fs::write(&file, settings).expect("the temporary directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_dotterel-entry"))
            .arg("--config")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary is built");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let stderr = child.stderr.take().expect("the stream is piped");
        let lines = log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.lock().expect("no reader panics").push(line);
            }
        });
        let serving = wait_line(&log, "\"serving\"");
        let _ = std::fs::remove_file(&file);
        Self {
            node: name.into(),
            http: address(&serving, "http"),
            mesh: address(&serving, "mesh"),
            child,
            log,
        }
    }

    /// Returns the lines of the log that contain all of the words.
    pub(crate) fn lines(&self, words: &[&str]) -> Vec<String> {
        let log = self.log.lock().expect("no reader panics");
        let all = |line: &&String| words.iter().all(|word| line.contains(word));
        log.iter().filter(all).cloned().collect()
    }

    pub(crate) async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        call(self.http, Method::POST, path, headers, body).await
    }

    /// Posts all bodies at the same time.
    pub(crate) async fn post_all(&self, path: &str, bodies: &[String]) -> Vec<Answer> {
        let (http, path) = (self.http, path.to_owned());
        let calls = bodies.iter().cloned().map(|body| {
            let path = path.clone();
            tokio::spawn(async move { call(http, Method::POST, &path, &[], &body).await })
        });
        let mut answers = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            answers.push(call.await.expect("the call does not panic"));
        }
        answers
    }

    pub(crate) async fn put(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        call(self.http, Method::PUT, path, headers, body).await
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        call(self.http, Method::GET, path, &[], "").await
    }

    pub(crate) async fn status(&self) -> Status {
        self.get("/v1/status").await.json()
    }

    pub(crate) async fn record(&self, answer: &Answer) -> Record {
        let id = answer.header("dotterelrelay-request");
        self.get(&format!("/v1/requests/{id}")).await.json()
    }

    pub(crate) async fn account(&self) -> Account {
        self.get("/v1/account?since_ms=0").await.json()
    }

    /// Applies the document and waits until it is in force on all nodes.
    pub(crate) async fn apply(&self, text: &str, nodes: &[&Self]) {
        let first = [("if-none-match", "*")];
        let path = "/v1/documents/quotes";
        let applied = self.put(path, &first, text).await;
        assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
        for node in nodes {
            until(async || !node.status().await.documents.is_empty()).await;
        }
    }

    /// Asks the process to stop as planned.
    pub(crate) fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the end of the process.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // An error means that the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log.lock().expect("no reader panics");
            eprintln!("log of {}:\n{}", self.node, log.join("\n"));
        }
    }
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().expect("headers are text"))
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|fault| panic!("{fault} in {:?}", self.body))
    }

    pub(crate) fn error(&self) -> ErrorBody {
        self.json()
    }
}

pub(crate) async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("the request is well formed");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = tokio::time::timeout(PATIENCE, client.request(request))
        .await
        .expect("an answer in time")
        .expect("an answer");
    let (head, body) = answer.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Answer {
        status: head.status,
        headers: head.headers,
        body,
    }
}

/// Waits until the check comes true.
pub(crate) async fn until(mut check: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !check().await {
        assert!(start.elapsed() < PATIENCE, "the condition never came true");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the nodes know each other and each holds the leases that it should.
pub(crate) async fn settled(site: &Site, nodes: &[&Entry]) {
    let workers = site.cluster.workers();
    until(async || {
        for node in nodes {
            let status = node.status().await;
            let alive = status.peers.iter().filter(|peer| peer.alive).count();
            let held: Vec<VmId> = status.vms.into_iter().map(|vm| vm.vm).collect();
            let own = workers.iter().map(FakeWorker::vm).filter(|vm| {
                let owner = rendezvous(vm.as_str(), nodes, |node| node.node.as_str());
                owner.is_some_and(|owner| owner.node == node.node)
            });
            if alive + 1 < nodes.len() || held != own.collect::<Vec<_>>() {
                return false;
            }
        }
        true
    })
    .await;
}

fn wait_line(log: &Mutex<Vec<String>>, word: &str) -> String {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let lines = log.lock().expect("no reader panics");
        if let Some(line) = lines.iter().find(|line| line.contains(word)) {
            return line.clone();
        }
        drop(lines);
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("no line with {word}: {:?}", log.lock());
}

fn address(line: &str, field: &str) -> SocketAddr {
    let value: serde_json::Value = serde_json::from_str(line).expect("the log is JSON");
    let text = value["kvs"][field].as_str();
    let text = text.unwrap_or_else(|| panic!("no {field} in {line}"));
    text.parse().unwrap_or((Ipv4Addr::LOCALHOST, 0).into())
}
