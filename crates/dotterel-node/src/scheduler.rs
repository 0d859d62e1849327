//! The scheduler of a cell: drives the decisions of `dotterel-cell` with events from the network.
//!
//! - [`host`]: runs the schedulers of the cells that this node leads, and accepts connections of
//!   fronts.
//! - `writer`: writes rows to the store.
//! - `watch`: polls the registry of VMs and each VM in it.
//! - `decision_log`: logs what the cell has decided and why.
//! - `orders`: sends orders to VMs and requests advice.
//! - `peers`: handles requests of fronts.
//! - `absence`: answers requests about unknown jobs.
//! - `configuration`: the tenants for the cell, and the configuration for fronts without the store.
//! - [`pace`]: how long the planner waits between plans, and polls on small links.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use dotterel_cell::fitness::{Fitness, Incumbent, LagMonitor, Responsiveness};
use dotterel_cell::{Cell, JobId, Leadership, StepRef, VmKey};
use dotterel_kernel::{Clock, Millis};
use tokio::sync::{Notify, mpsc, watch as channel};
use tokio::task::{JoinError, JoinSet};

use self::passes::Pass;
use crate::config::ActiveConfig;
use crate::election::{LANES, LeaderRow, Predecessor};
use crate::link::{CellNo, SchedulerMessage};
use crate::metrics::Metrics;
use crate::platform::{Platform, VmTarget};
use crate::settings::Settings;

mod absence;
mod configuration;
mod decision_log;
pub mod host;
mod order_queue;
mod orders;
pub mod pace;
mod passes;
mod peers;
mod recovery;
mod watch;
mod writer;

pub use host::SchedulerHost;

/// Result of a successful takeover.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The cell.
    pub cell: CellNo,
    /// The leader row as written by the takeover.
    pub leader: LeaderRow,
    /// The fencing token.
    pub fence: u64,
    /// When the takeover was sent to the store, counting time during which the machine was suspended.
    pub sent_at: Millis,
    /// The predecessor's last renewal was sent before this time.
    pub renewed_until: Millis,
    /// The predecessor, if no lease of earlier terms can be in force. Once another process runs on its
    /// node, it extends no lease any more.
    pub predecessor: Option<Predecessor>,
}

/// Interval of the timer that drives timeouts.
const TICK_INTERVAL: Millis = Millis(150);
/// Interval between log lines on the load of the cell.
const LOAD_LOG_INTERVAL: Millis = Millis::secs(1);
/// A longer gap between two ticks means that the process was suspended.
const STALL_THRESHOLD: Millis = Millis(900);
/// After a stall, no run is started until a renewal has confirmed the leadership. The wait is
/// limited, so that a store outage doesn't stop a leader that no other node can replace.
const CONFIRM_TIMEOUT: Millis = Millis(3000);

/// A request that waits for a job's row to be committed.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    peer: u64,
    request_id: u64,
    is_cancel: bool,
}

/// A connected front.
struct Peer {
    id: u64,
    node: CompactString,
    fitness: Fitness,
    responsiveness: StdCell<Responsiveness>,
    sender: mpsc::Sender<SchedulerMessage>,
}

/// A call to the advice service in flight.
struct AdviceCall {
    step: StepRef,
    vms: Vec<VmKey>,
    peer: u64,
    validity: Millis,
    started_at: Millis,
}

/// The scheduler of a cell for one term.
pub(crate) struct Scheduler<P> {
    platform: Rc<P>,
    settings: Rc<Settings>,
    metrics: Rc<Metrics>,
    config: Rc<ActiveConfig>,
    clock: Clock,
    cell_no: CellNo,
    term: u32,
    fence: u64,
    /// The leader row as this node wrote it.
    leader: LeaderRow,
    /// Version of the leader row in each lane's partition of the store.
    lane_versions: RefCell<[u64; LANES as usize]>,
    cell: RefCell<Cell>,
    waiters: RefCell<HashMap<JobId, Vec<Waiter>>>,
    /// Requests about unknown jobs that wait for a renewal of the leadership.
    absence_checks: RefCell<Vec<absence::AbsenceCheck>>,
    peers: RefCell<Vec<Peer>>,
    next_id: StdCell<u64>,
    advice_calls: RefCell<HashMap<u64, AdviceCall>>,
    order_queues: RefCell<HashMap<VmKey, mpsc::UnboundedSender<orders::VmOrder>>>,
    plan_wakeup: Notify,
    write_wakeup: Notify,
    /// Wakes the watchers of VMs that don't respond, as one of them may be back.
    vm_wakeup: Notify,
    /// When the transaction in flight in each lane was first sent.
    busy_since: RefCell<[Option<Millis>; LANES as usize]>,
    /// Duration of the last transaction, without attempts that got no reply.
    commit_time: StdCell<Millis>,
    /// How many attempts of a transaction were taken for lost that was only slow; zero once the store
    /// has replied quickly.
    store_slowness: StdCell<u32>,
    /// When the term began.
    started_at: Millis,
    /// Fitness of the node to which this one yields, or its own.
    fittest_node: StdCell<Fitness>,
    /// The last handover that the node knew of when the term began.
    last_handover: Option<Millis>,
    /// How late the node's timer fires.
    lag: Rc<StdCell<LagMonitor>>,
    /// Bounds polls on a small link.
    poll_pace: Option<pace::PollPace>,
    /// When lane 0 last committed, which renews the leadership.
    renewed_at: StdCell<Millis>,
    /// The predecessor, as in `Takeover`.
    predecessor: Option<Predecessor>,
    /// Bounds the leases that are requested from VMs.
    leadership: StdCell<Leadership>,
    /// Leases extended since the leadership should have been renewed.
    unrenewed_leases: StdCell<u32>,
    /// When the leader's own lease was seen to have ended, until it is renewed.
    lease_ended_at: StdCell<Option<Millis>>,
    /// Since when the store has rejected or not answered transactions.
    unavailable_since: StdCell<Option<Millis>>,
    /// Set while fronts know that the store is unavailable.
    outage_reported: StdCell<bool>,
    /// No run is started before this time, unless the leadership is confirmed earlier.
    unconfirmed_until: StdCell<Option<Millis>>,
    releasing: StdCell<bool>,
    /// Version of the registry up to which its changes are known.
    registry_version: StdCell<Option<u64>>,
    /// Set once the state of the cell is restored.
    recovered: StdCell<bool>,
    ended: channel::Sender<bool>,
}

impl<P: Platform> Scheduler<P> {
    /// Runs the scheduler until the leadership is lost or released.
    async fn run(self: Rc<Self>) {
        // No run may start before the caps of tenants are known.
        let config = self.config.subscribe();
        self.apply_tenants();
        let mut tasks = JoinSet::new();
        tasks.spawn_local(Rc::clone(&self).follow_config(config));
        for lane in 0..LANES {
            tasks.spawn_local(Rc::clone(&self).write_rows(lane));
        }
        tasks.spawn_local(Rc::clone(&self).poll_registry());
        tasks.spawn_local(Rc::clone(&self).run_planner());
        tasks.spawn_local(Rc::clone(&self).run_timer());
        let mut ended = self.ended.subscribe();
        tokio::select! {
            // `self` owns the sender, so the wait only ends with the term.
            _ = ended.wait_for(|ended| *ended) => {}
            Some(result) = tasks.join_next() => self.task_ended(result),
        }
        drop(tasks);
        self.metrics.set_tenants(None);
        self.order_queues.borrow_mut().clear();
        self.peers.borrow_mut().clear();
    }

    /// Ends the term after one of its tasks has ended by itself. A writer ends with the term; any
    /// other end is a panic, after which another node had better restore the cell's state.
    fn task_ended(&self, result: Result<(), JoinError>) {
        if let Err(err) = result {
            log::error!(cell = self.cell_no.0, fault:% = err; "scheduler task panicked");
        }
        self.end("a task of the scheduler has ended");
    }

    /// Ends the term.
    fn end(&self, reason: &'static str) {
        if !*self.ended.borrow() {
            log::info!(
                cell = self.cell_no.0, term = self.term, fence = self.fence, reason,
                renewed_ms_ago = self.renewal_age().0,
                unrenewed_leases = self.unrenewed_leases.get();
                "leadership ended");
        }
        self.ended.send_replace(true);
    }

    async fn run_planner(self: Rc<Self>) {
        let mut plan_time = Duration::ZERO;
        loop {
            self.plan_wakeup.notified().await;
            tokio::time::sleep(pace::plan_delay(plan_time)).await;
            if self.may_not_start() {
                continue;
            }
            let now = self.clock.now();
            let started_at = Instant::now();
            let orders = {
                let mut cell = self.cell.borrow_mut();
                if cell.needs_plan() {
                    cell.plan(now);
                }
                cell.take_orders()
            };
            plan_time = self.note_pass(Pass::Plan, started_at);
            self.dispatch(orders, now);
        }
    }

    async fn run_timer(self: Rc<Self>) {
        let mut last_tick = self.clock.now();
        let mut logged_at = last_tick;
        loop {
            tokio::time::sleep(TICK_INTERVAL.duration()).await;
            let now = self.clock.now();
            if now.since(last_tick) > STALL_THRESHOLD {
                log::warn!(
                    cell = self.cell_no.0, gap_ms = now.since(last_tick).0; "process stalled");
                self.unconfirmed_until.set(Some(now + CONFIRM_TIMEOUT));
                self.write_wakeup.notify_one();
            }
            last_tick = now;
            let started_at = Instant::now();
            self.cell.borrow_mut().tick(now);
            self.note_pass(Pass::Tick, started_at);
            self.log_own_lease();
            self.log_lost_vms();
            self.log_crash_verdicts();
            self.log_events();
            self.hand_over_if_due(now);
            self.report_store_state();
            self.expire_advice_calls(now);
            self.update_gauges();
            if now.since(logged_at) >= LOAD_LOG_INTERVAL {
                logged_at = now;
                if self.unrenewed_leases.get() > 0 {
                    log::warn!(
                        cell = self.cell_no.0, term = self.term,
                        renewed_ms_ago = self.renewal_age().0,
                        unrenewed_leases = self.unrenewed_leases.get();
                        "leases extended by a leader that isn't renewed");
                }
                let report = self.cell.borrow_mut().report_tenants(now);
                self.metrics.set_tenants(report.as_ref());
                let load = self.cell.borrow().load();
                log::info!(
                    cell = self.cell_no.0, vms = load.vms,
                    free_cores = load.free.milli_cores / 1000,
                    cores = load.capacity.milli_cores / 1000, free_gb = load.free.memory_mb / 1024,
                    runs = load.runs, stopping = load.stopping, taken:? = load.used_cores,
                    waiting:? = load.waiting;
                    "load");
            }
            self.plan_wakeup.notify_one();
            self.write_wakeup.notify_one();
        }
    }

    /// Releases the leadership when a linked node should lead instead.
    fn hand_over_if_due(&self, now: Millis) {
        // Without the store the release can't be written, and nothing is started while it waits.
        if self.releasing.get() || self.unavailable_since.get().is_some() {
            return;
        }
        let leader = Incumbent {
            fitness: self.settings.fitness(),
            since: self.started_at,
            last_handover: self.last_handover,
            is_slowed_down: self.lag.get().is_slowed_down(self.settings.milli_cores),
            lag: self.lag.get().current(now),
        };
        let recipient = {
            let peers = self.peers.borrow();
            let others = peers
                .iter()
                .filter(|peer| peer.node != self.settings.node)
                .map(|peer| (peer.fitness, peer.responsiveness.get()));
            leader.hands_over_to(others, now)
        };
        if let Some((recipient, reason)) = recipient {
            log::info!(
                cell = self.cell_no.0, reason:? = reason, own = leader.fitness.0,
                recipient = recipient.0, lag_ms = self.lag.get().smoothed().0;
                "handing over leadership");
            self.fittest_node.set(recipient);
            self.releasing.set(true);
            self.write_wakeup.notify_one();
        }
    }

    /// Names the fittest of the other nodes for the release of a node that stops, so that the others
    /// don't wait for this one.
    fn name_fittest_node(&self) {
        if !self.settings.shape().is_described() {
            return;
        }
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|peer| peer.node != self.settings.node);
        if let Some(fittest) = others.map(|peer| peer.fitness).max() {
            self.fittest_node.set(fittest);
        }
    }

    /// Returns for how long leases on VMs may last.
    fn leadership_remaining(&self) -> Millis {
        let now = self.clock.now_with_suspension();
        self.leadership.get().remaining(&self.settings.limits, now)
    }

    /// Returns true if starting runs is pointless or not allowed for now.
    fn may_not_start(&self) -> bool {
        self.releasing.get() || self.is_unconfirmed() || self.leadership_remaining() == Millis::ZERO
    }

    fn is_unconfirmed(&self) -> bool {
        self.unconfirmed_until
            .get()
            .is_some_and(|until| self.clock.now() < until)
    }

    fn update_gauges(&self) {
        let cell = self.cell.borrow();
        self.metrics.set_gauge("jobs", cell.jobs().count());
        self.metrics.set_gauge("vms", cell.vms().count());
        self.metrics
            .set_gauge("runs", cell.vms().map(|(_, vm)| vm.runs.len()).sum());
        self.metrics.set_gauge("fronts", self.peers.borrow().len());
        self.metrics
            .set_gauge("waiting_releases", cell.waiting_releases());
    }

    fn allocate_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    fn target(&self, key: VmKey) -> Option<VmTarget> {
        let mut cell = self.cell.borrow_mut();
        let fence = cell.fence(key)?;
        let info = &cell.vm(key)?.info;
        Some(VmTarget {
            address: info.address.clone(),
            id: info.id.clone(),
            fence,
        })
    }

    /// Ends the term as a VM has seen a higher token than that of a call, unless it is this leader's own, which it
    /// calls a later life of the VM with.
    fn note_higher_fence(&self, key: VmKey, target: &VmTarget) {
        let is_current = self
            .cell
            .borrow()
            .vm(key)
            .is_some_and(|vm| vm.fence == Some(target.fence));
        if is_current {
            self.end("a VM has seen a higher fencing token");
        } else {
            log::info!(
                vm = target.id.as_str(), fence = target.fence;
                "call meant for a former life of the VM rejected");
        }
    }
}
