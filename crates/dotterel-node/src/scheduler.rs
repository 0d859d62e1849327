//! The scheduler's role: the decisions of `dotterel-cell`, driven by what comes over the network.
//!
//! - [`host`]: starts the role on this node and lets fronts in.
//! - `writer`: rows to the store.
//! - `watch`: the registry of VMs, and one watcher for each VM.
//! - `orders`: orders to VMs and calls for advice.
//! - `peers`: fronts' requests.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use dotterel_cell::{Cell, JobId, StepRef, VmKey};
use dotterel_kernel::{Clock, Millis};
use tokio::sync::{Notify, mpsc, watch as channel};
use tokio::task::JoinSet;

use crate::election::{LANES, Owner, Renewal, is_small};
use crate::link::{CellNo, Down};
use crate::metrics::Metrics;
use crate::platform::{Platform, VmTarget};
use crate::settings::Settings;

pub mod host;
mod orders;
mod peers;
mod recovery;
mod watch;
mod writer;

pub use host::Host;

/// How this node came to the role.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The cell.
    pub cell: CellNo,
    /// The row by which it was taken.
    pub owner: Owner,
    /// The fencing token.
    pub fence: u64,
    /// The renewal that the former holder left.
    pub before: Option<Renewal>,
}

/// Events within this time share one plan, since a plan looks at every waiting step.
const PLAN_DELAY: Millis = Millis(3);
/// After a plan, the next one waits for so many times what it took.
const PLAN_PART: u32 = 3;
/// How often time alone is taken into account.
const TICK: Millis = Millis(150);
/// How often the log tells how full the cell is.
const LOAD_EVERY: Millis = Millis::secs(1);
/// A tick that comes this much late tells that the process stood still.
const STANDSTILL: Millis = Millis(900);
/// A small node keeps the role for so long at least, so that it doesn't pass on what is in flight.
const SETTLED: Millis = Millis::secs(3);
/// After a standstill nothing is started until the role is confirmed, but not for longer, so that
/// an outage of the store doesn't stop a holder that nobody can replace.
const CONFIRM_MAX: Millis = Millis(3000);

/// Who waits for a job's row.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    peer: u64,
    number: u64,
    cancel: bool,
}

/// A front that is linked.
struct Peer {
    id: u64,
    node: CompactString,
    milli_cores: u32,
    down: mpsc::Sender<Down>,
}

/// A call for advice under way.
struct Call {
    step: StepRef,
    vms: Vec<VmKey>,
    peer: u64,
    valid: Millis,
    began: Millis,
}

/// One term of the role.
pub(crate) struct Scheduler<P> {
    platform: Rc<P>,
    settings: Rc<Settings>,
    metrics: Rc<Metrics>,
    clock: Clock,
    no: CellNo,
    term: u32,
    fence: u64,
    /// The renewal that the former holder left.
    before: Option<Renewal>,
    /// The row of the role as this node wrote it.
    owner: Owner,
    /// Versions of that row in the lanes' parts of the store.
    fences: RefCell<[u64; LANES as usize]>,
    cell: RefCell<Cell>,
    waiters: RefCell<HashMap<JobId, Vec<Waiter>>>,
    peers: RefCell<Vec<Peer>>,
    next: StdCell<u64>,
    calls: RefCell<HashMap<u64, Call>>,
    lines: RefCell<HashMap<VmKey, mpsc::UnboundedSender<orders::VmOrder>>>,
    plan: Notify,
    write: Notify,
    /// Since when each lane to the store has been busy.
    busy: RefCell<[Option<Millis>; LANES as usize]>,
    /// How long the last transaction took, with its repetitions.
    took: StdCell<Millis>,
    /// When the role was taken.
    began: Millis,
    /// Thousandths of a core of the largest node known.
    largest: StdCell<u32>,
    /// When rows were last written, which renews the role.
    renewed: StdCell<Millis>,
    /// Since when the store has not taken rows.
    away: StdCell<Option<Millis>>,
    /// Starts wait until the role is confirmed, or until this moment.
    unsure: StdCell<Option<Millis>>,
    releasing: StdCell<bool>,
    over: channel::Sender<bool>,
}

impl<P: Platform> Scheduler<P> {
    /// Runs the role until it is lost or given back.
    async fn run(self: Rc<Self>) {
        let mut tasks = JoinSet::new();
        for lane in 0..LANES {
            tasks.spawn_local(Rc::clone(&self).write_rows(lane));
        }
        tasks.spawn_local(Rc::clone(&self).follow_registry());
        tasks.spawn_local(Rc::clone(&self).plan_runs());
        tasks.spawn_local(Rc::clone(&self).keep_time());
        let mut over = self.over.subscribe();
        // The sender lives as long as `self`, so this only ends when the role does.
        let _ = over.wait_for(|over| *over).await;
        drop(tasks);
        self.lines.borrow_mut().clear();
        self.peers.borrow_mut().clear();
    }

    /// Ends the role.
    fn end(&self, reason: &'static str) {
        if !*self.over.borrow() {
            log::info!(cell = self.no.0, term = self.term, fence = self.fence, reason; "role over");
        }
        self.over.send_replace(true);
    }

    async fn plan_runs(self: Rc<Self>) {
        let mut took = Duration::ZERO;
        loop {
            self.plan.notified().await;
            // A backlog makes plans long; whatever else there is to do keeps its part.
            tokio::time::sleep(PLAN_DELAY.duration().max(took * PLAN_PART)).await;
            if self.is_unsure() || self.releasing.get() {
                continue;
            }
            let now = self.clock.now();
            let began = Instant::now();
            let orders = {
                let mut cell = self.cell.borrow_mut();
                if cell.wants_plan() {
                    cell.plan(now);
                }
                cell.take_orders()
            };
            took = began.elapsed();
            self.metrics.planned(took);
            self.dispatch(orders, now);
        }
    }

    async fn keep_time(self: Rc<Self>) {
        let mut last = self.clock.now();
        let mut told = last;
        loop {
            tokio::time::sleep(TICK.duration()).await;
            let now = self.clock.now();
            if now.since(last) > STANDSTILL {
                log::warn!(cell = self.no.0, gap_ms = now.since(last).0; "process stood still");
                self.unsure.set(Some(now + CONFIRM_MAX));
                self.write.notify_one();
            }
            last = now;
            self.cell.borrow_mut().tick(now);
            self.give_way(now);
            self.expire_calls(now);
            self.measure();
            if now.since(told) >= LOAD_EVERY {
                told = now;
                let load = self.cell.borrow().load();
                log::info!(
                    cell = self.no.0, vms = load.vms, free_cores = load.free.milli_cores / 1000,
                    cores = load.whole.milli_cores / 1000, free_gb = load.free.memory_mb / 1024,
                    runs = load.runs, stopping = load.stopping, taken:? = load.cores, waiting:? = load.waiting;
                    "load");
            }
            self.plan.notify_one();
            self.write.notify_one();
        }
    }

    /// Gives the role back when a much larger node could have it.
    fn give_way(&self, now: Millis) {
        let largest = self
            .peers
            .borrow()
            .iter()
            .map(|peer| peer.milli_cores)
            .max();
        let small = largest.is_some_and(|most| is_small(self.settings.milli_cores, most));
        if small && now.since(self.began) > SETTLED && !self.releasing.get() {
            log::info!(cell = self.no.0, largest; "role given up for a larger node");
            self.largest.set(largest.unwrap_or_default());
            self.releasing.set(true);
            self.write.notify_one();
        }
    }

    fn is_unsure(&self) -> bool {
        self.unsure
            .get()
            .is_some_and(|until| self.clock.now() < until)
    }

    fn measure(&self) {
        let cell = self.cell.borrow();
        self.metrics.gauge("jobs", cell.jobs().count());
        self.metrics.gauge("vms", cell.vms().count());
        self.metrics
            .gauge("runs", cell.vms().map(|(_, vm)| vm.runs.len()).sum());
        self.metrics.gauge("fronts", self.peers.borrow().len());
    }

    fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }

    fn target(&self, key: VmKey) -> Option<VmTarget> {
        let cell = self.cell.borrow();
        let info = &cell.vm(key)?.info;
        Some(VmTarget {
            address: info.address.clone(),
            id: info.id.clone(),
            fence: self.fence,
        })
    }
}
