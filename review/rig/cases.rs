//! The cases.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::wire::{Gate, Json, call, forward};
use std::sync::atomic::Ordering;

use crate::world::{Event, Node, Record, Store, Worker, fail, find_doubles, pause};

const HOST: &str = "jobs.example";
const CALL_MS: u64 = 3000;

/// Runs a case; returns true if the rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> bool {
    let record = Record::new(&folder.join("record.txt"));
    let logs = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&logs).unwrap_or_else(|err| fail(&format!("{err}")));
    record.note(&format!("case {case}, disruption: {trouble}"));
    let broken = match case {
        "partition" => partition(&record, &logs, trouble),
        "outage" => outage(&record, &logs, trouble),
        "crashes" => crashes(&record, &logs, trouble),
        "kinds" => kinds(&record, &logs, trouble),
        "cancelled" => cancelled(&record, &logs, trouble),
        "ejected" => ejected(&record, &logs, trouble),
        _ => fail("no such case"),
    };
    record.note(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&logs);
    } else {
        println!("logs: {}", logs.display());
    }
    broken
}

/// A small deployment: a store, workers and nodes, and the paths between them.
struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    nodes: Vec<Node>,
    /// By node and worker.
    worker_gates: Vec<Vec<Arc<Gate>>>,
    /// By node and other node.
    link_gates: Vec<Vec<Arc<Gate>>>,
}

impl World {
    /// Workers are given by id, rack, kind and thousandths of a core. The first node becomes the
    /// leader.
    fn start(
        record: &Arc<Record>,
        logs: &PathBuf,
        nodes: &[&str],
        workers: &[(&str, &str, &str, u64)],
    ) -> Self {
        let store = Store::new();
        store.put(
            "op",
            "config",
            Some(
                "{\"version\":3,\"routes\":[{\"name\":\"q1\",\"host\":\"jobs.example\",\
                 \"path_prefix\":\"/q1/\",\"service\":\"svc\",\"timeout_ms\":3000,\"priority\":1,\
                 \"max_attempts\":4,\"stretch\":3.0,\"target_duration_ms\":3000}],\"services\":\
                 [{\"name\":\"svc\",\"admission_check\":false}],\"limits\":{}}",
            ),
        );
        let workers: Vec<Arc<Worker>> = workers
            .iter()
            .map(|(id, rack, kind, cpu)| Worker::start(id, rack, kind, *cpu, &store, record))
            .collect();
        let nodes: Vec<Node> = nodes
            .iter()
            .map(|name| Node::new(logs, name, &store))
            .collect();
        let (mut worker_gates, mut link_gates) = (Vec::new(), Vec::new());
        for node in &nodes {
            let (mut to_workers, mut to_nodes, mut seen) = (Vec::new(), Vec::new(), Vec::new());
            for worker in &workers {
                let gate = Arc::new(Gate::default());
                seen.push((worker.address.clone(), worker.listen(Arc::clone(&gate))));
                to_workers.push(gate);
            }
            for other in &nodes {
                let gate = Arc::new(Gate::default());
                if other.name != node.name {
                    let address = forward(Arc::clone(&gate), other.peer.clone());
                    seen.push((other.peer.clone(), address.to_string()));
                }
                to_nodes.push(gate);
            }
            *node.path.addresses.lock().unwrap() = seen;
            worker_gates.push(to_workers);
            link_gates.push(to_nodes);
        }
        let world = Self {
            record: Arc::clone(record),
            store,
            workers,
            nodes,
            worker_gates,
            link_gates,
        };
        world.nodes[0].start();
        let first = world.nodes[0].name.clone();
        world.wait("the first node leads", 10_000, || {
            world.store.holds("role", "owner", &first)
        });
        for node in &world.nodes[1..] {
            node.start();
        }
        world.wait("all nodes answer", 10_000, || {
            let ask = |node: &Node| call(&node.front, "GET", "/q1/", HOST, "", 1000);
            let answers = world.nodes.iter().map(ask);
            answers
                .flatten()
                .filter(|(status, _)| *status == 200)
                .count()
                == world.nodes.len()
        });
        pause(500);
        world
    }

    /// Waits until something holds, or ends the trial as one that couldn't run.
    fn wait(&self, what: &str, limit_ms: u64, holds: impl Fn() -> bool) {
        if !self.wait_for(limit_ms, holds) {
            fail(&format!("not in time: {what}"));
        }
        self.record.note(what);
    }

    fn wait_for(&self, limit_ms: u64, holds: impl Fn() -> bool) -> bool {
        let until = self.record.now() + limit_ms;
        while !holds() {
            if self.record.now() > until {
                return false;
            }
            pause(20);
        }
        true
    }

    /// Submits a job to a node; returns true if it was accepted.
    fn submit(&self, node: usize, id: &str, body: &str) -> bool {
        let node = &self.nodes[node];
        let answer = call(
            &node.front,
            "POST",
            &format!("/q1/{id}"),
            HOST,
            body,
            CALL_MS,
        );
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        self.record
            .note(&format!("POST {id} at {}: {status}  {body}", node.name));
        status == 200
    }

    /// Submits a job that has to be accepted for the trial to make sense.
    fn must_submit(&self, node: usize, id: &str, body: &str) {
        if !self.submit(node, id, body) {
            fail("the job was not accepted");
        }
    }

    /// Asks a node for the state of a job.
    fn state(&self, node: usize, id: &str) -> String {
        let node = &self.nodes[node];
        match call(&node.front, "GET", &format!("/q1/{id}"), HOST, "", CALL_MS) {
            Ok((200, body)) => {
                Json::parse(&body).map_or(String::new(), |body| body.get("state").text().to_owned())
            }
            Ok((status, _)) => status.to_string(),
            Err(_) => "no answer".into(),
        }
    }

    fn runs_on(&self, worker: usize, task: &str) -> bool {
        self.workers[worker]
            .running()
            .iter()
            .any(|known| known == task)
    }

    fn events(&self) -> Vec<(u64, Event)> {
        self.record.events.lock().unwrap().clone()
    }

    /// Judges the rule TWICE, and records what breaks it.
    fn judge_doubles(&self) -> bool {
        let found = find_doubles(&self.events(), self.record.now());
        for double in found.iter().take(20) {
            self.record.note(&format!("TWICE  {double}"));
        }
        self.record.note(&format!("{} doubles", found.len()));
        !found.is_empty()
    }
}

/// A network partition: the leader and one of six workers still reach each other, and neither reaches
/// anything else. The other nodes and workers reach each other and the platform.
fn partition(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    /// Length of the cut, that of `node_cut` in the list `troubles` of the site file.
    const CUT_MS: u64 = 5500;
    const ID: &str = "5c0e7a21d94b36f8";
    let nodes = ["edge-a-1", "edge-b-1", "edge-b-2"];
    let workers = [
        ("i-a0000001", "r-a", "a", 16_000),
        ("i-b0000001", "r-b", "a", 16_000),
        ("i-b0000002", "r-b", "a", 16_000),
        ("i-b0000003", "r-b", "a", 16_000),
        ("i-b0000004", "r-b", "a", 16_000),
        ("i-b0000005", "r-b", "a", 16_000),
    ];
    let world = World::start(record, logs, &nodes, &workers);
    let body = "{\"spec\":\"60000 0\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":512,\
                \"est_ms\":60000,\"affinity\":\"r-a\"}]}";
    world.must_submit(1, ID, body);
    let task = format!("{ID}.0.0.0");
    world.wait("the task runs near its data, on i-a0000001", 5000, || {
        world.runs_on(0, &task)
    });
    pause(2000);
    let set_cut = |cut: bool| {
        world.nodes[0].path.gate.set_cut(cut);
        world.workers[0].store_gate.set_cut(cut);
        for other in 1..nodes.len() {
            world.worker_gates[other][0].set_cut(cut);
            world.link_gates[0][other].set_cut(cut);
            world.link_gates[other][0].set_cut(cut);
        }
        for other in 1..workers.len() {
            world.worker_gates[0][other].set_cut(cut);
        }
    };
    if trouble {
        record.note("edge-a-1 and i-a0000001 are cut off from all others, not from each other");
        set_cut(true);
    }
    pause(CUT_MS);
    if trouble {
        set_cut(false);
        record.note("the cut has healed");
    }
    record.note(&format!("state at edge-b-1: {}", world.state(1, ID)));
    pause(6000);
    record.note(&format!("state at edge-b-1: {}", world.state(1, ID)));
    world.judge_doubles()
}

/// The store is down while more than 500 short tasks end on one worker.
fn outage(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    /// Length of the outage, below the 4.5 s of `platform_down` in the site file.
    const OUTAGE_MS: u64 = 4300;
    const ID: &str = "00c4b1e65a7d3f92";
    const TASKS: usize = 1000;
    let workers = [("i-a0000001", "r-a", "a", 16_000)];
    let world = World::start(record, logs, &["edge-a-1", "edge-b-1"], &workers);
    let body = format!(
        "{{\"spec\":\"6000 6\",\"steps\":[{{\"count\":{TASKS},\"cpu\":15,\"mem_mb\":32,\
         \"est_ms\":9000}}]}}"
    );
    world.must_submit(1, ID, &body);
    world.wait("the first task has ended", 20_000, || {
        let events = record.events.lock().unwrap();
        events
            .iter()
            .any(|(_, event)| matches!(event, Event::End { .. }))
    });
    if trouble {
        record.note("the store is down");
        world.store.down.set_cut(true);
    }
    pause(OUTAGE_MS);
    if trouble {
        world.store.down.set_cut(false);
        record.note("the store is up");
    }
    let completed = world.wait_for(40_000, || world.state(1, ID) == "completed");
    record.note(&format!("completed: {completed}"));
    pause(2000);
    let starts = world.events();
    let starts = starts
        .iter()
        .filter(|(_, event)| matches!(event, Event::Start { .. }));
    record.note(&format!("{} starts of {TASKS} tasks", starts.count()));
    world.judge_doubles()
}

/// The worker of a task that lasts crashes five times.
fn crashes(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    const CRASHES: usize = 5;
    /// How long the task works before each crash, and how long the worker is down.
    const WORK_MS: u64 = 5000;
    const DOWN_MS: u64 = 2000;
    const ID: &str = "71d2c0ffee0a4b36";
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"];
    let workers = ids.map(|id| (id, "r-a", "a", 16_000));
    let world = World::start(record, logs, &["edge-a-1", "edge-b-1"], &workers);
    let body = "{\"spec\":\"900000 0\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":512,\
                \"est_ms\":2000,\"long_running\":true}]}";
    world.must_submit(1, ID, body);
    let task = format!("{ID}.0.0.0");
    let place = || (0..ids.len()).find(|worker| world.runs_on(*worker, &task));
    for number in 1..=CRASHES {
        if !world.wait_for(12_000, || place().is_some()) {
            break;
        }
        let Some(worker) = place() else { break };
        record.note(&format!("the task is at work on {}", ids[worker]));
        pause(WORK_MS);
        if trouble {
            record.note(&format!("crash {number}"));
            world.workers[worker].crash();
            pause(DOWN_MS);
            world.workers[worker].restart("a", 16_000, 0);
        }
        record.note(&format!("state: {}", world.state(1, ID)));
    }
    let runs = world.wait_for(12_000, || place().is_some());
    pause(1000);
    let state = world.state(1, ID);
    record.note(&format!(
        "12 s later at most: the task runs: {runs}, state: {state}"
    ));
    let failures = world.events();
    let failed = |event: &Event| matches!(event, Event::End { how: "failed", .. });
    let failures = failures.iter().filter(|(_, event)| failed(event)).count();
    record.note(&format!("ends `failed`: {failures}, max_attempts: 4"));
    state == "failed" && failures == 0
}

/// A worker crashes again and again, and each time starts again under its id as another kind. It writes
/// its entry in the registry as it starts.
fn kinds(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    const CRASHES: u64 = 10;
    /// Time between crashes, how long the worker is down, and between jobs.
    const PERIOD_MS: u64 = 8000;
    const DOWN_MS: u64 = 1500;
    const JOB_MS: u64 = 100;
    const TASK_CPU: u64 = 1000;
    const ID: &str = "i-a0000001";
    let capacity = |kind: &str| if kind == "a" { 32_000 } else { 8000 };
    let label = |number: u64| if number % 2 == 0 { "a" } else { "b" };
    let workers = [
        (ID, "r-a", "a", capacity("a")),
        ("i-a0000002", "r-a", "a", 1000),
        ("i-b0000001", "r-b", "b", 1000),
        ("i-c0000001", "r-b", "c", 1000),
        ("i-c0000002", "r-b", "c", 1000),
        ("i-c0000003", "r-b", "c", 1000),
        ("i-c0000004", "r-b", "c", 1000),
        ("i-c0000005", "r-b", "c", 1000),
    ];
    let world = World::start(record, logs, &["edge-a-1", "edge-b-1"], &workers);
    let started_at = record.now();
    let (mut number, mut crashes, mut is_down) = (0u64, 0, false);
    let mut kind = "a";
    // Since when the worker is of a kind.
    let mut changes = vec![(0, kind)];
    while record.now() < started_at + (CRASHES + 1) * PERIOD_MS {
        let age = record.now() - started_at;
        if trouble && !is_down && crashes < CRASHES && age >= (crashes + 1) * PERIOD_MS {
            world.workers[0].crash();
            is_down = true;
        }
        if is_down && age >= (crashes + 1) * PERIOD_MS + DOWN_MS {
            kind = if kind == "a" { "b" } else { "a" };
            changes.push((record.now(), kind));
            world.workers[0].restart(kind, capacity(kind), 0);
            is_down = false;
            crashes += 1;
        }
        let body = format!(
            "{{\"spec\":\"300 0\",\"steps\":[{{\"count\":4,\"cpu\":{TASK_CPU},\"mem_mb\":512,\
             \"est_ms\":300,\"required_label\":\"{}\"}}]}}",
            label(number)
        );
        world.submit(1, &format!("5ab1e0000000{number:04x}"), &body);
        number += 1;
        pause(JOB_MS);
    }
    pause(2000);
    let (mut over, mut wrong, mut running) = (0, 0, 0u64);
    for (at, event) in &world.events() {
        match event {
            Event::Start { worker, task, .. } if worker == ID => {
                running += 1;
                let (since, kind) = changes.iter().rfind(|(since, _)| since <= at).unwrap();
                let number = u64::from_str_radix(&task[12..16], 16).unwrap_or(0);
                wrong += u64::from(*kind != label(number));
                if running * TASK_CPU > capacity(kind) {
                    over += 1;
                    let text = format!("{at} ms: {task} starts as task {running} there");
                    let life = format!("of kind {kind} since {since} ms");
                    let room = capacity(kind);
                    record.note(&format!(
                        "LIMIT  {text}, {life}, which has {room} / 1000 cores"
                    ));
                }
            }
            Event::End { worker, .. } if worker == ID => running = running.saturating_sub(1),
            Event::Crash { worker } if worker == ID => running = 0,
            _ => {}
        }
    }
    record.note(&format!(
        "ROUTE  {wrong} starts there without the required label"
    ));
    record.note(&format!("LIMIT  {over} starts there beyond its capacity"));
    wrong > 0
}

/// Workers leave half of the orders unanswered and carry them out late; a job is cancelled meanwhile.
fn cancelled(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    const LATE_PERCENT: u64 = 50;
    /// Length of the disruption.
    const LATE_MS: u64 = 5500;
    /// Time that the rule leaves after the answer to the cancel.
    const CANCEL_MS: u64 = 3000;
    const ID: &str = "ca9ce11ed0000001";
    let ids = ["i-1", "i-2"];
    let workers = ids.map(|id| (id, "r-a", "a", 16_000));
    let world = World::start(record, logs, &["edge-a-1", "edge-b-1"], &workers);
    if trouble {
        record.note("half of the orders get no answer and are carried out late");
        for worker in &world.workers {
            worker.late_percent.store(LATE_PERCENT, Ordering::SeqCst);
        }
    }
    let sound_at = record.now() + LATE_MS;
    let body = "{\"spec\":\"20000 0\",\"steps\":[{\"count\":48,\"cpu\":300,\"mem_mb\":512,\
                \"est_ms\":20000}]}";
    world.must_submit(1, ID, body);
    pause(500);
    let path = format!("/q1/{ID}");
    let answer = call(&world.nodes[1].front, "DELETE", &path, HOST, "", CALL_MS);
    let status = answer.map_or(0, |(status, _)| status);
    let acked_at = record.now();
    record.note(&format!("DELETE {ID} at edge-b-1: {status}"));
    if status != 200 {
        fail("the cancel was not acknowledged at once");
    }
    pause(sound_at.saturating_sub(record.now()));
    for worker in &world.workers {
        worker.late_percent.store(0, Ordering::SeqCst);
    }
    record.note("all orders are answered");
    pause(15_000);
    let mut found = 0;
    for (at, event) in &world.events() {
        if let Event::Start {
            worker,
            task,
            run,
            late: false,
        } = event
            && *at > acked_at + CANCEL_MS
        {
            found += 1;
            let after = at - acked_at;
            let text = format!("{worker} starts run {run} of {task} {after} ms after the answer");
            record.note(&format!("UNASKED  {text}"));
        }
    }
    record.note(&format!(
        "{found} starts more than {CANCEL_MS} ms after the answer to the cancel"
    ));
    found > 0
}

/// A worker with a task that lasts fails all that it starts for a while.
fn ejected(record: &Arc<Record>, logs: &PathBuf, trouble: bool) -> bool {
    /// Length of the disruption.
    const FAILING_MS: u64 = 6500;
    /// Time from the end of the traffic until jobs are asked for, and for which nothing runs then.
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3000;
    let mut workers = vec![("i-01", "r-a", "b", 16_000)];
    let others = [
        "i-02", "i-03", "i-04", "i-05", "i-06", "i-07", "i-08", "i-09", "i-10", "i-11", "i-12",
    ];
    workers.extend(others.map(|id| (id, "r-a", "a", 16_000)));
    let world = World::start(record, logs, &["edge-a-1", "edge-b-1"], &workers);
    let lasting = "{\"spec\":\"900000 0\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":512,\
                   \"est_ms\":2000,\"long_running\":true,\"required_label\":\"b\"}]}";
    world.must_submit(0, "1a57000000000001", lasting);
    world.wait("the task that lasts runs on i-01", 5000, || {
        world.runs_on(0, "1a57000000000001.0.0.0")
    });
    let body = "{\"spec\":\"300 0\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                \"est_ms\":300,\"required_label\":\"b\"}]}";
    let name = |number: u64| format!("b0b0000000000{number:03x}");
    let mut accepted = Vec::new();
    let mut submit = |number: u64| {
        if world.submit(1, &name(number), body) {
            accepted.push(name(number));
        }
        pause(1000);
    };
    (0..3).for_each(&mut submit);
    if trouble {
        record.note("i-01 fails all that it starts");
        world.workers[0].failing.store(true, Ordering::SeqCst);
    }
    let sound_at = record.now() + FAILING_MS;
    let mut number = 3;
    while record.now() < sound_at {
        submit(number);
        number += 1;
    }
    world.workers[0].failing.store(false, Ordering::SeqCst);
    record.note("i-01 is sound");
    let first_after = number;
    (number..number + 20).for_each(&mut submit);
    record.note("the traffic ends");
    pause(FINISH_MS);
    let started = |id: &str, since: u64| {
        let events = record.events.lock().unwrap();
        events.iter().any(|(at, event)| {
            *at >= since && matches!(event, Event::Start { task, .. } if task.starts_with(id))
        })
    };
    let since = record.now();
    pause(IDLE_MS);
    let mut lost = 0;
    for id in accepted.iter().filter(|id| **id >= name(first_after)) {
        let state = world.state(1, id);
        let is_idle = matches!(state.as_str(), "queued" | "running") && !started(id, since);
        let is_running = world.runs_on(0, &format!("{id}.0.0.0"));
        record.note(&format!(
            "{id}: {state}, started at any time: {}",
            started(id, 0)
        ));
        lost += u64::from(is_idle && !is_running);
    }
    record.note(&format!(
        "LOST  {lost} jobs have nothing running for {IDLE_MS} ms; i-01 uses {:?} of 16 cores",
        world.workers[0].running().len() * 4
    ));
    lost > 0
}
