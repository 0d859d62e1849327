//! Test support: starts `dotterel-entry` processes and calls them over HTTP.

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

/// Timeout of all calls and conditions that tests wait for.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

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

/// A fake platform, its workers and the certificate authority of the nodes.
pub(crate) struct TestBed {
    pub(crate) cluster: Cluster,
    pub(crate) authority: Authority,
}

/// A running `dotterel-entry` process, which is killed on drop.
pub(crate) struct EntryProcess {
    pub(crate) node: NodeId,
    pub(crate) http: SocketAddr,
    pub(crate) mesh: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestBed {
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
        let authority = Authority::generate().expect("an authority can be generated");
        Self { cluster, authority }
    }

    /// Starts an entry process and adds it to the platform's VM list.
    pub(crate) fn start_entry(&self, name: &str) -> EntryProcess {
        self.start_entry_with_peers(name, &[])
    }

    /// Starts an entry process with peers in its settings, and adds it to the VM list.
    pub(crate) fn start_entry_with_peers(
        &self,
        name: &str,
        peers: &[&EntryProcess],
    ) -> EntryProcess {
        let mut settings = self.settings(name);
        for peer in peers {
            let (node, addr) = (&peer.node, peer.mesh);
            settings += &format!("[[peer]]\nnode = \"{node}\"\naddr = \"{addr}\"\n");
        }
        let entry = EntryProcess::start(name, &settings);
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
        let keys = self
            .authority
            .issue(&name.into())
            .expect("keys can be issued");
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

impl EntryProcess {
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
                lines.lock().expect("the lock is not poisoned").push(line);
            }
        });
        let serving = wait_for_line(&log, "\"serving\"");
        let _ = std::fs::remove_file(&file);
        Self {
            node: name.into(),
            http: address(&serving, "http"),
            mesh: address(&serving, "mesh"),
            child,
            log,
        }
    }

    /// Returns the log lines that contain all of the words.
    pub(crate) fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = self.log.lock().expect("the lock is not poisoned");
        let has_all = |line: &&String| words.iter().all(|word| line.contains(word));
        log.iter().filter(has_all).cloned().collect()
    }

    pub(crate) async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        call(self.http, Method::POST, path, headers, body).await
    }

    /// Sends one concurrent POST request per body.
    pub(crate) async fn post_all(&self, path: &str, bodies: &[String]) -> Vec<Response> {
        let (http, path) = (self.http, path.to_owned());
        let calls = bodies.iter().cloned().map(|body| {
            let path = path.clone();
            tokio::spawn(async move { call(http, Method::POST, &path, &[], &body).await })
        });
        let mut responses = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            responses.push(call.await.expect("the call does not panic"));
        }
        responses
    }

    pub(crate) async fn put(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        call(self.http, Method::PUT, path, headers, body).await
    }

    pub(crate) async fn get(&self, path: &str) -> Response {
        call(self.http, Method::GET, path, &[], "").await
    }

    pub(crate) async fn status(&self) -> Status {
        self.get("/v1/status").await.json()
    }

    pub(crate) async fn record(&self, response: &Response) -> Record {
        let id = response.header("dotterelrelay-request");
        self.get(&format!("/v1/requests/{id}")).await.json()
    }

    pub(crate) async fn account(&self) -> Account {
        self.get("/v1/account?since_ms=0").await.json()
    }

    /// Creates the document and waits until it is in force on the given nodes.
    pub(crate) async fn apply(&self, text: &str, nodes: &[&Self]) {
        let first = [("if-none-match", "*")];
        let path = "/v1/documents/quotes";
        let applied = self.put(path, &first, text).await;
        assert_eq!(applied.status, StatusCode::OK, "{applied:?}");
        for node in nodes {
            wait_until(async || !node.status().await.documents.is_empty()).await;
        }
    }

    /// Sends SIGTERM to the process, which starts a planned stop.
    pub(crate) fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to exit and returns its exit code; `None` if it does not exit in time.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process is a child of the test")
            {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log.lock().expect("the lock is not poisoned");
            eprintln!("log of {}:\n{}", self.node, log.join("\n"));
        }
    }
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().expect("headers are text"))
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| panic!("{err} in {:?}", self.body))
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
) -> Response {
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
    let response = tokio::time::timeout(TIMEOUT, client.request(request))
        .await
        .expect("a response within the timeout")
        .expect("the node responds");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a complete body").to_bytes();
    Response {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

/// Waits until the check returns true.
///
/// # Panics
///
/// Panics after [`TIMEOUT`].
pub(crate) async fn wait_until(mut check: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !check().await {
        assert!(
            start.elapsed() < TIMEOUT,
            "the condition was not met in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the nodes see each other as alive and each owns exactly the workers assigned to it.
pub(crate) async fn wait_until_converged(testbed: &TestBed, nodes: &[&EntryProcess]) {
    let workers = testbed.cluster.workers();
    wait_until(async || {
        for node in nodes {
            let status = node.status().await;
            let alive = status.peers.iter().filter(|peer| peer.alive).count();
            let owned: Vec<VmId> = status.vms.into_iter().map(|vm| vm.vm).collect();
            let assigned = workers.iter().map(FakeWorker::vm).filter(|vm| {
                let owner = rendezvous(vm.as_str(), nodes, |node| node.node.as_str());
                owner.is_some_and(|owner| owner.node == node.node)
            });
            if alive + 1 < nodes.len() || owned != assigned.collect::<Vec<_>>() {
                return false;
            }
        }
        true
    })
    .await;
}

/// Waits for a log line that contains the word, and returns it.
fn wait_for_line(log: &Mutex<Vec<String>>, word: &str) -> String {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        let lines = log.lock().expect("the lock is not poisoned");
        if let Some(line) = lines.iter().find(|line| line.contains(word)) {
            return line.clone();
        }
        drop(lines);
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("no line with {word}: {:?}", log.lock());
}

/// Returns the address in a field of a JSON log line.
fn address(line: &str, field: &str) -> SocketAddr {
    let value: serde_json::Value = serde_json::from_str(line).expect("the log is JSON");
    let addr = value["kvs"][field].as_str();
    let addr = addr.unwrap_or_else(|| panic!("no {field} in {line}"));
    addr.parse().unwrap_or((Ipv4Addr::LOCALHOST, 0).into())
}
