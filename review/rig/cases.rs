//! The trials.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::wire::{Gate, call, forward};
use crate::world::{Event, Node, Record, Store, Worker, fail, find_doubles, pause};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
/// `cancel_ms` of the site file.
const CANCEL_MS: u64 = 3000;

/// Runs a trial, and returns true if the rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> bool {
    match case {
        "many-ends" => many_ends(folder, trouble),
        "crash-blame" => crash_blame(folder, trouble),
        "partition" => partition(folder, trouble),
        "ejected" => ejected(folder, trouble),
        "reborn-kind" => reborn_kind(folder, trouble),
        "reborn-smaller" => reborn_smaller(folder, trouble),
        "queued-starts" => queued_starts(folder, trouble),
        "reborn-lease" => reborn_lease(folder, trouble),
        _ => fail("no such case"),
    }
}

/// A small deployment: nodes, workers, and the paths between them.
struct Site {
    record: Arc<Record>,
    store: Arc<Store>,
    nodes: Vec<Node>,
    workers: Vec<Arc<Worker>>,
    /// Paths from a node to a worker, by node and worker.
    paths: Vec<Vec<Arc<Gate>>>,
    /// Paths from a node to another one, if they can be cut.
    links: Vec<Vec<Arc<Gate>>>,
}

impl Site {
    /// Sets up nodes and workers of kind `a` with this many thousandths of a core each.
    fn new(folder: &Path, nodes: usize, workers: &[u64]) -> Self {
        let workers: Vec<_> = workers.iter().map(|cpu| ("a", *cpu)).collect();
        Self::with_kinds(folder, nodes, &workers)
    }

    /// Sets up nodes and workers, each with its kind and its thousandths of a core.
    fn with_kinds(folder: &Path, nodes: usize, workers: &[(&str, u64)]) -> Self {
        let record = Record::new(&folder.join("record.txt"));
        let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).expect("a temporary folder");
        let store = Store::new();
        let nodes: Vec<Node> = (0..nodes)
            .map(|number| Node::new(&scratch, &format!("edge-{number}"), &store))
            .collect();
        let workers: Vec<Arc<Worker>> = workers
            .iter()
            .enumerate()
            .map(|(number, (kind, cpu))| {
                let (id, rack) = (format!("w{number}"), format!("r1-{}", number / 8));
                Worker::start(&id, &rack, kind, *cpu, &store, &record)
            })
            .collect();
        let mut paths = Vec::new();
        for node in &nodes {
            let gates: Vec<Arc<Gate>> = workers.iter().map(|_| Arc::default()).collect();
            let addresses = workers.iter().zip(&gates);
            let addresses = addresses
                .map(|(worker, gate)| (worker.address.clone(), worker.listen(Arc::clone(gate))));
            *node.path.addresses.lock().unwrap() = addresses.collect();
            paths.push(gates);
        }
        Self {
            record,
            store,
            nodes,
            workers,
            paths,
            links: Vec::new(),
        }
    }

    /// Lets connections between nodes pass through gates. Must be called before the start.
    fn gate_links(&mut self) {
        for (number, node) in self.nodes.iter().enumerate() {
            let gates: Vec<Arc<Gate>> = self.nodes.iter().map(|_| Arc::default()).collect();
            for (other, gate) in self.nodes.iter().zip(&gates) {
                if other.name != self.nodes[number].name {
                    let seen = forward(Arc::clone(gate), other.peer.clone()).to_string();
                    let mut addresses = node.path.addresses.lock().unwrap();
                    addresses.push((other.peer.clone(), seen));
                }
            }
            self.links.push(gates);
        }
    }

    /// Starts all nodes, the first one ahead so that it leads.
    fn start(&self) {
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"q\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"{PREFIX}\",\"service\":\"svc\",\"timeout_ms\":3000,\"priority\":1,\
             \"max_attempts\":4,\"stretch\":2,\"target_duration_ms\":60000}}],\
             \"services\":[{{\"name\":\"svc\",\"admission_check\":false}}],\"limits\":{{}}}}"
        );
        self.store.put("op", "config", Some(&config));
        for (number, node) in self.nodes.iter().enumerate() {
            node.start();
            if number == 0 {
                self.await_answer(0);
            }
        }
        for number in 1..self.nodes.len() {
            self.await_answer(number);
        }
        pause(500);
    }

    fn await_answer(&self, node: usize) {
        for _ in 0..100 {
            let answer = call(&self.nodes[node].front, "GET", PREFIX, HOST, "", 500);
            if answer.is_ok_and(|(status, _)| status == 200) {
                return;
            }
            pause(100);
        }
        fail("a node isn't ready");
    }

    /// Sends a request about a job, and returns the status; 0 for no answer.
    fn send(&self, node: usize, method: &str, id: &str, body: &str) -> u16 {
        let path = format!("{PREFIX}{id}");
        let sent = self.record.now();
        let answer = call(&self.nodes[node].front, method, &path, HOST, body, 3000);
        let (status, text) = answer.unwrap_or((0, "no answer".into()));
        self.record.note(&format!(
            "{method} {id} at {}: sent at {sent} ms, answer {status} {text}",
            self.nodes[node].name
        ));
        status
    }

    /// Submits a job with one step.
    fn submit(&self, node: usize, id: &str, work_ms: u64, count: u64, cpu: u64) {
        let body = format!(
            "{{\"spec\":\"{work_ms} 0\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
             \"mem_mb\":64,\"est_ms\":{work_ms}}}]}}"
        );
        if self.send(node, "POST", id, &body) != 200 {
            fail("a job isn't accepted");
        }
    }

    /// Waits until a job is shown as ended, and returns the last answer.
    fn await_end(&self, node: usize, id: &str, limit_ms: u64) -> String {
        let until = self.record.now() + limit_ms;
        loop {
            let path = format!("{PREFIX}{id}");
            let answer = call(&self.nodes[node].front, "GET", &path, HOST, "", 3000);
            let (status, text) = answer.unwrap_or_default();
            let states = ["completed", "failed", "cancelled"];
            let ended = states.iter().any(|state| text.contains(state));
            if ended || self.record.now() > until {
                self.record.note(&format!("GET {id}: {status} {text}"));
                return text;
            }
            pause(100);
        }
    }

    /// Waits until a task of a job runs, and returns its worker.
    fn await_run(&self, id: &str, limit_ms: u64) -> Option<usize> {
        let until = self.record.now() + limit_ms;
        while self.record.now() < until {
            for (number, worker) in self.workers.iter().enumerate() {
                if worker.running().iter().any(|task| task.starts_with(id)) {
                    return Some(number);
                }
            }
            pause(5);
        }
        None
    }

    fn cut_worker(&self, worker: usize, cut: bool) {
        for gates in &self.paths {
            gates[worker].set_cut(cut);
        }
    }

    fn events(&self) -> Vec<(u64, Event)> {
        self.record.events.lock().unwrap().clone()
    }

    fn verdict(&self, broken: &[String]) -> bool {
        for line in broken.iter().take(20) {
            self.record.note(&format!("BROKEN {line}"));
        }
        self.record.note(&format!("{} breaks", broken.len()));
        !broken.is_empty()
    }
}

fn job_id(number: usize) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

/// The store is down while the workers end more runs than one answer lists.
fn many_ends(folder: &Path, trouble: bool) -> bool {
    const JOBS: usize = 42;
    let site = Site::new(folder, 2, &[32_000; 2]);
    site.start();
    for number in 0..JOBS {
        site.submit(number % 2, &job_id(number), 1100, 48, 200);
    }
    if trouble {
        site.record.note("the store is down");
        site.store.down.set_cut(true);
        pause(4200);
        site.store.down.set_cut(false);
        site.record.note("the store is up");
    }
    for number in 0..JOBS {
        site.await_end(1, &job_id(number), 30_000);
    }
    let found = find_doubles(&site.events(), site.record.now());
    site.verdict(&found)
}

/// The worker that runs a task loses power, and the next one as well. Both start again.
fn crash_blame(folder: &Path, trouble: bool) -> bool {
    let site = Site::new(folder, 2, &[16_000; 14]);
    site.start();
    let id = job_id(0);
    site.submit(0, &id, 4000, 1, 1400);
    for _ in 0..2 {
        let Some(worker) = site.await_run(&id, 20_000).filter(|_| trouble) else {
            break;
        };
        pause(300);
        site.cut_worker(worker, true);
        site.workers[worker].lose_power();
        pause(1500);
        site.workers[worker].restart("a", 16_000, 0);
        site.cut_worker(worker, false);
    }
    let state = site.await_end(1, &id, 40_000);
    let failures = site
        .events()
        .into_iter()
        .filter(|(_, event)| matches!(event, Event::End { how, .. } if *how == "failed"));
    let failures = failures.count();
    let mut broken = Vec::new();
    if state.contains("failed") && failures < 4 {
        broken.push(format!(
            "LOST: the job is shown as failed; {failures} of its runs have ended failed, and \
             max_attempts is 4"
        ));
    }
    site.verdict(&broken)
}

/// The leader and one worker are cut off from all others, but not from each other.
fn partition(folder: &Path, trouble: bool) -> bool {
    /// Length of the cut, that of `node_cut` and `core_cut` in the site file.
    const CUT_MS: u64 = 5500;
    let mut site = Site::new(folder, 6, &[16_000; 6]);
    site.gate_links();
    site.start();
    let id = job_id(0);
    site.submit(1, &id, 30_000, 1, 4000);
    let Some(near) = site.await_run(&id, 5000) else {
        fail("the task doesn't start");
    };
    pause(2000);
    let set_cut = |cut: bool| {
        site.nodes[0].path.gate.set_cut(cut);
        site.workers[near].store_gate.set_cut(cut);
        for other in 1..site.nodes.len() {
            site.paths[other][near].set_cut(cut);
            site.links[0][other].set_cut(cut);
            site.links[other][0].set_cut(cut);
        }
        for other in (0..site.workers.len()).filter(|other| *other != near) {
            site.paths[0][other].set_cut(cut);
        }
    };
    if trouble {
        let text = format!("edge-0, the leader, and w{near} are cut off from all others");
        site.record.note(&text);
        set_cut(true);
    }
    pause(CUT_MS);
    if trouble {
        set_cut(false);
        site.record.note("the cut has healed");
    }
    pause(6000);
    let found = find_doubles(&site.events(), site.record.now());
    site.verdict(&found)
}

/// The only worker of a kind fails all that it starts for a while, beside a task that lasts.
fn ejected(folder: &Path, trouble: bool) -> bool {
    /// Length of the disruption, and times until jobs are asked for and for which nothing runs then,
    /// as in the site file and the rule.
    const FAILING_MS: u64 = 6500;
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3000;
    let mut workers = [("a", 16_000); 12];
    workers[0].0 = "b";
    let site = Site::with_kinds(folder, 2, &workers);
    site.start();
    let lasting = "{\"spec\":\"900000 0\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":512,\
                   \"est_ms\":2000,\"long_running\":true,\"required_label\":\"b\"}]}";
    site.send(0, "POST", &job_id(0xffff), lasting);
    if site.await_run(&job_id(0xffff), 5000).is_none() {
        fail("the task that lasts doesn't start");
    }
    let body = "{\"spec\":\"300 0\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                \"est_ms\":300,\"required_label\":\"b\"}]}";
    let mut number = 0;
    let mut accepted = Vec::new();
    let mut send_until = |until: u64| {
        while site.record.now() < until {
            if site.send(1, "POST", &job_id(number), body) == 200 {
                accepted.push((site.record.now(), job_id(number)));
            }
            number += 1;
            pause(1000);
        }
    };
    send_until(site.record.now() + 3000);
    if trouble {
        site.record.note("w0 fails all that it starts");
        site.workers[0].failing.store(true, Ordering::SeqCst);
    }
    send_until(site.record.now() + FAILING_MS);
    site.workers[0].failing.store(false, Ordering::SeqCst);
    let sound_at = site.record.now();
    site.record.note("w0 is sound");
    send_until(sound_at + 20_000);
    site.record.note("the traffic ends");
    pause(FINISH_MS);
    let asked_at = site.record.now();
    pause(IDLE_MS);
    let events = site.events();
    let mut broken = Vec::new();
    for (at, id) in accepted.iter().filter(|(at, _)| *at > sound_at) {
        let starts = |since: u64| {
            let mut events = events.iter();
            events.any(|(at, event)| {
                *at >= since
                    && matches!(event, Event::Start { task, .. } if task.starts_with(id.as_str()))
            })
        };
        let state = site.await_end(1, id, 0);
        let is_open = state.contains("queued") || state.contains("running");
        if is_open && !starts(asked_at) && site.await_run(id, 1).is_none() {
            broken.push(format!(
                "LOST: {id}, accepted at {at} ms, is {state} and has nothing running; it was \
                 started at any time: {}",
                starts(0)
            ));
        }
    }
    let used = 4 * site.workers[0].running().len();
    site.record
        .note(&format!("{used} of 16 cores of w0 are in use"));
    site.verdict(&broken)
}

/// A worker crashes and starts again as another kind, and back.
fn reborn_kind(folder: &Path, trouble: bool) -> bool {
    const CPU: u64 = 16_000;
    let mut workers = [("a", CPU); 7];
    workers[6].0 = "b";
    let site = Site::with_kinds(folder, 2, &workers);
    site.start();
    let body = "{\"spec\":\"300 0\",\"steps\":[{\"count\":11,\"cpu\":1400,\"mem_mb\":64,\
                \"est_ms\":300,\"required_label\":\"b\"}]}";
    // Kinds of the worker, and since when.
    let mut kinds = vec![(0, "b")];
    for round in 0..14 {
        if trouble {
            site.workers[6].crash();
            pause(500);
            let kind = if round % 2 == 0 { "a" } else { "b" };
            kinds.push((site.record.now(), kind));
            site.workers[6].restart(kind, CPU, 0);
        }
        if site.send(round % 2, "POST", &job_id(round), body) != 200 {
            fail("a job isn't accepted");
        }
        pause(3000);
    }
    let mut broken = Vec::new();
    for (at, event) in site.events() {
        if let Event::Start {
            worker, task, run, ..
        } = event
        {
            let kind = kinds.iter().rfind(|(since, _)| *since <= at);
            let (since, kind) = kind.copied().unwrap_or((0, "b"));
            if worker != "w6" || kind != "b" {
                broken.push(format!(
                    "ROUTE: run {run} of {task} started at {at} ms on {worker}, which has the \
                     label {kind} since {since} ms; required is b"
                ));
            }
        }
    }
    site.verdict(&broken)
}

/// A worker crashes and starts again as a smaller one, and back, while the others are full.
fn reborn_smaller(folder: &Path, trouble: bool) -> bool {
    const WORKERS: usize = 7;
    const LARGE: u64 = 16_000;
    const SMALL: u64 = 8000;
    const CPU: u64 = 1400;
    let site = Site::new(folder, 2, &[LARGE; WORKERS]);
    site.start();
    site.submit(0, &job_id(0xffff), 60_000, 11 * (WORKERS as u64 - 1), CPU);
    let Some(idle) = ({
        pause(1000);
        (0..WORKERS).find(|number| site.workers[*number].running().is_empty())
    }) else {
        fail("no worker is idle");
    };
    // Capacities of the worker, and since when.
    let mut sizes = vec![(0, LARGE)];
    for round in 0..14 {
        if trouble {
            site.workers[idle].crash();
            pause(500);
            let size = if round % 2 == 0 { SMALL } else { LARGE };
            sizes.push((site.record.now(), size));
            site.workers[idle].restart("a", size, 0);
        }
        site.submit(round % 2, &job_id(round), 300, 11, CPU);
        pause(3000);
    }
    let name = site.workers[idle].id.clone();
    let mut running = 0;
    let mut broken = Vec::new();
    for (at, event) in site.events() {
        match event {
            Event::Crash { worker } if worker == name => running = 0,
            Event::End { worker, .. } if worker == name => running -= 1,
            Event::Start { worker, task, .. } if worker == name => {
                running += 1;
                let size = sizes.iter().rfind(|(since, _)| *since <= at);
                let (since, size) = size.copied().unwrap_or((0, LARGE));
                if running * CPU > size {
                    broken.push(format!(
                        "LIMIT: {task} started on {name} at {at} ms; now {} thousandths of a core \
                         are in use there, and it has {size} since {since} ms",
                        running * CPU
                    ));
                }
            }
            _ => {}
        }
    }
    site.verdict(&broken)
}

/// A job is cancelled while its starts wait behind orders that get no answer.
fn queued_starts(folder: &Path, trouble: bool) -> bool {
    let site = Site::new(folder, 2, &[32_000; 4]);
    site.start();
    let set_late = |percent| {
        for worker in &site.workers {
            worker.late_percent.store(percent, Ordering::SeqCst);
        }
    };
    if trouble {
        site.record
            .note("half of the orders get no answer and are carried out late");
        set_late(50);
    }
    let id = job_id(0);
    site.submit(0, &id, 20_000, 48, 500);
    pause(100);
    let acked = (0..5).find_map(|_| {
        let status = site.send(0, "DELETE", &id, "");
        [200, 410].contains(&status).then(|| site.record.now())
    });
    let Some(acked) = acked else {
        fail("the job isn't cancelled");
    };
    pause(5000);
    set_late(0);
    site.record.note("all orders are answered again");
    pause(15_000);
    let mut broken = Vec::new();
    for (at, event) in site.events() {
        if let Event::Start {
            worker,
            task,
            run,
            late: false,
        } = event
            && at > acked + CANCEL_MS
        {
            broken.push(format!(
                "UNASKED: run {run} of {task} started on {worker} at {at} ms, on an order that \
                 was answered at once; its cancelling was acknowledged at {acked} ms"
            ));
        }
    }
    site.verdict(&broken)
}

/// A worker starts again; soon after, it is cut off and the leader is killed. It runs on.
fn reborn_lease(folder: &Path, trouble: bool) -> bool {
    let site = Site::new(folder, 3, &[16_000; 3]);
    site.start();
    let id = job_id(0);
    site.submit(0, &id, 9000, 33, 1400);
    pause(60);
    if trouble {
        site.workers[2].crash();
        pause(1000);
        site.workers[2].restart("a", 16_000, 0);
        let until = site.record.now() + 8000;
        while site.workers[2].running().is_empty() && site.record.now() < until {
            pause(5);
        }
        pause(100);
        site.record
            .note("w2 is cut off from all nodes, and the leader is killed");
        site.cut_worker(2, true);
        site.nodes[0].kill();
        pause(5500);
        site.cut_worker(2, false);
    }
    site.await_end(1, &id, 60_000);
    let found = find_doubles(&site.events(), site.record.now());
    site.verdict(&found)
}
