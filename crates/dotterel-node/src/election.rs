//! Finding the scheduler of a cell, and taking its role when there is none.
//!
//! The role is a row. Taking it is a write under the condition that the row is as it was read, and
//! the version of that write is the fencing token: versions rise, and a VM does nothing for a lower
//! one. So a hasty take-over costs time but never runs a task twice.

use std::cell::Cell;
use std::rc::Rc;

use compact_str::CompactString;
use dotterel_cell::JobId;
use dotterel_kernel::{Clock, Millis};
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::front::Relay;
use crate::link::{self, CellNo, Down, PING_EVERY, SILENT, Up};
use crate::metrics::Metrics;
use crate::platform::{Commit, Platform, StoreError, Table, Tx};
use crate::scheduler::{Host, Takeover};
use crate::settings::Settings;

mod rows;

use rows::Role;
pub use rows::{LANES, OWNER, Owner, RENEWAL, Renewal, is_small};

/// A holder whose renewal stands still for so long is taken to be gone: a renewal and a call more.
const SUSPECT: Millis = Millis(600);
/// A link that has brought nothing for so long makes its front look at the role: a ping was missed.
const DOUBT: Millis = Millis(350);
/// While the store is slow, a renewal has to stand still for so many times what a look takes.
const SLOW_LOOKS: u64 = 6;
/// Time to take the role; a slow store needs most of a second.
const TAKE_TIMEOUT: Millis = Millis(1500);
/// A holder that lives but can't write for so long is replaced, if others can.
const STORE_AWAY: Millis = Millis(600);
/// After an outage that others saw too, a holder has this long to get a transaction through.
const OUTAGE_OVER: Millis = Millis(2400);
/// Pause between looks at the role's rows.
const LOOK_EVERY: Millis = Millis(200);
/// Time to connect to the holder.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Nodes spread their attempts over this time, more than a way across regions and back, so that
/// most of them meet the winner's row instead of writing.
const SPREAD: Millis = Millis(90);
/// Nodes that hold a role already leave the next one to others for so long.
const HOLDER_SPREAD: Millis = Millis(250);
/// Small nodes leave the role to larger ones for so long, in proportion: the scheduler's work takes
/// a quarter of a core at 350 VMs.
const SMALL_SPREAD: Millis = Millis(300);
/// Until a node has held the role, nodes compare themselves with this many thousandths of a core.
const FULL_SIZE: u32 = 500;
/// Calls for advice that a node has under way; the service takes a node's calls in turn.
const ADVICE_CALLS: usize = 2;

/// Why a link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    Refused,
    Closed,
    Silent,
    NotHolder,
    StoreAway,
}

/// Keeps a node's link to the scheduler of one cell.
pub struct Seeker<P> {
    /// The platform.
    pub platform: Rc<P>,
    /// The settings.
    pub settings: Rc<Settings>,
    /// This life of the node.
    pub life: u64,
    /// The cell.
    pub cell: CellNo,
    /// Where requests wait for the link.
    pub relay: Rc<Relay>,
    /// Runs the role when this node takes it.
    pub host: Rc<Host<P>>,
    /// What the process counts.
    pub metrics: Rc<Metrics>,
    /// The node's clock.
    pub clock: Clock,
    /// Set while the node is stopping: it takes no role any more.
    pub stopping: Rc<Cell<bool>>,
    /// Lets one call for advice after the other be made.
    pub advice: Rc<Semaphore>,
}

/// Returns what limits a node's calls for advice.
#[must_use]
pub fn advice_calls() -> Rc<Semaphore> {
    Rc::new(Semaphore::new(ADVICE_CALLS))
}

impl<P: Platform> Seeker<P> {
    /// Finds the scheduler or takes its role, over and over.
    pub async fn run(self) {
        let mut away = false;
        loop {
            let role = match self.look().await {
                Ok(role) => role,
                Err(fault) => {
                    if !away {
                        log::warn!(cell = self.cell.0, fault:? = fault; "role not read");
                    }
                    away = true;
                    self.pause(LOOK_EVERY).await;
                    continue;
                }
            };
            if away {
                log::info!(cell = self.cell.0; "role read again");
                away = false;
            }
            let Some((owner, _)) = role.owner.clone() else {
                self.take(&role, "nobody holds the role").await;
                continue;
            };
            if owner.node == self.settings.node && owner.life != self.life {
                self.take(&role, "held by an earlier life of this node")
                    .await;
                continue;
            }
            if owner.released {
                self.take(&role, "given back").await;
                continue;
            }
            let broken = self.follow(&owner).await;
            log::info!(
                cell = self.cell.0, holder = owner.node.as_str(), term = owner.term,
                why:? = broken; "link to the scheduler lost");
            match broken {
                Break::Refused | Break::NotHolder => {
                    self.take(&role, "the holder is gone").await;
                }
                Break::Closed => self.pause(Millis(10)).await,
                Break::Silent => {
                    self.watch(SUSPECT).await;
                }
                Break::StoreAway => {}
            }
        }
    }

    async fn look(&self) -> Result<Role, StoreError> {
        let part = self.cell.part(0);
        let page = self.platform.scan(Table::Role, &part, "", 10).await?;
        Ok(Role::read(&page.rows))
    }

    /// Takes the role over if its renewal stands still; returns true when it tried.
    async fn watch(&self, most: Millis) -> bool {
        let mut first: Option<(u64, Millis)> = None;
        let mut most = most;
        loop {
            let began = self.clock.now();
            let looked = self.look().await;
            let took = self.clock.now().since(began);
            most = most.max(Millis(took.0 * SLOW_LOOKS));
            if looked.is_err() {
                // The store is away for this node as well, so the holder may be as well as any.
                most = most.max(OUTAGE_OVER);
            }
            if let Ok(role) = looked {
                let now = self.clock.now();
                let version = role.version();
                match first {
                    Some((seen, since)) if seen == version => {
                        if now.since(since) >= most {
                            self.take(&role, "the holder has stopped renewing").await;
                            return true;
                        }
                    }
                    Some(_) => return false,
                    None => first = Some((version, now)),
                }
            }
            self.pause(LOOK_EVERY).await;
        }
    }

    /// Tries to take the role, as long as its rows are as they were read.
    async fn take(&self, role: &Role, reason: &'static str) {
        if self.stopping.get() {
            self.pause(LOOK_EVERY).await;
            return;
        }
        let spread = xxhash_rust::xxh3::xxh3_64_with_seed(
            self.settings.node.as_bytes(),
            role.owner_version() ^ u64::from(self.cell.0),
        ) % SPREAD.0;
        let holder = if self.host.holds_any() {
            HOLDER_SPREAD
        } else {
            Millis::ZERO
        };
        let own_size = self.settings.milli_cores;
        let largest = role
            .owner
            .as_ref()
            .map_or(FULL_SIZE, |(owner, _)| owner.largest);
        let small = if is_small(own_size, largest) {
            Millis(SMALL_SPREAD.0 * u64::from(largest - own_size) / u64::from(largest))
        } else {
            Millis::ZERO
        };
        let own = role
            .owner
            .as_ref()
            .is_some_and(|(owner, _)| owner.node == self.settings.node);
        if !own {
            self.pause(Millis(spread) + holder + small).await;
        }
        if self.stopping.get() {
            return;
        }
        let term = role.owner.as_ref().map_or(0, |(owner, _)| owner.term) + 1;
        let owner = Owner {
            node: self.settings.node.clone(),
            life: self.life,
            address: compact_str::format_compact!("{}", self.settings.peer),
            term,
            released: false,
            largest: if role.owner.is_some() {
                largest.max(own_size)
            } else {
                own_size
            },
        };
        let renewal = Renewal {
            term,
            count: 0,
            unlisted: 0,
            at: self.clock.now(),
            roll: 0,
        };
        let put = |key: &str, value| (Table::Role, CompactString::new(key), value);
        let tx = Tx {
            part: self.cell.part(0),
            expect: vec![(Table::Role, OWNER.into(), role.owner_version())],
            puts: vec![
                put(OWNER, dotterel_cell::record::encode(&owner)),
                put(RENEWAL, dotterel_cell::record::encode(&renewal)),
            ],
            removes: Vec::new(),
        };
        match self.platform.commit(&tx, TAKE_TIMEOUT).await {
            Commit::Done(version) => {
                log::info!(cell = self.cell.0, term, fence = version, reason; "role taken");
                let before = role.renewal.map(|(renewal, _)| renewal);
                self.host.clone().begin(Takeover {
                    cell: self.cell,
                    fence: version,
                    before,
                    owner,
                });
            }
            Commit::Conflict(_) => {}
            Commit::NotDone | Commit::Unknown => self.pause(LOOK_EVERY).await,
        }
    }

    /// Keeps a link to the holder until it breaks.
    async fn follow(&self, owner: &Owner) -> Break {
        let connecting = TcpStream::connect(owner.address.as_str());
        let stream = match timeout(CONNECT_TIMEOUT.duration(), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Break::Refused;
            }
            Ok(Err(_)) | Err(_) => return Break::Silent,
        };
        if stream.set_nodelay(true).is_err() {
            return Break::Closed;
        }
        let (from, mut to) = stream.into_split();
        let mut from = BufReader::new(from);
        let (up, mut queue) = mpsc::channel(link::QUEUE);
        let hello = Up::Hello {
            node: self.settings.node.clone(),
            cell: self.cell,
            milli_cores: self.settings.milli_cores,
        };
        if up.try_send(hello).is_err() {
            return Break::Closed;
        }
        let (down, mut messages) = mpsc::channel(link::QUEUE);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(async move {
            // Either direction's end ends the link, which the loop below sees.
            let _ = link::write_queue(&mut to, &mut queue).await;
        });
        tasks.spawn_local(async move {
            while let Ok(message) = link::read::<Down, _>(&mut from).await {
                if down.send(message).await.is_err() {
                    return;
                }
            }
        });
        let mut ping = tokio::time::interval(PING_EVERY.duration());
        ping.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut heard = self.clock.now();
        let mut watch = None;
        let broken = loop {
            let message = tokio::select! {
                message = messages.recv() => message,
                _ = ping.tick() => {
                    let silent = self.clock.now().since(heard);
                    if silent > SILENT && watch.is_none() {
                        break Break::Silent;
                    }
                    if silent > DOUBT && watch.is_none() && !self.host.holds(self.cell) {
                        watch = Some(Box::pin(self.watch(SUSPECT)));
                    }
                    if up.try_send(Up::Ping).is_err() {
                        break Break::Closed;
                    }
                    continue;
                }
                taken = async { watch.as_mut().expect("polled only when set").await },
                    if watch.is_some() =>
                {
                    watch = None;
                    if taken {
                        break Break::StoreAway;
                    }
                    continue;
                }
            };
            heard = self.clock.now();
            self.relay.hear();
            let Some(message) = message else {
                break Break::Closed;
            };
            match message {
                Down::Welcome { fence } => {
                    log::info!(
                        cell = self.cell.0, holder = owner.node.as_str(), fence;
                        "link to the scheduler");
                    self.relay.connect(up.clone());
                }
                Down::NotHolder => break Break::NotHolder,
                Down::Reply(number, reply) => self.relay.reply(number, reply),
                Down::Advise {
                    call,
                    step,
                    vms,
                    timeout,
                } => self.advise(&up, call, step, vms, timeout),
                Down::Pong { storing: true } => watch = None,
                Down::Pong { storing: false } => {
                    // The holder goes on with what it has. If others reach the store, one of
                    // them takes the role; if nobody does, nobody could.
                    if watch.is_none() && !self.host.holds(self.cell) {
                        watch = Some(Box::pin(self.watch(STORE_AWAY)));
                    }
                }
            }
        };
        self.relay.disconnect();
        broken
    }

    /// Makes a call for advice for the scheduler.
    fn advise(
        &self,
        up: &mpsc::Sender<Up>,
        call: u64,
        step: (JobId, u32, u16),
        vms: Vec<CompactString>,
        timeout: Millis,
    ) {
        let platform = Rc::clone(&self.platform);
        let up = up.clone();
        let calls = Rc::clone(&self.advice);
        let (metrics, clock) = (Rc::clone(&self.metrics), self.clock);
        tokio::task::spawn_local(async move {
            let came = clock.now();
            let Ok(_turn) = calls.acquire().await else {
                return;
            };
            let began = clock.now();
            let timeout = timeout - began.since(came);
            let good = platform.advise(step, &vms, timeout).await;
            metrics.call("advise", clock.now().since(began));
            if let Err(fault) = good {
                log::info!(job:% = step.0, step = step.2, fault:? = fault; "no advice");
            }
            // The scheduler asks again when this answer doesn't reach it.
            let _ = up.send(Up::Advised(call, good.ok())).await;
        });
    }

    async fn pause(&self, span: Millis) {
        tokio::time::sleep(span.duration()).await;
    }
}
