//! The system under test: processes of the deploy file on loopback addresses.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// `bounds` of the deployment; the figures are those of carn-relay.
pub const HOLD_MAX: Duration = Duration::from_secs(10);

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case runs for 120 s at most.
const LONGEST: Duration = Duration::from_secs(116);

/// Ends the case, and the processes that it has started, if it takes too long.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        let started = STARTED.lock().unwrap().clone();
        for id in started {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        eprintln!("the case takes too long");
        exit(2);
    });
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    program: PathBuf,
}

/// Ports for cases, below those that the system gives to connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
/// How many ports a case has to itself, so that cases can run at the same time.
const PORTS_EACH: u32 = 200;

/// Returns a free port of the loopback address, each time another one.
pub fn free_address() -> io::Result<SocketAddr> {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let shares = PORTS.len() as u32 / PORTS_EACH;
    let first = PORTS.start + std::process::id() % shares * PORTS_EACH;
    loop {
        let given = GIVEN.fetch_add(1, Ordering::SeqCst);
        if given >= PORTS_EACH {
            return Err(io::Error::other("no free port"));
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", (first + given) as u16)) {
            return listener.local_addr();
        }
    }
}

impl Cluster {
    pub fn new(stores: &[SocketAddr], folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        let mut addresses = Vec::new();
        for _ in stores {
            let mut each = Vec::new();
            for _ in 0..4 {
                each.push(free_address()?);
            }
            addresses.push(each);
        }
        let peers: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|each| format!("\"{}\"", each[0]))
            .collect();
        let mut nodes = Vec::new();
        for (number, (each, store)) in addresses.iter().zip(stores).enumerate() {
            let name = format!("edge-z1-{}", number + 1);
            // What platform/settings.toml.template makes of the settings of carn-relay.
            let text = format!(
                "node = \"{name}\"\nip = \"127.0.0.1\"\npeer_port = {}\npeer = \"{}\"\npeers = [{}]\n\
                 front = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\ncpu_share = 0.25\n\
                 link_mbps = 1000.0\nmemory_mb = 260\nmax_fds = 4200\n\n[platform]\n\
                 store = \"{store}\"\n\n[bounds]\nlease_max_ms = {}\nstop_ms = 400\nstatus_s = 120\n\
                 grace_s = 6\ncross_rack_factor = 1.5\n",
                each[0].port(),
                each[0],
                peers.join(","),
                each[1],
                each[2],
                each[3],
                HOLD_MAX.as_millis(),
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text)?;
            nodes.push(Node {
                log: folder.join(format!("{name}.log")),
                name,
                front: each[1],
                ready: each[2],
                settings,
                child: None,
            });
        }
        let program = PathBuf::from("target/release/dotterel-node");
        Ok(Self {
            nodes,
            folder,
            program,
        })
    }

    pub fn start(&mut self, number: usize) -> io::Result<()> {
        let node = &mut self.nodes[number];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("DOTTERELRELAY_BOOT", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        node.child = Some(child);
        Ok(())
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.nodes.len()).try_for_each(|number| self.start(number))
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |node: &Node| {
            let wait = Duration::from_millis(500);
            let answer = http::call(node.ready, "GET", "/ready", &[("Host", "x")], "", wait);
            answer.is_ok_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.nodes.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the number of processes that have ended by themselves.
    pub fn ended(&mut self) -> usize {
        let ended = self.nodes.iter_mut().filter_map(|node| {
            let child = node.child.as_mut()?;
            matches!(child.try_wait(), Ok(Some(_))).then_some(())
        });
        ended.count()
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.nodes[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns the log of a node.
    pub fn log(&self, number: usize) -> String {
        fs::read_to_string(&self.nodes[number].log).unwrap_or_default()
    }

    /// Returns the line of the log that contains all words.
    pub fn has_logged(&self, words: &[&str]) -> Option<String> {
        (0..self.nodes.len()).find_map(|number| {
            let log = self.log(number);
            let line = log
                .lines()
                .find(|line| words.iter().all(|word| line.contains(word)))?;
            Some(format!("{}: {line}", self.nodes[number].name))
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for number in 0..self.nodes.len() {
            self.kill(number);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
