//! Runs the schedulers of the cells that this node leads, and accepts connections of fronts.

use std::cell::{Cell as StdCell, RefCell};
use std::rc::Rc;

use dotterel_cell::fitness::{Fitness, LAG_INTERVAL, LagMonitor, Readiness};
use dotterel_cell::{Cell, Leadership, recovery_wait};
use dotterel_kernel::{Clock, Millis, thread_cpu_time};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::pace::PollPace;
use super::{Scheduler, Takeover};
use crate::config::ActiveConfig;
use crate::election::LeaderRow;
use crate::http::limits::{Connection, LimitSizes, Limits, Refusal};
use crate::link::{self, CellNo, FrontMessage, SchedulerMessage};
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::Settings;

/// Timeout for the first message of a front.
const HELLO_TIMEOUT: Millis = Millis(1000);
/// Timeout for releasing the leadership when the node stops.
const RELEASE_TIMEOUT: Millis = Millis(1500);

/// Holds the schedulers of the cells that this node leads.
pub struct SchedulerHost<P> {
    platform: Rc<P>,
    settings: Rc<Settings>,
    metrics: Rc<Metrics>,
    config: Rc<ActiveConfig>,
    clock: Clock,
    schedulers: RefCell<Vec<Rc<Scheduler<P>>>>,
    /// The leaders to which this node is linked.
    followed: RefCell<Vec<(CellNo, LeaderRow)>>,
    /// When this node last released a leadership.
    handed_over_at: StdCell<Option<Millis>>,
    /// The last handover that this node knows of: its own, or a release that it took over.
    last_handover: StdCell<Option<Millis>>,
    /// How late the node's timer fires.
    lag: Rc<StdCell<LagMonitor>>,
    /// Limits on the connections of peers and on their frames.
    limits: Rc<Limits>,
}

impl<P: Platform> SchedulerHost<P> {
    /// Returns a host without schedulers.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        settings: Rc<Settings>,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            limits: Limits::new(LimitSizes::of(None, None), Rc::clone(&metrics), clock),
            platform,
            settings,
            metrics,
            config: Rc::default(),
            clock,
            schedulers: RefCell::default(),
            followed: RefCell::default(),
            handed_over_at: StdCell::default(),
            last_handover: StdCell::default(),
            lag: Rc::default(),
        }
    }

    /// Returns the host with the configuration of its node.
    #[must_use]
    pub fn with_config(mut self, config: Rc<ActiveConfig>) -> Self {
        self.config = config;
        self
    }

    /// Sets the limits on the connections of peers.
    pub fn set_limits(&mut self, limits: &Rc<Limits>) {
        self.limits = Rc::clone(limits);
    }

    /// Returns true when this node leads a cell.
    #[must_use]
    pub fn leads_any(&self) -> bool {
        !self.schedulers.borrow().is_empty()
    }

    /// Returns true when this node leads the cell.
    #[must_use]
    pub fn leads(&self, cell: CellNo) -> bool {
        self.schedulers
            .borrow()
            .iter()
            .any(|scheduler| scheduler.cell_no == cell)
    }

    /// Records the leader of a cell to which this node is linked.
    pub fn set_followed(&self, cell: CellNo, leader: Option<LeaderRow>) {
        let mut followed = self.followed.borrow_mut();
        followed.retain(|(other, _)| *other != cell);
        followed.extend(leader.map(|leader| (cell, leader)));
    }

    /// Returns the leader of a cell as this node knows it: itself, or the one to which it is linked.
    fn known_leader(&self, cell: CellNo) -> Option<LeaderRow> {
        let own = self
            .scheduler(cell)
            .map(|scheduler| scheduler.leader.clone());
        let followed = self.followed.borrow();
        let followed = followed.iter().find(|(other, _)| *other == cell);
        let followed = followed.map(|(_, leader)| leader.clone());
        own.into_iter()
            .chain(followed)
            .max_by_key(|leader| leader.term)
    }

    /// Records that this node takes over a leadership that another one has released.
    pub fn note_handover(&self, now: Millis) {
        self.last_handover.set(Some(now));
    }

    /// Returns whether this node should leave a takeover to others.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        Readiness::of(&self.lag.get(), self.handed_over_at.get(), self.clock.now())
    }

    /// Measures how late the node's timer fires, if the settings describe the machine: other nodes keep
    /// the leadership as they always have.
    pub async fn measure_lag(self: Rc<Self>) {
        if !self.settings.shape().is_described() {
            return;
        }
        while let Some(cpu_time) = thread_cpu_time() {
            let mut lag = self.lag.get();
            lag.record(self.clock.now(), cpu_time);
            self.lag.set(lag);
            tokio::time::sleep(LAG_INTERVAL.duration()).await;
        }
    }

    /// Starts the scheduler for a new term, and ends an earlier term of the same cell.
    pub fn start_term(self: Rc<Self>, takeover: Takeover) {
        for scheduler in self.schedulers.borrow().iter() {
            if scheduler.cell_no == takeover.cell {
                scheduler.end("superseded by a new term of this node");
            }
        }
        let now = self.clock.now();
        let term = takeover.leader.term;
        let recovery_deadline = takeover.renewed_until + recovery_wait(&self.settings.limits);
        let mut cell = Cell::new(self.settings.limits, term, now, recovery_deadline);
        cell.note_own_version(takeover.fence);
        let scheduler = Rc::new(Scheduler {
            platform: Rc::clone(&self.platform),
            settings: Rc::clone(&self.settings),
            metrics: Rc::clone(&self.metrics),
            config: Rc::clone(&self.config),
            clock: self.clock,
            cell_no: takeover.cell,
            term,
            fence: takeover.fence,
            leader: takeover.leader,
            lane_versions: RefCell::default(),
            cell: RefCell::new(cell),
            waiters: RefCell::default(),
            absence_checks: RefCell::default(),
            peers: RefCell::default(),
            next_id: StdCell::new(0),
            advice_calls: RefCell::default(),
            order_queues: RefCell::default(),
            plan_wakeup: Notify::new(),
            write_wakeup: Notify::new(),
            vm_wakeup: Notify::new(),
            busy_since: RefCell::default(),
            commit_time: StdCell::new(Millis::ZERO),
            store_slowness: StdCell::new(0),
            started_at: now,
            fittest_node: StdCell::new(self.settings.fitness()),
            last_handover: self.last_handover.get(),
            lag: Rc::clone(&self.lag),
            poll_pace: PollPace::for_link(self.settings.link_kbps),
            renewed_at: StdCell::new(now),
            predecessor: takeover.predecessor,
            leadership: StdCell::new(Leadership::acquired(takeover.sent_at)),
            unrenewed_leases: StdCell::new(0),
            lease_ended_at: StdCell::new(None),
            unavailable_since: StdCell::new(None),
            outage_reported: StdCell::new(false),
            unconfirmed_until: StdCell::new(None),
            releasing: StdCell::new(false),
            registry_version: StdCell::new(None),
            recovered: StdCell::new(false),
            ended: watch::Sender::new(false),
        });
        self.schedulers.borrow_mut().push(Rc::clone(&scheduler));
        tokio::task::spawn_local(async move {
            let mut ended = scheduler.ended.subscribe();
            let recovered = tokio::select! {
                recovered = scheduler.recover() => recovered,
                _ = ended.wait_for(|ended| *ended) => false,
            };
            if recovered {
                scheduler.recovered.set(true);
                Rc::clone(&scheduler).run().await;
            }
            if scheduler.releasing.get() {
                let now = Some(self.clock.now());
                self.handed_over_at.set(now);
                self.last_handover.set(now);
            }
            self.schedulers
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &scheduler));
        });
    }

    /// Accepts connections of fronts.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                tokio::time::sleep(Millis(20).duration()).await;
                continue;
            };
            let peers = &self.limits.peers;
            let Some(guard) = peers.admit(address.ip(), HELLO_TIMEOUT, Millis::MAX) else {
                tokio::task::yield_now().await;
                continue;
            };
            let host = Rc::clone(&self);
            tokio::task::spawn_local(async move {
                tokio::select! {
                    biased;
                    // Before the hello is taken: a session that is dropped halfway would stay among the peers.
                    () = guard.connection().closed() => {}
                    () = host.handle_connection(stream, guard.connection()) => {}
                }
            });
        }
    }

    async fn handle_connection(&self, stream: TcpStream, connection: &Connection) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (reader, mut writer) = stream.into_split();
        let (sender, mut queue) = mpsc::channel(link::QUEUE_CAPACITY);
        // Ends with this future, so that a peer that doesn't read holds no descriptor.
        let mut tasks = JoinSet::new();
        tasks.spawn_local(async move {
            // A broken connection ends the reader as well, which ends the session.
            let _ = link::write_queue(&mut writer, &mut queue).await;
            let _ = writer.shutdown().await;
        });
        self.serve_connection(reader, sender, connection).await;
        // What is queued is still sent.
        let _ = timeout(HELLO_TIMEOUT.duration(), tasks.join_next()).await;
    }

    async fn serve_connection(
        &self,
        reader: OwnedReadHalf,
        sender: mpsc::Sender<SchedulerMessage>,
        connection: &Connection,
    ) {
        let mut reader = BufReader::new(reader);
        let hello = timeout(
            HELLO_TIMEOUT.duration(),
            link::read_first::<FrontMessage, _>(&mut reader),
        )
        .await;
        let hello = match hello {
            Ok(Ok(hello)) => hello,
            Ok(Err(err)) if err.kind() == std::io::ErrorKind::InvalidData => {
                self.limits.links.record(Refusal::Frame);
                return;
            }
            _ => return,
        };
        connection.begin_request();
        let (node, incarnation, cell, milli_cores) = match hello {
            FrontMessage::Hello {
                node,
                incarnation,
                cell,
                milli_cores,
            } => (node, incarnation, cell, milli_cores),
            FrontMessage::FindLeader(cell) => {
                let _ = sender.try_send(SchedulerMessage::Leader(self.known_leader(cell)));
                return;
            }
            _ => return,
        };
        let Some(scheduler) = self.await_scheduler(cell, &sender).await else {
            // A queue without space belongs to a front that no longer reads.
            let _ = sender.try_send(SchedulerMessage::NotLeader);
            return;
        };
        let welcome = SchedulerMessage::Welcome {
            fence: scheduler.fence,
        };
        scheduler.note_process(&node, incarnation);
        if sender.try_send(welcome).is_ok() {
            scheduler
                .serve_peer(
                    node,
                    Fitness(milli_cores),
                    reader,
                    sender,
                    &self.limits.links,
                )
                .await;
        }
    }

    /// Returns the scheduler of a cell once it has restored the cell's state. Waits for a moment if
    /// there is none, since a takeover may be in progress.
    ///
    /// While the state is being restored, which takes seconds when the store is slow, the front is
    /// told so: otherwise it would take the leader for dead and start another takeover.
    async fn await_scheduler(
        &self,
        cell: CellNo,
        front: &mpsc::Sender<SchedulerMessage>,
    ) -> Option<Rc<Scheduler<P>>> {
        const MAX_ATTEMPTS: u32 = 10;
        const RETRY_INTERVAL: Millis = Millis(60);
        let mut attempt = 0;
        let mut told_at = None;
        loop {
            let scheduler = self.scheduler(cell);
            match scheduler {
                Some(scheduler) if scheduler.recovered.get() => return Some(scheduler),
                Some(scheduler) => {
                    let now = self.clock.now();
                    if told_at.is_none_or(|told_at| now.since(told_at) >= link::PING_INTERVAL) {
                        told_at = Some(now);
                        let pong = SchedulerMessage::Pong {
                            store_available: scheduler.reports_store_available(),
                        };
                        front.try_send(pong).ok()?;
                    }
                }
                None => {
                    attempt += 1;
                    if attempt == MAX_ATTEMPTS {
                        return None;
                    }
                }
            }
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
        }
    }

    fn scheduler(&self, cell: CellNo) -> Option<Rc<Scheduler<P>>> {
        let schedulers = self.schedulers.borrow();
        let mut found = schedulers.iter().filter(|scheduler| {
            scheduler.cell_no == cell && !scheduler.releasing.get() && !*scheduler.ended.borrow()
        });
        found.next().cloned()
    }

    /// Releases the leadership of all cells, so that successors need not wait for a timeout.
    ///
    /// A successor restores the cell's state within a fraction of a second, but needs seconds while
    /// the store is slow. Meanwhile the leadership is kept, for at most `patience`.
    pub async fn release_all(&self, patience: Millis) {
        const CHECK_INTERVAL: Millis = Millis(50);
        let schedulers = self.schedulers.borrow().clone();
        let until = self.clock.now() + patience;
        let is_slow =
            |scheduler: &Rc<Scheduler<P>>| !*scheduler.ended.borrow() && scheduler.is_store_slow();
        if schedulers.iter().any(is_slow) {
            log::info!("store slow, keeping the leadership for now");
        }
        while schedulers.iter().any(is_slow) && self.clock.now() < until {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        }
        for scheduler in schedulers {
            scheduler.name_fittest_node();
            scheduler.releasing.set(true);
            scheduler.write_wakeup.notify_one();
            let mut ended = scheduler.ended.subscribe();
            let wait = ended.wait_for(|ended| *ended);
            if timeout(RELEASE_TIMEOUT.duration(), wait).await.is_err() {
                scheduler.end("node stopping, release not committed in time");
            }
        }
    }
}
