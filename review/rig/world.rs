//! Stand-ins of the platform's store and of workers, and the real nodes as processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::net::{Shutdown, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::wire::{Answer, Connections, Gate, Json, Request, from_base64, quote, serve, to_base64};

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// What workers saw, for the verdict.
#[derive(Clone, Debug)]
pub enum Event {
    Start {
        worker: String,
        task: String,
        run: u64,
        /// The order was carried out late.
        late: bool,
    },
    End {
        worker: String,
        task: String,
        run: u64,
        how: &'static str,
        number: u64,
    },
    /// `seen_upto` has reached this end.
    Noted {
        worker: String,
        number: u64,
    },
    Lapse {
        worker: String,
    },
    /// All that ran there is gone, and so are the ends that were not noted.
    Crash {
        worker: String,
    },
}

/// The record of a trial.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    pub events: Mutex<Vec<(u64, Event)>>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the folder is writable")),
            events: Mutex::default(),
        })
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Records without printing, for what comes by the hundred.
    pub fn detail(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn event(&self, event: Event) {
        self.events.lock().unwrap().push((self.now(), event));
    }
}

type Key = (String, String, String);

#[derive(Default)]
struct StoreRows {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    changes: Vec<(u64, Key, Option<Vec<u8>>)>,
    version: u64,
}

impl StoreRows {
    fn apply(&mut self, key: Key, value: Option<Vec<u8>>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.changes.push((self.version, key, value));
    }
}

/// A node's or a worker's way to the store.
#[derive(Default)]
pub struct StorePath {
    pub gate: Arc<Gate>,
    /// Delay of an answer in ms, beyond the usual one.
    pub delay: AtomicU64,
    /// Addresses as the store holds them, and as they look from here. Both have the same length.
    pub addresses: Mutex<Vec<(String, String)>>,
}

/// The stand-in of the platform's store.
pub struct Store {
    inner: Mutex<StoreRows>,
    changed: Condvar,
    started: Instant,
    /// Set while the store is down: it answers nobody.
    pub down: Arc<Gate>,
    row_bytes: usize,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            down: Arc::default(),
            row_bytes: 65_536,
        })
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        let value = value.map(|text| text.as_bytes().to_vec());
        inner.apply((table.into(), String::new(), key.into()), value);
        drop(inner);
        self.changed.notify_all();
    }

    /// Serves the store to one caller; returns the address.
    pub fn listen(self: &Arc<Self>, path: Arc<StorePath>) -> String {
        let (store, way) = (Arc::clone(self), Arc::clone(&path));
        let handler = Arc::new(move |request: &Request| store.answer(request, &way));
        serve(Arc::clone(&path.gate), Connections::default(), handler).to_string()
    }

    fn answer(&self, request: &Request, path: &StorePath) -> Answer {
        let cuts = self.down.cuts();
        if !self.down.is_open(cuts) {
            return Answer::Silence;
        }
        pause(4 + path.delay.load(Ordering::SeqCst));
        let (name, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect();
        let (status, body) = match name {
            "/rows-tx" => self.transact(&request.body, path),
            "/rows-get" => self.page(&query, path),
            "/rows-feed" => self.feed(&query, path),
            _ => (404, "{}".to_owned()),
        };
        if self.down.is_open(cuts) {
            Answer::Reply(status, body)
        } else {
            Answer::Silence
        }
    }

    fn footer(&self, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!("\"ver\":{version},\"now_ms\":{now}")
    }

    fn transact(&self, body: &str, path: &StorePath) -> (u16, String) {
        let Some(tx) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (expected, puts) = (tx.get("expected_rev").list(), tx.get("put").list());
        let removes = tx.get("remove").list();
        if expected.len() + puts.len() + removes.len() > 100 || body.len() > 1_000_000 {
            return (400, "{\"error\":\"too many entries\"}".into());
        }
        let mut values = Vec::new();
        for put in puts {
            let value = from_base64(put.get("value").text());
            if value.len() > self.row_bytes {
                return (400, "{\"error\":\"the row is too large\"}".into());
            }
            values.push(rename(value, path, false));
        }
        let mut inner = self.inner.lock().unwrap();
        let is_stale = expected.iter().any(|row| {
            let version = inner.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            version != row.get("ver").int().unwrap_or(0)
        });
        if is_stale {
            let keys = expected.iter().map(key);
            let rows = keys.filter_map(|key| {
                let (value, version) = inner.rows.get(&key)?;
                Some(encode_row(&key, Some(value), *version, path))
            });
            let rows: Vec<String> = rows.collect();
            let footer = self.footer(inner.version);
            return (412, format!("{{\"rows\":[{}],{footer}}}", rows.join(",")));
        }
        inner.version += 1;
        for (put, value) in puts.iter().zip(values) {
            inner.apply(key(put), Some(value));
        }
        for row in removes {
            inner.apply(key(row), None);
        }
        let footer = self.footer(inner.version);
        drop(inner);
        self.changed.notify_all();
        (200, format!("{{{footer}}}"))
    }

    fn page(&self, query: &BTreeMap<String, String>, path: &StorePath) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit: usize = text("limit").parse().unwrap_or(500).min(500);
        let start = (text("table"), text("part"), text("from"));
        let inner = self.inner.lock().unwrap();
        let mut rows: Vec<String> = inner
            .rows
            .range(start.clone()..)
            .take_while(|(key, _)| key.0 == start.0 && key.1 == start.1)
            .take(limit + 1)
            .map(|(key, (value, version))| encode_row(key, Some(value), *version, path))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        let footer = self.footer(inner.version);
        let rows = rows.join(",");
        (
            200,
            format!("{{\"rows\":[{rows}],\"has_more\":{more},{footer}}}"),
        )
    }

    fn feed(&self, query: &BTreeMap<String, String>, path: &StorePath) -> (u16, String) {
        let number = |name: &str| -> u64 {
            let text = query.get(name).cloned().unwrap_or_default();
            text.parse().unwrap_or(0)
        };
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut inner = self.inner.lock().unwrap();
        loop {
            let from = inner
                .changes
                .partition_point(|(version, ..)| *version <= after);
            let rows: Vec<String> = inner.changes[from..]
                .iter()
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, value)| encode_row(key, value.as_deref(), *version, path))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let footer = self.footer(inner.version);
                return (200, format!("{{\"rows\":[{}],{footer}}}", rows.join(",")));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn encode_row(key: &Key, value: Option<&[u8]>, version: u64, path: &StorePath) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let rest = match value {
        Some(value) => format!(
            "\"value\":\"{}\"",
            to_base64(&rename(value.to_vec(), path, true))
        ),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{version},{rest}}}")
}

/// Translates addresses between the store and a caller, as a gateway between networks does.
fn rename(mut value: Vec<u8>, path: &StorePath, outward: bool) -> Vec<u8> {
    for (held, seen) in path.addresses.lock().unwrap().iter() {
        let (from, to) = if outward { (held, seen) } else { (seen, held) };
        assert_eq!(from.len(), to.len(), "ports with five digits");
        let mut at = 0;
        while at + from.len() <= value.len() {
            if value[at..].starts_with(from.as_bytes()) {
                value[at..at + to.len()].copy_from_slice(to.as_bytes());
                at += to.len();
            } else {
                at += 1;
            }
        }
    }
    value
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    started: Instant,
    duration: Duration,
    stop_at: Option<Instant>,
    token: String,
    fails: bool,
}

#[derive(Default)]
struct WorkerState {
    up: bool,
    born: u64,
    clock_start: Option<Instant>,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run that was stopped or has ended here, by task.
    barred: BTreeMap<String, u64>,
    /// Ends that were not noted: number, task, run, how, saved state.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    noted: u64,
    seq: u64,
    cpu: u64,
    kind: String,
    /// The registry shows what the worker was until then.
    silent_until: Option<Instant>,
    written_at: Option<Instant>,
}

/// The stand-in of a worker.
pub struct Worker {
    pub id: String,
    pub rack: String,
    state: Mutex<WorkerState>,
    ended: Condvar,
    /// The address that the registry shows.
    pub address: String,
    connections: Connections,
    /// Cut while the worker doesn't reach the store.
    pub store_gate: Arc<Gate>,
    /// Percentage of the orders that get no answer and are carried out late.
    pub late_percent: AtomicU64,
    random: AtomicU64,
    /// Set while all that the worker starts will fail.
    pub failing: AtomicBool,
    record: Arc<Record>,
}

/// Longest lease, time of a stop, interval of saved states and of heartbeats, as in the site files.
pub const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 200;
const SAVE_MS: u64 = 2000;
const HEARTBEAT_MS: u64 = 1500;

impl Worker {
    /// Starts a worker with `cpu` thousandths of a core.
    pub fn start(
        id: &str,
        rack: &str,
        kind: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.into(),
            rack: rack.into(),
            state: Mutex::new(WorkerState {
                up: true,
                born: unix_ms(),
                clock_start: Some(Instant::now()),
                cpu,
                kind: kind.into(),
                ..WorkerState::default()
            }),
            ended: Condvar::new(),
            address: free_address(),
            connections: Connections::default(),
            store_gate: Arc::default(),
            late_percent: AtomicU64::new(0),
            random: AtomicU64::new(hash(id) ^ unix_ms()),
            failing: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                pause(10);
                ticking.tick();
            }
        });
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || beating.beat(&store));
        worker
    }

    /// Serves the worker to one node; returns the address as that node sees it.
    pub fn listen(self: &Arc<Self>, gate: Arc<Gate>) -> String {
        let worker = Arc::clone(self);
        let handler = Arc::new(move |request: &Request| {
            let is_order = request.path != "/hold";
            if !is_order || worker.draw(100) >= worker.late_percent.load(Ordering::SeqCst) {
                return worker.answer(request, false);
            }
            let (late, request) = (Arc::clone(&worker), request.clone());
            let born = worker.state.lock().unwrap().born;
            thread::spawn(move || {
                pause(2000 + late.draw(10_000));
                if late.state.lock().unwrap().born == born {
                    late.answer(&request, true);
                }
            });
            Answer::Silence
        });
        serve(gate, Arc::clone(&self.connections), handler).to_string()
    }

    /// Returns a random number below a limit.
    fn draw(&self, limit: u64) -> u64 {
        let old = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        let mut value = (old ^ (old >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % limit
    }

    fn beat(&self, store: &Store) {
        let mut missed = 0;
        loop {
            let text = {
                let mut state = self.state.lock().unwrap();
                let now = Instant::now();
                let writes = state.up
                    && state.silent_until.is_none_or(|until| now >= until)
                    && self.store_gate.is_open(self.store_gate.cuts())
                    && store.down.is_open(store.down.cuts());
                let is_due = state
                    .written_at
                    .is_none_or(|at| now.duration_since(at) >= Duration::from_millis(HEARTBEAT_MS));
                if writes && is_due {
                    state.seq += 1;
                    state.written_at = Some(now);
                    missed = 0;
                    Some(self.entry(&state))
                } else {
                    missed += u64::from(!writes);
                    None
                }
            };
            if let Some(text) = text {
                store.put("servers", &self.id, Some(&text));
            }
            if missed == 3 * HEARTBEAT_MS / 50 {
                self.record.note(&format!("the registry drops {}", self.id));
                store.put("servers", &self.id, None);
            }
            pause(50);
        }
    }

    fn entry(&self, state: &WorkerState) -> String {
        format!(
            "{{\"service\":\"svc\",\"address\":{},\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{},\"born\":{},\"labels\":[{},{}],\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}}}}",
            quote(&self.address),
            state.seq,
            state.born,
            quote(&state.kind),
            quote(&self.rack),
            state.cpu
        )
    }

    /// Ends all that runs, and closes all connections. Nothing answers until `restart`.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        state.runs.clear();
        state.ends.clear();
        self.record.event(Event::Crash {
            worker: self.id.clone(),
        });
        drop(state);
        self.record.note(&format!("{} crashes", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends all that runs. Connections are not closed, as when the power fails.
    pub fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        state.runs.clear();
        state.ends.clear();
        self.record.event(Event::Crash {
            worker: self.id.clone(),
        });
        drop(state);
        self.record.note(&format!("{} loses power", self.id));
    }

    /// Starts again under the same id, as a worker of a kind, and writes to the registry after a
    /// while.
    pub fn restart(&self, kind: &str, cpu: u64, first_beat_ms: u64) {
        let mut state = self.state.lock().unwrap();
        *state = WorkerState {
            up: true,
            born: unix_ms(),
            clock_start: Some(Instant::now()),
            cpu,
            kind: kind.into(),
            silent_until: Some(Instant::now() + Duration::from_millis(first_beat_ms)),
            ..WorkerState::default()
        };
        drop(state);
        let text = format!(
            "{} is up again: kind {kind}, {cpu} thousandths of a core",
            self.id
        );
        self.record.note(&text);
    }

    /// Returns the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.keys().cloned().collect()
    }

    fn clock(state: &WorkerState) -> u64 {
        let started = state.clock_start.unwrap_or_else(Instant::now);
        1000 + started.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let mut ends = Vec::new();
        let lapsed = !state.runs.is_empty() && Self::clock(&state) > state.lease_end;
        if lapsed {
            self.record.event(Event::Lapse {
                worker: self.id.clone(),
            });
        }
        for (task, run) in &mut state.runs {
            let age = run.started.elapsed();
            if lapsed {
                ends.push((task.clone(), "lapsed"));
            } else if run.stop_at.is_some_and(|at| at <= Instant::now()) {
                ends.push((task.clone(), "stopped"));
            } else if run.stop_at.is_none() && age >= run.duration {
                ends.push((task.clone(), if run.fails { "failed" } else { "done" }));
            } else {
                let saves = age.as_millis() as u64 / SAVE_MS;
                if saves > 0 {
                    run.token = format!("{:08x}{:08x}", saves, hash(task) as u32);
                }
            }
        }
        for (task, how) in ends {
            let Some(run) = state.runs.remove(&task) else {
                continue;
            };
            state.last_end += 1;
            let number = state.last_end;
            let highest = state.barred.entry(task.clone()).or_default();
            *highest = (*highest).max(run.number);
            self.record.event(Event::End {
                worker: self.id.clone(),
                task: task.clone(),
                run: run.number,
                how,
                number,
            });
            self.record.detail(&format!(
                "{}: run {} of {task} ends {how} as end {number}",
                self.id, run.number
            ));
            state.ends.push((number, task, run.number, how, run.token));
            self.ended.notify_all();
        }
    }

    fn answer(&self, request: &Request, late: bool) -> Answer {
        let Some(call) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        if !state.up {
            return Answer::Close;
        }
        let born = state.born;
        let clock = |state: &WorkerState| format!("\"clock_ms\":{}", Self::clock(state));
        let refuse = |state: &WorkerState, reason: &str| {
            Answer::Reply(409, format!("{{{},\"reason\":\"{reason}\"}}", clock(state)))
        };
        let expected = request.header("Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            return Answer::Reply(421, format!("{{{}}}", clock(&state)));
        }
        let fence = call.get("fence").int().unwrap_or(0);
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        if request.path != "/run-stop"
            && let Some(deadline) = call.get("deadline_ms").int()
        {
            let longest = Self::clock(&state) + HOLD_MAX_MS;
            state.lease_end = state.lease_end.max(deadline.min(longest));
        }
        let task = call.get("task").text().to_owned();
        let number = call.get("run").int().unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.number == number)
                {
                    return Answer::Reply(200, format!("{{{}}}", clock(&state)));
                }
                let barred = state.barred.get(&task).copied().unwrap_or(0);
                if number <= barred || state.runs.contains_key(&task) {
                    return refuse(&state, "old");
                }
                if call.get("deadline_ms").int().unwrap_or(0) <= Self::clock(&state) {
                    return refuse(&state, "late");
                }
                let spec = call.get("spec").text();
                let duration = Duration::from_millis(duration_of(spec, &task));
                let run = Run {
                    number,
                    started: Instant::now(),
                    duration,
                    stop_at: None,
                    token: call.get("checkpoint_token").text().to_owned(),
                    fails: self.failing.load(Ordering::SeqCst),
                };
                self.record.event(Event::Start {
                    worker: self.id.clone(),
                    task: task.clone(),
                    run: number,
                    late,
                });
                self.record.detail(&format!(
                    "{} (kind {}): run {number} of {task} starts, fence {fence}, {} other tasks there{}",
                    self.id,
                    state.kind,
                    state.runs.len(),
                    if late { ", late" } else { "" }
                ));
                state.runs.insert(task, run);
                Answer::Reply(200, format!("{{{}}}", clock(&state)))
            }
            "/run-stop" => {
                if let Some(run) = state.runs.get_mut(&task)
                    && run.number <= number
                {
                    let at = Instant::now() + Duration::from_millis(STOP_MS);
                    run.stop_at.get_or_insert(at);
                }
                let highest = state.barred.entry(task).or_default();
                *highest = (*highest).max(number);
                Answer::Reply(200, format!("{{{}}}", clock(&state)))
            }
            "/hold" => {
                let seen = call.get("seen_upto").int().unwrap_or(0);
                if seen > state.noted {
                    for end in state.ends.iter().filter(|end| end.0 <= seen) {
                        self.record.event(Event::Noted {
                            worker: self.id.clone(),
                            number: end.0,
                        });
                    }
                    state.noted = seen;
                    state.ends.retain(|end| end.0 > seen);
                }
                let wait = Duration::from_millis(call.get("wait_ms").int().unwrap_or(0));
                let until = Instant::now() + wait;
                let last = state.last_end;
                // An end that is listed for the first time ends the wait.
                while state.up && state.born == born && state.last_end == last {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                if !state.up || state.born != born {
                    return Answer::Close;
                }
                if fence < state.fence {
                    return refuse(&state, "fence");
                }
                let mut running = String::new();
                for (task, run) in state.runs.iter().filter(|(_, run)| run.stop_at.is_none()) {
                    let share = run.started.elapsed().as_secs_f64() / run.duration.as_secs_f64();
                    let percent = (share * 100.0).min(100.0) as u64;
                    let comma = if running.is_empty() { "" } else { "," };
                    let (name, token) = (quote(task), quote(&run.token));
                    let _ = write!(
                        running,
                        "{comma}[{name},{},{token},{percent},1]",
                        run.number
                    );
                }
                let mut finished = String::new();
                for (number, task, run, how, token) in state.ends.iter().take(500) {
                    let comma = if finished.is_empty() { "" } else { "," };
                    let (name, token) = (quote(task), quote(token));
                    let _ = write!(finished, "{comma}[{number},{name},{run},\"{how}\",{token}]");
                }
                Answer::Reply(
                    200,
                    format!(
                        "{{{},\"born\":{born},\"running\":[{running}],\"finished\":[{finished}]}}",
                        clock(&state)
                    ),
                )
            }
            _ => Answer::Reply(404, "{}".into()),
        }
    }
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(14_695_981_039_346_656_037, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    })
}

/// The duration of a task: the spec names the first task's, and how much longer each further task
/// of the step takes.
fn duration_of(spec: &str, task: &str) -> u64 {
    let mut words = spec.split(' ').map(|word| word.parse().unwrap_or(0u64));
    let (first, each) = (words.next().unwrap_or(0), words.next().unwrap_or(0));
    let index = task.rsplit('.').next().and_then(|word| word.parse().ok());
    first + each * index.unwrap_or(0u64)
}

/// Returns a free loopback address with a port of five digits, below the ports that the system
/// gives to outgoing connections.
pub fn free_address() -> String {
    const FIRST: u64 = 12_000;
    const COUNT: u64 = 20_000;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 64;
        let address = format!("127.0.0.1:{}", FIRST + offset % COUNT);
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

/// A node, started with the command of the deploy file.
pub struct Node {
    pub name: String,
    pub front: String,
    pub peer: String,
    pub path: Arc<StorePath>,
    settings: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Node {
    pub fn new(folder: &Path, name: &str, store: &Arc<Store>) -> Self {
        let path = Arc::new(StorePath::default());
        let (front, peer) = (free_address(), free_address());
        let port = peer.rsplit(':').next().unwrap_or_default();
        let settings = folder.join(format!("{name}.toml"));
        // What platform/settings.toml.template gives, with free ports.
        let text = format!(
            "node = \"{name}\"\nip = \"127.0.0.1\"\npeer_port = {port}\nfront = \"{front}\"\n\
             ready = \"{}\"\nmetrics = \"{}\"\ncpu_share = 0.25\n[platform]\nstore = \"{}\"\n\
             [bounds]\nlease_max_ms = {HOLD_MAX_MS}\nstop_ms = 900\nstatus_s = 120\ngrace_s = 6\n",
            free_address(),
            free_address(),
            store.listen(Arc::clone(&path)),
        );
        std::fs::write(&settings, text).expect("the folder is writable");
        Self {
            name: name.into(),
            front,
            peer,
            path,
            log: folder.join(format!("{name}.log")),
            settings,
            child: Arc::default(),
        }
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder is writable");
        let mut command = Command::new("target/release/dotterel-node");
        command
            .env_clear()
            .env("DOTTERELRELAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a second handle"))
            .stdout(log);
        let child = command.spawn();
        let child = child.unwrap_or_else(|err| fail(&format!("dotterel-node: {err}")));
        *self.child.lock().unwrap() = Some(child);
        CHILDREN.lock().unwrap().push(Arc::clone(&self.child));
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

static CHILDREN: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

/// Ends the nodes and the trial if it takes too long.
pub fn limit_trial(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for child in CHILDREN.lock().unwrap().iter() {
            if let Some(child) = child.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
        }
        println!("could not run: the trial takes too long");
        std::process::exit(2);
    });
}

/// Ends the trial as one that couldn't run.
pub fn fail(reason: &str) -> ! {
    println!("could not run: {reason}");
    // Ends the nodes too: the panic drops them.
    CANNOT_RUN.store(true, Ordering::SeqCst);
    panic!("{reason}");
}

pub static CANNOT_RUN: AtomicBool = AtomicBool::new(false);

/// Returns what breaks the rule TWICE: two runs of a task at one time on workers that are up, or a
/// start after an end as done that has been taken note of.
pub fn find_doubles(events: &[(u64, Event)], until: u64) -> Vec<String> {
    struct Span {
        worker: String,
        run: u64,
        from: u64,
        to: u64,
        /// Life of the worker and number of the end, if it is `done`.
        done: Option<(u64, u64)>,
    }
    let mut spans: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
    let mut noted: BTreeMap<(&str, (u64, u64)), u64> = BTreeMap::new();
    // Numbers of ends begin anew when a worker does.
    let mut lives: BTreeMap<&str, u64> = BTreeMap::new();
    let mut lapses: BTreeSet<(&str, u64)> = BTreeSet::new();
    for (at, event) in events {
        match event {
            Event::Start {
                worker, task, run, ..
            } => {
                spans.entry(task).or_default().push(Span {
                    worker: worker.clone(),
                    run: *run,
                    from: *at,
                    to: until,
                    done: None,
                });
            }
            Event::End {
                worker,
                task,
                run,
                how,
                number,
            } => {
                let life = lives.get(worker.as_str()).copied().unwrap_or(0);
                for span in spans.entry(task).or_default() {
                    if span.worker == *worker && span.run == *run && span.to == until {
                        span.to = *at;
                        span.done = (*how == "done").then_some((life, *number));
                    }
                }
            }
            Event::Noted { worker, number } => {
                let life = lives.get(worker.as_str()).copied().unwrap_or(0);
                noted.insert((worker, (life, *number)), *at);
            }
            Event::Lapse { worker } => {
                lapses.insert((worker, *at));
            }
            Event::Crash { worker } => {
                *lives.entry(worker).or_default() += 1;
                for span in spans.values_mut().flatten() {
                    if span.worker == *worker && span.to == until {
                        span.to = *at;
                    }
                }
            }
        }
    }
    let mut found = Vec::new();
    for (task, spans) in &spans {
        for (at, first) in spans.iter().enumerate() {
            for second in &spans[at + 1..] {
                if second.from < first.to {
                    found.push(format!(
                        "{task}: run {} on {} from {} to {} ms, and run {} on {} from {} to {} ms",
                        first.run,
                        first.worker,
                        first.from,
                        first.to,
                        second.run,
                        second.worker,
                        second.from,
                        second.to
                    ));
                }
                let Some(end) = first.done.filter(|_| second.from >= first.to) else {
                    continue;
                };
                let Some(seen) = noted.get(&(first.worker.as_str(), end)) else {
                    continue;
                };
                let lapsed = lapses
                    .iter()
                    .any(|(worker, at)| *worker == first.worker && (first.to..=*seen).contains(at));
                if !lapsed {
                    found.push(format!(
                        "{task}: run {} on {} ended done at {} ms (end {}, taken note of at \
                         {seen} ms), and run {} started on {} at {} ms",
                        first.run,
                        first.worker,
                        first.to,
                        end.1,
                        second.run,
                        second.worker,
                        second.from
                    ));
                }
            }
        }
    }
    found
}
