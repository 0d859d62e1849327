//! Leader election: finds the leader of a cell, or takes over when there is none.
//!
//! The leader is named by a row in the store. A node takes over with a conditional write of that
//! row, and the version of the write is the fencing token. Versions only grow, and a VM rejects
//! requests with a token lower than the highest it has seen, so a premature takeover costs time but
//! never runs a task twice.
//!
//! A node that can't read the row asks other nodes which leader they follow, and follows it as well. It
//! takes over only with a row from the store.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use compact_str::CompactString;
use dotterel_cell::JobId;
use dotterel_cell::fitness::{Vacancy, takeover_delay};
use dotterel_kernel::{Clock, Millis};
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::advice::AdviceCalls;
use crate::commit_probe::{CommitProbe, Probe};
use crate::front::Relay;
use crate::link::{self, CellNo, FrontMessage, IDLE_TIMEOUT, PING_INTERVAL, SchedulerMessage};
use crate::metrics::Metrics;
use crate::platform::{Commit, Platform, Row, StoreError, Table, Tx};
use crate::scheduler::{SchedulerHost, Takeover};
use crate::settings::Settings;

mod lookup;
mod rows;

use lookup::PeerLookup;
use rows::RoleRows;
pub use rows::{LANES, LEADER_KEY, LeaderRow, Predecessor, RENEWAL_KEY, RenewalRow};

/// A leader whose renewal row has not changed for this long is presumed dead: one renewal interval
/// plus one store call.
const RENEWAL_TIMEOUT: Millis = Millis(500);
/// After this long without a message on the link, a front starts to watch the leader's renewals: at
/// least one ping has gone unanswered.
const LINK_SUSPECT_DELAY: Millis = Millis(250);
/// While the store is slow, a renewal must be overdue by at least this many times the duration of a
/// read.
const SLOW_READ_FACTOR: u64 = 6;
/// Timeout of a read while a node watches for renewals: twice what a slow store takes. After an outage
/// it bounds the time until the next read.
const WATCH_READ_TIMEOUT: Millis = Millis(600);
/// A read of the leader row that takes longer, several round trips between regions, may never be replied
/// to, so peers are asked as well.
const LOOKUP_DELAY: Millis = Millis(250);
/// Timeout of the takeover write. A slow store needs most of a second.
const ACQUIRE_TIMEOUT: Millis = Millis(1500);
/// How often a takeover without a reply is sent.
const MAX_TAKEOVER_ATTEMPTS: u32 = 4;
/// A leader that is alive but reports that it can't write to the store is replaced by a node that
/// can after this time: two reads that show the same rows.
const STORE_OUTAGE_TIMEOUT: Millis = Millis(200);
/// After a store outage seen by this node as well, the leader has this long to commit a transaction:
/// three times what its probes take to find that the store replies again.
const OUTAGE_RECOVERY_TIMEOUT: Millis = Millis(900);
/// Interval between reads of the leader and renewal rows.
const POLL_INTERVAL: Millis = Millis(200);
/// Timeout for connecting to the leader.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Nodes spread their takeover attempts over this time. It exceeds a round trip between regions, so
/// that most nodes see the winner's row instead of writing.
const MAX_JITTER: Millis = Millis(90);
/// Delay for a node that already leads a cell, so that another node takes over the next one.
const LEADER_DELAY: Millis = Millis(250);

/// Why a link to the leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkLoss {
    Refused,
    Closed,
    Silent,
    NotHolder,
    /// The store or a peer names another leader, or the store names none.
    LeaderReplaced,
    /// The leader has not renewed its leadership, and this node has tried to take over.
    TakeoverTried,
}

/// Keeps a node linked to the leader of one cell, and takes over the cell when the leader fails.
pub struct Election<P> {
    /// The platform.
    pub platform: Rc<P>,
    /// The settings.
    pub settings: Rc<Settings>,
    /// The incarnation of the node.
    pub incarnation: u64,
    /// The cell.
    pub cell: CellNo,
    /// Sends callers' requests over the link.
    pub relay: Rc<Relay>,
    /// Runs the scheduler when this node becomes the leader.
    pub host: Rc<SchedulerHost<P>>,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The node's clock.
    pub clock: Clock,
    /// Set while the node is stopping: it no longer takes over a cell.
    pub stopping: Rc<Cell<bool>>,
    /// The node's calls to the advice service.
    pub advice_calls: Rc<AdviceCalls>,
}

impl<P: Platform> Election<P> {
    /// Follows the current leader, or takes over when there is none, until the task is dropped.
    pub async fn run(self) {
        let lookup = PeerLookup::new(&self.settings, self.cell, self.clock);
        let mut unavailable = false;
        loop {
            while let Some(leader) = lookup.take_found() {
                self.follow_found(&leader, &lookup).await;
            }
            // A read that merely takes long may still show that the known leader has been replaced.
            let min_term = if unavailable {
                0
            } else {
                lookup.latest_term() + 1
            };
            let rows = match self.read_rows_or_find(&lookup, min_term).await {
                None => continue,
                Some(Ok(rows)) => rows,
                Some(Err(err)) => {
                    if !unavailable {
                        log::warn!(
                            cell = self.cell.0, fault:? = err; "failed to read the leader row");
                    }
                    unavailable = true;
                    if !lookup.find(0).await {
                        self.sleep(POLL_INTERVAL).await;
                    }
                    continue;
                }
            };
            if unavailable {
                log::info!(cell = self.cell.0; "leader row readable again");
                unavailable = false;
            }
            lookup.record_read(rows.leader.as_ref().map(|(leader, _)| leader));
            let Some((leader, _)) = rows.leader.clone() else {
                self.try_acquire(&rows, None, "no leader").await;
                continue;
            };
            if leader.released {
                self.try_acquire(&rows, None, "released by the leader")
                    .await;
                continue;
            }
            if leader.node == self.settings.node && leader.incarnation != self.incarnation {
                self.try_acquire(&rows, None, "held by an earlier incarnation of this node")
                    .await;
                continue;
            }
            if leader.node == self.settings.node && !self.host.leads(self.cell) {
                // The term has ended, or its takeover took effect after it was given up.
                self.try_acquire(&rows, None, "held by this node without a scheduler")
                    .await;
                continue;
            }
            match self.follow_leader(&leader, &lookup).await {
                LinkLoss::Refused | LinkLoss::NotHolder => {
                    self.try_acquire(&rows, None, "leader gone").await;
                }
                LinkLoss::Closed => self.sleep(Millis(10)).await,
                LinkLoss::Silent => {
                    self.watch_renewals(&leader, RENEWAL_TIMEOUT, &lookup, leader.term)
                        .await;
                }
                LinkLoss::LeaderReplaced | LinkLoss::TakeoverTried => {}
            }
        }
    }

    /// Follows a leader that a peer has named. Without rows of the store nothing is known of its
    /// renewals, so there is no takeover when the link ends.
    async fn follow_found(&self, leader: &LeaderRow, lookup: &PeerLookup) {
        if leader.node == self.settings.node && !self.host.leads(self.cell) {
            // The peer hasn't noticed yet that the term has ended.
            return;
        }
        self.follow_leader(leader, lookup).await;
    }

    /// Reads the rows, unless that takes long and a peer follows a leader of `min_term` or later. A read of
    /// a silent store takes its whole timeout, and callers wait.
    async fn read_rows_or_find(
        &self,
        lookup: &PeerLookup,
        min_term: u32,
    ) -> Option<Result<RoleRows, StoreError>> {
        let mut read = pin!(self.read_rows());
        if let Ok(rows) = timeout(LOOKUP_DELAY.duration(), &mut read).await {
            return Some(rows);
        }
        if lookup.find(min_term).await {
            return None;
        }
        Some(read.await)
    }

    async fn read_rows(&self) -> Result<RoleRows, StoreError> {
        let part = self.cell.part(0);
        let page = self.platform.scan(Table::Role, &part, "", 10).await?;
        Ok(RoleRows::read(&page.rows))
    }

    /// Watches the renewal row and takes over when it stays unchanged for `max_age`. Returns why there
    /// is no use in following the leader any more, or `None` once it has renewed.
    ///
    /// While the row can't be read, peers are asked for a leader of `min_term` or later.
    async fn watch_renewals(
        &self,
        followed: &LeaderRow,
        max_age: Millis,
        lookup: &PeerLookup,
        min_term: u32,
    ) -> Option<LinkLoss> {
        let mut baseline: Option<(u64, Millis)> = None;
        let mut max_age = max_age;
        loop {
            let started_at = self.clock.now();
            let read = timeout(WATCH_READ_TIMEOUT.duration(), self.read_rows()).await;
            let now = self.clock.now();
            if let Ok(Ok(rows)) = read {
                lookup.record_read(rows.leader.as_ref().map(|(leader, _)| leader));
                let read_time = now.since(started_at);
                max_age = max_age.max(Millis(read_time.0 * SLOW_READ_FACTOR));
                let version = rows.version();
                let is_followed = |(leader, _): &(LeaderRow, u64)| leader.term == followed.term;
                if !rows.leader.as_ref().is_some_and(is_followed) {
                    // Its successor has to restore the state first, and doesn't renew meanwhile.
                    return Some(LinkLoss::LeaderReplaced);
                }
                match baseline {
                    Some((seen, since)) if seen == version => {
                        if now.since(since) >= max_age {
                            self.try_acquire(&rows, Some(since), "leader stopped renewing")
                                .await;
                            return Some(LinkLoss::TakeoverTried);
                        }
                    }
                    Some(_) => return None,
                    None => baseline = Some((version, now)),
                }
            } else {
                // This node can't reach the store either, so the leader may be healthy.
                max_age = max_age.max(OUTAGE_RECOVERY_TIMEOUT);
                if lookup.find(min_term).await {
                    return Some(LinkLoss::LeaderReplaced);
                }
            }
            self.sleep(POLL_INTERVAL).await;
        }
    }

    /// Tries to become the leader. The write succeeds only while the leader row is unchanged, and the
    /// renewal row as well if it is known to have been so since `unchanged_since`.
    async fn try_acquire(
        &self,
        rows: &RoleRows,
        unchanged_since: Option<Millis>,
        reason: &'static str,
    ) {
        if self.stopping.get() {
            self.sleep(POLL_INTERVAL).await;
            return;
        }
        let jitter = xxhash_rust::xxh3::xxh3_64_with_seed(
            self.settings.node.as_bytes(),
            rows.leader_version() ^ u64::from(self.cell.0),
        ) % MAX_JITTER.0;
        let leader_delay = if self.host.leads_any() {
            LEADER_DELAY
        } else {
            Millis::ZERO
        };
        let vacancy = rows.vacancy();
        // A leader that has released its leadership has done so for another node.
        let is_own = rows.leader.as_ref().is_some_and(|(leader, _)| {
            let is_yielded = leader.released && leader.incarnation == self.incarnation;
            leader.node == self.settings.node && !is_yielded
        });
        if !is_own {
            let readiness = self.host.readiness();
            let fitness_delay = takeover_delay(&self.settings.shape(), vacancy, readiness);
            self.sleep(Millis(jitter) + leader_delay + fitness_delay)
                .await;
        }
        if self.stopping.get() {
            return;
        }
        let term = rows.leader.as_ref().map_or(0, |(leader, _)| leader.term) + 1;
        let sent_at = self.clock.now_with_suspension();
        let leader = LeaderRow {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            address: compact_str::format_compact!("{}", self.settings.peer),
            term,
            acquired_at: sent_at,
            released: false,
            largest_node: vacancy.next_reference(&self.settings.shape()).0,
        };
        let renewal = RenewalRow {
            term,
            ..RenewalRow::default()
        };
        let mut expect = vec![(Table::Role, LEADER_KEY.into(), rows.leader_version())];
        if unchanged_since.is_some() {
            expect.push((Table::Role, RENEWAL_KEY.into(), rows.renewal_version()));
        }
        let put = |key: &str, value| (Table::Role, CompactString::new(key), value);
        let tx = Tx {
            part: self.cell.part(0),
            expect,
            puts: vec![
                put(LEADER_KEY, dotterel_cell::record::encode(&leader)),
                put(RENEWAL_KEY, dotterel_cell::record::encode(&renewal)),
            ],
            removes: Vec::new(),
        };
        match self.commit_takeover(&tx, &leader).await {
            Commit::Done(version) => {
                log::info!(
                    cell = self.cell.0, term, fence = version, reason,
                    fitness = self.settings.fitness().0, reference = leader.largest_node;
                    "leadership acquired");
                if matches!(vacancy, Vacancy::Released(_)) {
                    self.host.note_handover(self.clock.now());
                }
                self.host.clone().start_term(Takeover {
                    cell: self.cell,
                    fence: version,
                    leader,
                    sent_at,
                    renewed_until: unchanged_since.unwrap_or_else(|| self.clock.now()),
                    predecessor: rows.predecessor(),
                });
            }
            Commit::Conflict(_) => {}
            Commit::NotDone | Commit::Refused | Commit::Unknown => self.sleep(POLL_INTERVAL).await,
        }
    }

    /// Sends a takeover, again if its reply is lost: at most one copy takes effect.
    async fn commit_takeover(&self, tx: &Tx, leader: &LeaderRow) -> Commit {
        let is_own = |row: &Row| {
            dotterel_cell::record::decode::<LeaderRow>(&row.value).as_ref() == Some(leader)
        };
        let probe = CommitProbe {
            platform: &*self.platform,
            clock: self.clock,
            part: &tx.part,
            key: LEADER_KEY,
            timeout: WATCH_READ_TIMEOUT,
            failed: Cell::new(false),
            losses: Cell::new(0),
            slowness: 0,
        };
        for _ in 0..MAX_TAKEOVER_ATTEMPTS {
            let commit = tokio::select! {
                commit = self.platform.commit(tx, ACQUIRE_TIMEOUT) => commit,
                shown = probe.wait(is_own) => match shown {
                    Probe::Committed(version) => Commit::Done(version),
                    Probe::Lost => continue,
                    Probe::Revived => Commit::Unknown,
                },
            };
            let Commit::Conflict(rows) = &commit else {
                return commit;
            };
            let own = rows.iter().find(|row| row.key == LEADER_KEY && is_own(row));
            return own.map_or(commit.clone(), |row| Commit::Done(row.version));
        }
        Commit::Unknown
    }

    /// Keeps a link to the leader until it breaks, and returns why it ended.
    async fn follow_leader(&self, leader: &LeaderRow, lookup: &PeerLookup) -> LinkLoss {
        let reason = self.keep_link(leader, lookup).await;
        log::info!(
            cell = self.cell.0, holder = leader.node.as_str(), term = leader.term, why:? = reason;
            "link to scheduler lost");
        reason
    }

    async fn keep_link(&self, leader: &LeaderRow, lookup: &PeerLookup) -> LinkLoss {
        let connecting = TcpStream::connect(leader.address.as_str());
        let stream = match timeout(CONNECT_TIMEOUT.duration(), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                return LinkLoss::Refused;
            }
            Ok(Err(_)) | Err(_) => return LinkLoss::Silent,
        };
        if stream.set_nodelay(true).is_err() {
            return LinkLoss::Closed;
        }
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let (sender, mut queue) = mpsc::channel(link::QUEUE_CAPACITY);
        let hello = FrontMessage::Hello {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            cell: self.cell,
            milli_cores: self.settings.fitness().0,
        };
        if sender.try_send(hello).is_err() {
            return LinkLoss::Closed;
        }
        let (incoming, mut messages) = mpsc::channel(link::QUEUE_CAPACITY);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(async move {
            // An error in either direction ends the link; the loop below notices it.
            let _ = link::write_queue(&mut writer, &mut queue).await;
        });
        tasks.spawn_local(async move {
            while let Ok(message) = link::read::<SchedulerMessage, _>(&mut reader).await {
                if incoming.send(message).await.is_err() {
                    return;
                }
            }
        });
        let mut ping = tokio::time::interval(PING_INTERVAL.duration());
        ping.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_message = self.clock.now();
        let mut renewal_watch = None;
        let watch_renewals =
            |max_age| Box::pin(self.watch_renewals(leader, max_age, lookup, leader.term + 1));
        let reason = loop {
            let message = tokio::select! {
                message = messages.recv() => message,
                _ = ping.tick() => {
                    let idle = self.clock.now().since(last_message);
                    if idle > IDLE_TIMEOUT && renewal_watch.is_none() {
                        break LinkLoss::Silent;
                    }
                    if idle > LINK_SUSPECT_DELAY
                        && renewal_watch.is_none()
                        && !self.host.leads(self.cell)
                    {
                        renewal_watch = Some(watch_renewals(RENEWAL_TIMEOUT));
                    }
                    if sender.try_send(FrontMessage::Ping).is_err() {
                        break LinkLoss::Closed;
                    }
                    continue;
                }
                loss = async { renewal_watch.as_mut().expect("polled only when set").await },
                    if renewal_watch.is_some() =>
                {
                    renewal_watch = None;
                    if let Some(loss) = loss {
                        break loss;
                    }
                    continue;
                }
            };
            last_message = self.clock.now();
            self.relay.record_activity();
            let Some(message) = message else {
                break LinkLoss::Closed;
            };
            match message {
                SchedulerMessage::Welcome { fence } => {
                    log::info!(
                        cell = self.cell.0, holder = leader.node.as_str(), fence;
                        "linked to scheduler");
                    self.relay.connect(sender.clone(), fence);
                    self.host.set_followed(self.cell, Some(leader.clone()));
                }
                SchedulerMessage::NotLeader | SchedulerMessage::Leader(_) => {
                    break LinkLoss::NotHolder;
                }
                SchedulerMessage::Reply(request_id, reply) => self.relay.reply(request_id, reply),
                SchedulerMessage::Config(version, row) => self.relay.config_received(version, row),
                SchedulerMessage::Advise {
                    call,
                    step,
                    vms,
                    timeout,
                } => self.call_advice(&sender, call, step, vms, timeout),
                SchedulerMessage::Pong {
                    store_available: true,
                } => renewal_watch = None,
                SchedulerMessage::Pong {
                    store_available: false,
                } => {
                    // The leader keeps running what it has. If another node reaches the store, that
                    // node takes over; if none does, a takeover is impossible anyway.
                    if renewal_watch.is_none() && !self.host.leads(self.cell) {
                        renewal_watch = Some(watch_renewals(STORE_OUTAGE_TIMEOUT));
                    }
                }
            }
        };
        self.relay.disconnect();
        self.host.set_followed(self.cell, None);
        reason
    }

    /// Calls the advice service on behalf of the scheduler.
    fn call_advice(
        &self,
        sender: &mpsc::Sender<FrontMessage>,
        call: u64,
        step: (JobId, u32, u16),
        vms: Vec<CompactString>,
        timeout: Millis,
    ) {
        let platform = Rc::clone(&self.platform);
        let sender = sender.clone();
        let calls = Rc::clone(&self.advice_calls);
        let (metrics, clock) = (Rc::clone(&self.metrics), self.clock);
        tokio::task::spawn_local(async move {
            let started_at = clock.now();
            let advice = calls.call(&*platform, clock, step, &vms, timeout).await;
            metrics.record_call("advise", clock.now().since(started_at));
            // The scheduler repeats the call if this reply doesn't reach it.
            let _ = sender.send(FrontMessage::Advised(call, advice)).await;
        });
    }

    async fn sleep(&self, delay: Millis) {
        tokio::time::sleep(delay.duration()).await;
    }
}
