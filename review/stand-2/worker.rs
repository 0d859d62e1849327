//! A stand-in of a worker. What a task does is read from its `spec`: `work=MS` is how long it works, and
//! with `save` it has a new checkpoint token after each 2 s. With `gang=N` it works once N tasks of its step and
//! run are there, and ends with them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Connections, Request};
use crate::json::{self, Json, quote};
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const MISSED_HEARTBEATS: u32 = 3;
/// `bounds.hold_max_ms`.
const LEASE_MAX_MS: u64 = 10_000;
/// Within `bounds.stop_ms`.
const STOP_MS: u64 = 150;
/// `bounds.save_s`.
const SAVE_MS: u64 = 2000;
/// `bounds.gang_ms`.
const GANG_MS: u64 = 3000;
const MAX_LISTED_ENDS: usize = 500;

/// A start or an end of a run that a worker has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: usize,
    pub task: String,
    pub spec: String,
    /// `start` or how the run ended.
    pub what: &'static str,
}

pub type Sightings = Arc<Mutex<Vec<Seen>>>;

/// A gang's run.
#[derive(Default)]
struct Gang {
    present: u64,
    complete_since: Option<Instant>,
    /// How its first member has ended.
    end: Option<&'static str>,
}

/// The gangs by step and run, on all workers.
#[derive(Clone, Default)]
pub struct Gangs(Arc<Mutex<BTreeMap<(String, u64), Gang>>>);

fn gang_key(task: &str, run: u64) -> (String, u64) {
    (task.rsplit_once('.').map_or("", |(step, _)| step).to_owned(), run)
}

struct Run {
    number: u64,
    spec: String,
    started_at: Instant,
    work_ms: u64,
    /// Size of its gang; 0 if it is in none.
    gang: u64,
    fails: bool,
    saves: bool,
    stopping_since: Option<Instant>,
}

struct State {
    up: bool,
    /// Set while all that it starts fails.
    failing: bool,
    draining: bool,
    born: u64,
    clock_start: Instant,
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    past: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    /// Ends that were forgotten as `seen_upto` reached them.
    noted: u64,
}

pub struct Worker {
    pub index: usize,
    pub id: String,
    address: Mutex<Option<SocketAddr>>,
    connections: Mutex<Connections>,
    state: Mutex<State>,
    changed: Condvar,
    /// Thousandths of a core, and MB.
    capacity: (u64, u64),
    seen: Sightings,
    gangs: Gangs,
    record: Record,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}

fn option(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.parse().ok())
}

/// Returns how long a task works. With `uneven=N`, about one task in N works for 5 s only.
fn work_ms(spec: &str, task: &str) -> u64 {
    let index = task.rsplit('.').next().and_then(|index| index.parse::<u64>().ok());
    match option(spec, "uneven=").zip(index) {
        Some((every, index)) if index % every == 0 => 5000,
        _ => option(spec, "work=").unwrap_or(500),
    }
}

impl State {
    fn clock(&self) -> u64 {
        1000 + u64::try_from(self.clock_start.elapsed().as_millis()).unwrap_or_default()
    }
}

impl Worker {
    pub fn start(
        index: usize,
        capacity: (u64, u64),
        store: &Arc<Store>,
        seen: &Sightings,
        gangs: &Gangs,
        record: &Record,
    ) -> Arc<Self> {
        let state = State {
            up: true,
            failing: false,
            draining: false,
            born: unix_ms(),
            clock_start: Instant::now(),
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            past: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            noted: 0,
        };
        let worker = Arc::new(Self {
            index,
            id: format!("i-{:08x}", 0x7f3a_0000u32 + index as u32 * 257),
            address: Mutex::new(None),
            connections: Mutex::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            capacity,
            seen: Arc::clone(seen),
            gangs: gangs.clone(),
            record: record.clone(),
        });
        let served = Arc::clone(&worker);
        let (address, connections) = http::serve("127.0.0.1", move |request| served.handle(request));
        *worker.address.lock().unwrap() = Some(address);
        *worker.connections.lock().unwrap() = connections;
        let ticking = Arc::clone(&worker);
        thread::spawn(move || ticking.tick());
        let beating = Arc::clone(&worker);
        let store = Arc::clone(store);
        thread::spawn(move || beating.beat(&store));
        worker
    }

    /// Loses power: it is silent until `restart`.
    pub fn go_dark(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        let lost: Vec<String> = state.runs.keys().cloned().collect();
        self.record.line(&self.id, &format!("loses power, {} runs are lost", lost.len()));
        for (task, run) in std::mem::take(&mut state.runs) {
            self.note(&task, run.number, &run.spec, "lost");
        }
        state.ends.clear();
        self.changed.notify_all();
    }

    /// Lets all that it starts from now on fail, or not.
    pub fn set_failing(&self, failing: bool) {
        self.state.lock().unwrap().failing = failing;
        self.record.line(&self.id, if failing { "fails all that it starts" } else { "is sound again" });
    }

    /// Starts again under its id, as a new life that knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.born = unix_ms();
        state.clock_start = Instant::now();
        state.fence = 0;
        state.lease_until = 0;
        state.past.clear();
        state.next_end = 1;
        state.up = true;
        drop(state);
        self.connections.lock().unwrap().close_all();
        self.record.line(&self.id, "is back");
    }

    /// Returns the number of runs, of listed ends, and of ends taken note of.
    pub fn counts(&self) -> (usize, usize, u64) {
        let state = self.state.lock().unwrap();
        (state.runs.len(), state.ends.len(), state.noted)
    }

    fn note(&self, task: &str, run: u64, spec: &str, what: &'static str) {
        let seen = Seen {
            worker: self.index,
            task: task.into(),
            spec: spec.into(),
            what,
        };
        self.seen.lock().unwrap().push(seen);
        if !spec.contains("quiet") {
            self.record.line(&self.id, &format!("{task} run {run}: {what}"));
        }
    }

    fn beat(&self, store: &Store) {
        let (mut sequence, mut missed) = (0, 0);
        loop {
            let state = self.state.lock().unwrap();
            let (up, draining, born, clock) = (state.up, state.draining, state.born, state.clock());
            drop(state);
            if up {
                missed = 0;
                sequence += 1;
                let address = self.address.lock().unwrap().map(|address| address.to_string());
                let entry = format!(
                    "{{\"service\":\"quotes\",\"address\":{},\"zone\":\"sabana-a\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"{}\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{born},\"clock_ms\":{clock},\
                     \"labels\":[\"std\",\"r1-{}\"],\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}}}}",
                    quote(&address.unwrap_or_default()),
                    if draining { "draining" } else { "ready" },
                    self.index / 8,
                    self.capacity.0,
                    self.capacity.1,
                );
                store.put("servers", &self.id, Some(&entry));
            } else {
                missed += 1;
                if missed == MISSED_HEARTBEATS {
                    store.put("servers", &self.id, None);
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(10));
            let mut state = self.state.lock().unwrap();
            if !state.up {
                continue;
            }
            let lapsed = state.clock() > state.lease_until;
            let ended = state.runs.iter().filter_map(|(task, run)| {
                let (age, broken) = self.age(task, run);
                let stopped = run.stopping_since.is_some_and(|since| since.elapsed().as_millis() >= u128::from(STOP_MS));
                let how = if lapsed {
                    "lapsed"
                } else if stopped {
                    "stopped"
                } else if let Some(end) = broken {
                    end
                } else if run.fails && run.started_at.elapsed().as_millis() >= 100 {
                    "failed"
                } else if run.stopping_since.is_none() && age >= run.work_ms {
                    "done"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            });
            let ended: Vec<(String, &'static str)> = ended.collect();
            for (task, how) in &ended {
                let Some(run) = state.runs.remove(task) else { continue };
                if run.gang > 0 {
                    let mut gangs = self.gangs.0.lock().unwrap();
                    gangs.entry(gang_key(task, run.number)).or_default().end.get_or_insert(how);
                }
                let saved = run.token(task);
                let number = state.next_end;
                state.next_end += 1;
                state.past.insert(task.clone(), run.number);
                state.ends.push((number, task.clone(), run.number, how, saved));
                self.note(task, run.number, &run.spec, how);
            }
            if !ended.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    /// Returns for how long a run has been at work in ms, and how it ends with its gang.
    fn age(&self, task: &str, run: &Run) -> (u64, Option<&'static str>) {
        let ms = |since: Instant| u64::try_from(since.elapsed().as_millis()).unwrap_or_default();
        if run.gang == 0 {
            return (ms(run.started_at), None);
        }
        let mut gangs = self.gangs.0.lock().unwrap();
        let gang = gangs.entry(gang_key(task, run.number)).or_default();
        let end = match gang.end {
            Some("done") => Some("done"),
            Some(_) => Some("broken"),
            None if gang.complete_since.is_none() && ms(run.started_at) >= GANG_MS => Some("alone"),
            None => None,
        };
        (gang.complete_since.map_or(0, ms), end)
    }

    fn handle(&self, request: &Request) -> Answer {
        let Some(body) = json::parse(&request.body) else { return Answer::Reply(400, String::from("{}")) };
        if !self.state.lock().unwrap().up {
            return Answer::Silence;
        }
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return Answer::Reply(421, String::from("{}"));
        }
        thread::sleep(Duration::from_millis(1));
        match request.path() {
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/hold" => self.hold(&body),
            _ => Answer::Reply(404, String::from("{}")),
        }
    }

    fn refuse(state: &State, reason: &str) -> Answer {
        let (clock, born) = (state.clock(), state.born);
        Answer::Reply(409, format!("{{\"clock_ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"))
    }

    fn accept(state: &State) -> Answer {
        Answer::Reply(200, format!("{{\"clock_ms\":{},\"born\":{}}}", state.clock(), state.born))
    }

    fn is_fenced(state: &mut State, body: &Json) -> bool {
        let fence = body.number("fence");
        let fenced = fence < state.fence;
        state.fence = state.fence.max(fence);
        fenced
    }

    fn extend_lease(state: &mut State, body: &Json) {
        let most = state.clock() + LEASE_MAX_MS;
        state.lease_until = state.lease_until.max(body.number("deadline_ms").min(most));
    }

    fn run_start(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        if Self::is_fenced(&mut state, body) {
            return Self::refuse(&state, "fence");
        }
        let late = body.number("deadline_ms") <= state.clock();
        Self::extend_lease(&mut state, body);
        let (task, number) = (body.text("task").to_owned(), body.number("run"));
        if state.runs.get(&task).is_some_and(|run| run.number == number) {
            return Self::accept(&state);
        }
        let past = state.past.get(&task).copied().unwrap_or(0);
        if number <= past || state.runs.contains_key(&task) {
            return Self::refuse(&state, "old");
        }
        if late {
            return Self::refuse(&state, "late");
        }
        let spec = body.text("spec").to_owned();
        self.note(&task, number, &spec, "start");
        let run = Run {
            number,
            started_at: Instant::now(),
            work_ms: work_ms(&spec, &task),
            gang: option(&spec, "gang=").unwrap_or(0),
            fails: state.failing,
            saves: spec.contains("save"),
            stopping_since: None,
            spec,
        };
        if run.gang > 0 {
            let mut gangs = self.gangs.0.lock().unwrap();
            let gang = gangs.entry(gang_key(&task, number)).or_default();
            gang.present += 1;
            if gang.present == run.gang {
                gang.complete_since = Some(Instant::now());
            }
        }
        state.runs.insert(task, run);
        Self::accept(&state)
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        if Self::is_fenced(&mut state, body) {
            return Self::refuse(&state, "fence");
        }
        let (task, number) = (body.text("task").to_owned(), body.number("run"));
        match state.runs.get_mut(&task).filter(|run| run.number == number) {
            Some(run) => {
                run.stopping_since.get_or_insert_with(Instant::now);
            }
            None => {
                let past = state.past.entry(task).or_insert(0);
                *past = (*past).max(number);
            }
        }
        Self::accept(&state)
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().unwrap();
        if Self::is_fenced(&mut state, body) {
            return Self::refuse(&state, "fence");
        }
        Self::extend_lease(&mut state, body);
        let seen_upto = body.number("seen_upto");
        let before = state.ends.len();
        state.ends.retain(|(number, ..)| *number > seen_upto);
        state.noted += (before - state.ends.len()) as u64;
        let until = Instant::now() + Duration::from_millis(body.number("wait_ms").min(2000));
        while state.ends.is_empty() && state.up {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if !state.up {
            return Answer::Silence;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let (age, _) = self.age(task, run);
            let percent = (age * 100 / run.work_ms.max(1)).min(99);
            format!("[{},{},{},{percent},0]", quote(task), run.number, quote(&run.token(task)))
        });
        let running: Vec<String> = running.collect();
        let ends = state.ends.iter().take(MAX_LISTED_ENDS);
        let ends = ends.map(|(number, task, run, how, saved)| {
            format!("[{number},{},{run},\"{how}\",{}]", quote(task), quote(saved))
        });
        let ends: Vec<String> = ends.collect();
        Answer::Reply(200, format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            state.clock(), state.born, running.join(","), ends.join(",")
        ))
    }
}

impl Run {
    /// Returns the checkpoint token.
    fn token(&self, task: &str) -> String {
        let saves = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or_default() / SAVE_MS;
        if !self.saves || saves == 0 {
            return String::new();
        }
        let hash = task.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
        format!("{saves:08x}{hash:08x}")
    }
}
