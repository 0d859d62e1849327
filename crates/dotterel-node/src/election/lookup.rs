//! Finds the leader of a cell without the store, by asking other nodes which leader they follow.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;

use dotterel_kernel::{Clock, Millis};
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::rows::LeaderRow;
use crate::link::{self, CellNo, FrontMessage, SchedulerMessage};
use crate::settings::Settings;

/// Most peers of the settings that are asked at a time.
const MAX_PEERS: usize = 4;
/// Most former leaders that are asked as well: all peers of the settings may be turned away.
const MAX_FORMER: usize = 2;
/// Timeout of a question: connecting and the reply, each a round trip between regions.
const ANSWER_TIMEOUT: Millis = Millis(400);
/// Time between the first two questions.
const MIN_ASK_INTERVAL: Millis = Millis(200);
/// Longest time between questions. When the store is away for all nodes, all of them ask the same few.
const MAX_ASK_INTERVAL: Millis = Millis(800);

/// Asks other nodes for the leader of a cell while the store can't be read.
pub(super) struct PeerLookup {
    cell: CellNo,
    peers: Vec<SocketAddr>,
    clock: Clock,
    own: SocketAddr,
    /// The leader that was last read or followed. It isn't asked: the node's link to it says as much.
    last: Cell<Option<SocketAddr>>,
    /// The leaders before it, the latest last.
    former: RefCell<Vec<SocketAddr>>,
    /// The highest term that was read or followed.
    latest_term: Cell<u32>,
    /// Time between questions; it doubles as long as they are of no use.
    interval: Cell<Millis>,
    next_at: Cell<Millis>,
    /// Set once it is logged that no peer names a leader.
    failure_logged: Cell<bool>,
    /// A leader that was found and isn't followed yet.
    found: RefCell<Option<LeaderRow>>,
}

impl PeerLookup {
    /// Returns a lookup that asks the peers in the settings.
    pub(super) fn new(settings: &Settings, cell: CellNo, clock: Clock) -> Self {
        let others = settings.peers.iter().filter(|peer| **peer != settings.peer);
        Self {
            cell,
            peers: others.copied().take(MAX_PEERS).collect(),
            clock,
            own: settings.peer,
            last: Cell::new(None),
            former: RefCell::default(),
            latest_term: Cell::new(0),
            interval: Cell::new(MIN_ASK_INTERVAL),
            next_at: Cell::new(Millis::ZERO),
            failure_logged: Cell::new(false),
            found: RefCell::default(),
        }
    }

    /// Records that the leader row could be read.
    pub(super) fn record_read(&self, leader: Option<&LeaderRow>) {
        if let Some(leader) = leader {
            self.record_leader(leader);
        }
        self.interval.set(MIN_ASK_INTERVAL);
        self.failure_logged.set(false);
        self.found.take();
    }

    /// Records a leader. The one before it is asked from now on.
    fn record_leader(&self, leader: &LeaderRow) {
        self.latest_term
            .set(self.latest_term.get().max(leader.term));
        let address = leader.address.parse().ok();
        let last = self.last.replace(address);
        let Some(last) = last.filter(|last| Some(*last) != address) else {
            return;
        };
        let mut former = self.former.borrow_mut();
        former.retain(|other| *other != last && Some(*other) != address);
        if last != self.own && !self.peers.contains(&last) {
            former.push(last);
        }
        let surplus = former.len().saturating_sub(MAX_FORMER);
        former.drain(..surplus);
    }

    /// Returns the highest term that was read or followed.
    pub(super) fn latest_term(&self) -> u32 {
        self.latest_term.get()
    }

    /// Returns the leader that the last call of `find` has found, once.
    pub(super) fn take_found(&self) -> Option<LeaderRow> {
        self.found.take()
    }

    /// Asks the peers for a leader of `min_term` or a later one, and of no term before those known. Returns
    /// whether there is one, and false at once if the last question was a moment ago.
    pub(super) async fn find(&self, min_term: u32) -> bool {
        let now = self.clock.now();
        let mut asked = self.peers.clone();
        asked.extend_from_slice(&self.former.borrow());
        if asked.is_empty() || now < self.next_at.get() {
            return false;
        }
        let interval = self.interval.get();
        self.next_at.set(now + interval);
        self.interval
            .set(Millis(interval.0 * 2).min(MAX_ASK_INTERVAL));
        let answers = join_all(asked.into_iter().map(|peer| async move {
            let answer = timeout(ANSWER_TIMEOUT.duration(), self.ask(peer)).await;
            Some((answer.ok()?.ok()??, peer))
        }));
        let answers = answers.await.into_iter().flatten();
        let Some((leader, peer)) = answers.max_by_key(|(leader, _)| leader.term) else {
            if !self.failure_logged.replace(true) {
                log::warn!(cell = self.cell.0; "no peer names a leader");
            }
            return false;
        };
        let latest = self.latest_term.get();
        if leader.term < min_term.max(latest) {
            return false;
        }
        if leader.term > latest {
            self.interval.set(MIN_ASK_INTERVAL);
        }
        self.record_leader(&leader);
        log::info!(
            cell = self.cell.0, holder = leader.node.as_str(), term = leader.term, peer:%;
            "leader learnt from a peer");
        *self.found.borrow_mut() = Some(leader);
        true
    }

    async fn ask(&self, peer: SocketAddr) -> io::Result<Option<LeaderRow>> {
        let mut stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let (sender, mut queue) = mpsc::channel(1);
        // The queue is empty, so it takes the message.
        let _ = sender.try_send(FrontMessage::FindLeader(self.cell));
        drop(sender);
        link::write_queue(&mut stream, &mut queue).await?;
        match link::read(&mut stream).await? {
            SchedulerMessage::Leader(leader) => Ok(leader),
            _ => Ok(None),
        }
    }
}
