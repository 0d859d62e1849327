//! Workers: they run tasks on orders, and report them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_ms` of the sites.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_LISTED_ENDS: usize = 500;
const MAX_WAIT: Duration = Duration::from_millis(2000);
const TICK: Duration = Duration::from_millis(2);
/// `in_zone_ms` and `cross_region_ms` of the sites.
const IN_ZONE: Duration = Duration::from_micros(200);
const CROSS_REGION: Duration = Duration::from_millis(8);

/// What a task does on a worker.
#[derive(Clone, Copy)]
pub struct Work {
    pub takes: Duration,
    pub fails: bool,
}

/// What the workers of a case have in common.
pub struct Plan {
    pub service: &'static str,
    pub milli_cores: u64,
    pub memory_mb: u64,
    pub hold_max: Duration,
    /// How long a stop takes; `stop_ms` is 400.
    pub stop_time: Duration,
    /// What a run does, by the `spec` and the name of its task.
    pub work: Box<dyn Fn(&str, &str) -> Work + Send + Sync>,
    /// How long after a worker has first heard from another leader the runs that fail do so, if they haven't yet.
    pub fail_after_takeover: Option<Duration>,
    /// Number of regions; workers and processes are spread over them by their numbers. With 0, calls take no time.
    pub regions: usize,
}

struct Run {
    spec: String,
    began: Instant,
    work: Work,
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    born: u64,
    began: Instant,
    fence: u64,
    /// On the worker's own clock.
    deadline: Duration,
    running: BTreeMap<(String, u64), Run>,
    /// The highest run of a task that was stopped or has ended.
    barred: BTreeMap<String, u64>,
    ended: Vec<End>,
    last_end: u64,
    seen_upto: u64,
    is_up: bool,
}

/// A run as the judge of a case sees it.
#[derive(Clone)]
pub struct Seen {
    pub vm: usize,
    pub task: String,
    pub run: u64,
    pub began: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

pub struct Vm {
    number: usize,
    pub id: String,
    address: SocketAddr,
    label: String,
    rack: String,
    plan: Arc<Plan>,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
    state: Mutex<State>,
    changed: Condvar,
    highest_fence: AtomicU64,
    server: Mutex<Option<Server>>,
}

impl Vm {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        number: usize,
        address: SocketAddr,
        label: &str,
        plan: &Arc<Plan>,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> io::Result<Arc<Self>> {
        let vm = Arc::new(Self {
            number,
            id: format!("i-{number:08x}"),
            address,
            label: label.to_owned(),
            rack: format!("r1-{}", number / 8),
            plan: Arc::clone(plan),
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Arc::clone(seen),
            state: Mutex::new(new_life()),
            changed: Condvar::new(),
            highest_fence: AtomicU64::new(0),
            server: Mutex::new(None),
        });
        vm.listen()?;
        let ticking = Arc::clone(&vm);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let beating = Arc::clone(&vm);
        thread::spawn(move || {
            let mut seq = 0;
            let mut silent = 0;
            loop {
                seq += 1;
                if beating.state.lock().unwrap().is_up {
                    silent = 0;
                    beating.beat(seq);
                } else {
                    silent += 1;
                    if silent == 3 {
                        beating.store.remove("servers", &beating.id);
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(vm)
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let vm = Arc::clone(self);
        let server = Server::start(self.address, move |request| vm.handle_from_afar(request))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    fn beat(&self, seq: u64) {
        let born = self.state.lock().unwrap().born;
        let plan = &self.plan;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{},{}],\"seq\":{seq}}}",
            quote(plan.service),
            self.address,
            plan.milli_cores,
            plan.memory_mb,
            quote(&self.label),
            quote(&self.rack),
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Crashes the worker: its connections break, and what it runs is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        let lost: Vec<_> = state.running.keys().cloned().collect();
        for (task, run) in lost {
            state.running.remove(&(task.clone(), run));
            self.note_end(&task, run, "lost with its worker");
        }
        drop(state);
        self.record.line(&format!("worker {} crashes", self.id));
        self.changed.notify_all();
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Starts the worker again under its id, at its address.
    pub fn restart(self: &Arc<Self>) {
        *self.state.lock().unwrap() = new_life();
        self.record.line(&format!("worker {} is back", self.id));
        for _ in 0..100 {
            if self.listen().is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.beat(0);
    }

    /// Returns true if nothing runs on the worker.
    pub fn is_idle(&self) -> bool {
        self.state.lock().unwrap().running.is_empty()
    }

    fn note_end(&self, task: &str, run: u64, how: &'static str) {
        self.record
            .line(&format!("{} ends {task} run {run}: {how}", self.id));
        let now = self.record.now();
        let mut seen = self.seen.lock().unwrap();
        let known = seen
            .iter_mut()
            .rev()
            .find(|seen| seen.vm == self.number && seen.task == task && seen.run == run);
        if let Some(known) = known {
            known.ended = Some((now, how));
        }
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &'static str) {
        if state.running.remove(key).is_none() {
            return;
        }
        let (task, run) = key.clone();
        self.note_end(&task, run, how);
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push(End {
            number,
            task,
            run,
            how,
        });
        self.changed.notify_all();
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        let has_lapsed = state.began.elapsed() >= state.deadline;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|(key, run)| {
                let how = if run.stops_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else if now.duration_since(run.began) >= run.work.takes {
                    if run.work.fails { "failed" } else { "done" }
                } else {
                    return None;
                };
                Some((key.clone(), how))
            })
            .collect();
        for (key, how) in due {
            self.end(&mut state, &key, how);
        }
    }

    /// Handles a call after the time that it takes to get here, and answers after the time that the answer takes.
    fn handle_from_afar(&self, request: &Request) -> Answer {
        let regions = self.plan.regions;
        if regions == 0 {
            return self.handle(request);
        }
        let fence = Json::parse(&request.body)?.get("fence").number();
        if self.highest_fence.fetch_max(fence, Ordering::SeqCst) < fence && self.number < 3 {
            self.record.line(&format!("{} gets a call with fence {fence}", self.id));
        }
        let is_near = self
            .store
            .holder(fence)
            .is_none_or(|process| process % regions == self.number % regions);
        let transit = if is_near { IN_ZONE } else { CROSS_REGION };
        // A connection is opened first, which takes a packet in each direction.
        thread::sleep(transit * if request.is_first { 3 } else { 1 });
        let answer = self.handle(request);
        thread::sleep(transit);
        answer
    }

    /// Returns the highest fencing token that has been sent to the worker.
    pub fn highest_fence(&self) -> u64 {
        self.highest_fence.load(Ordering::SeqCst)
    }

    fn handle(&self, request: &Request) -> Answer {
        let call = Json::parse(&request.body)?;
        let expected = request.header("expect-instance");
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return None;
        }
        let clock = state.began.elapsed();
        let clock_text = format!("\"clock_ms\":{}", clock.as_millis());
        let refuse = |reason: &str| Some((409, format!("{{{clock_text},\"reason\":\"{reason}\"}}")));
        if !expected.is_empty() && expected != self.id {
            return Some((421, format!("{{{clock_text}}}")));
        }
        let fence = call.get("fence").number();
        if fence < state.fence {
            return refuse("fence");
        }
        if fence > state.fence
            && let Some(delay) = self.plan.fail_after_takeover
        {
            for run in state.running.values_mut().filter(|run| run.work.fails) {
                run.work.takes = run.work.takes.min(run.began.elapsed() + delay);
            }
        }
        state.fence = fence;
        let deadline = match call.get("deadline_ms") {
            Json::Num(value) => Some(Duration::from_millis(*value as u64)),
            _ => None,
        };
        let extend = |state: &mut State| {
            if let Some(deadline) = deadline {
                let longest = clock + self.plan.hold_max;
                state.deadline = state.deadline.max(deadline.min(longest));
            }
        };
        let task = call.get("task").text().to_owned();
        let run = call.get("run").number();
        match request.path.as_str() {
            "/run-start" => {
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return refuse("late");
                }
                extend(&mut state);
                let key = (task.clone(), run);
                if state.running.contains_key(&key) {
                    return Some((200, format!("{{{clock_text}}}")));
                }
                if state.barred.get(&task).is_some_and(|barred| run <= *barred) {
                    return refuse("old");
                }
                let spec = call.get("spec").text().to_owned();
                self.record.line(&format!(
                    "{} starts {task} run {run}, fence {fence}, spec {spec}",
                    self.id
                ));
                self.seen.lock().unwrap().push(Seen {
                    vm: self.number,
                    task: task.clone(),
                    run,
                    began: self.record.now(),
                    ended: None,
                });
                let work = (self.plan.work)(&spec, &task);
                let began = Instant::now();
                state.running.insert(
                    key,
                    Run {
                        spec,
                        began,
                        work,
                        stops_at: None,
                    },
                );
                Some((200, format!("{{{clock_text}}}")))
            }
            "/run-stop" => {
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(run);
                if let Some(found) = state.running.get_mut(&(task, run)) {
                    found.stops_at.get_or_insert(Instant::now() + self.plan.stop_time);
                }
                Some((200, format!("{{{clock_text}}}")))
            }
            "/hold" => {
                extend(&mut state);
                let seen_upto = call.get("seen_upto").number();
                state.seen_upto = state.seen_upto.max(seen_upto);
                let seen_upto = state.seen_upto;
                state.ended.retain(|end| end.number > seen_upto);
                let wait = Duration::from_millis(call.get("wait_ms").number()).min(MAX_WAIT);
                let until = Instant::now() + wait;
                let (born, known) = (state.born, state.last_end);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || state.last_end > known {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    if !state.is_up || state.born != born {
                        return None;
                    }
                }
                Some((200, report(&state)))
            }
            _ => Some((404, format!("{{{clock_text}}}"))),
        }
    }
}

fn new_life() -> State {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    State {
        born: born.as_millis() as u64,
        began: Instant::now(),
        fence: 0,
        deadline: Duration::ZERO,
        running: BTreeMap::new(),
        barred: BTreeMap::new(),
        ended: Vec::new(),
        last_end: 0,
        seen_upto: 0,
        is_up: true,
    }
}

fn report(state: &State) -> String {
    let running: Vec<String> = state
        .running
        .iter()
        .map(|((task, run), found)| {
            let share = found.began.elapsed().as_secs_f64() / found.work.takes.as_secs_f64();
            let percent = (share * 100.0).min(99.0) as u64;
            let _ = &found.spec;
            format!("[\"{task}\",{run},\"\",{percent},0]")
        })
        .collect();
    let ended: Vec<String> = state
        .ended
        .iter()
        .take(MAX_LISTED_ENDS)
        .map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.number, end.task, end.run, end.how
            )
        })
        .collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        state.began.elapsed().as_millis(),
        state.born,
        running.join(","),
        ended.join(",")
    )
}
