//! Limits on the connections to a port, shared fairly among addresses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use dotterel_kernel::{Clock, Millis};
use slotmap::{DefaultKey, SlotMap};
use tokio::sync::Notify;

use super::bytes::{ByteBudget, ByteGuard};
use super::refusals::{Refusal, Refusals};
use super::turns::ReadTurns;
use super::{CONNECTION_BYTES, MIN_AGE_SWEEPS, SWEEP_INTERVAL};
use crate::metrics::Metrics;

/// A reply of which the caller has taken no byte for this long, 2 s, may be given up for another caller.
pub(super) const UNREAD_SWEEPS: u64 = 8;

/// Bytes of framing that each byte of a chunked body may bring: a chunk of one byte has a line of its size,
/// which some senders pad to eight digits, and two line ends.
const FRAMING_PER_BODY_BYTE: usize = 16;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A head is being received, or the first one has not begun.
    Head,
    /// Nothing has been received since the last reply.
    Idle,
    /// The body of a request is being received.
    Body,
    /// A request is in progress.
    Busy,
    /// A reply is being sent.
    Reply,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    address: IpAddr,
    phase: Cell<Phase>,
    /// The sweep after which the phase began, or the reply last made progress.
    since: Cell<u64>,
    sweeps: Rc<Cell<u64>>,
    head_sweeps: u64,
    idle_sweeps: u64,
    pub(super) is_closed: Cell<bool>,
    closed: Notify,
    /// Set while the connection waits for a turn to read.
    pub(super) awaits_turn: Cell<bool>,
    /// Bytes received since the request began.
    received: Cell<usize>,
    /// Bytes of its body among them.
    body: Cell<usize>,
    /// Bytes of the read buffer, and of framing that is held.
    buffer: RefCell<ByteGuard>,
    /// Bytes of a large reply that is being sent.
    reply: RefCell<Option<ByteGuard>>,
}

impl Connection {
    /// Completes when the connection must be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(self.sweeps.get());
    }

    /// Notes that bytes were received into a buffer of `capacity`. Returns why the connection must be closed,
    /// if it must: its request has brought more than `max_framing` bytes beyond what its body may, or there
    /// are too few bytes for what is held of it. Trailers are held until their end; how much of the framing
    /// they are isn't known.
    pub(in crate::http) fn received(
        &self,
        bytes: usize,
        capacity: usize,
        max_framing: usize,
    ) -> Result<(), Refusal> {
        let mut held = capacity;
        match self.phase.get() {
            Phase::Idle => self.enter(Phase::Head),
            Phase::Head => {}
            Phase::Body | Phase::Busy | Phase::Reply => {
                self.received.set(self.received.get() + bytes);
                let framing = self.received.get().saturating_sub(self.body.get());
                if framing > max_framing + self.body.get() * FRAMING_PER_BODY_BYTE {
                    return Err(Refusal::Framing);
                }
                held = held.max(framing.min(max_framing));
            }
        }
        let mut buffer = self.buffer.borrow_mut();
        let missing = held.saturating_sub(buffer.bytes());
        if missing > 0 && !buffer.try_grow(missing) {
            return Err(Refusal::BodyBudget);
        }
        Ok(())
    }

    /// Notes that a request has begun; until its reply, the connection isn't closed for others.
    pub fn begin_request(&self) {
        self.received.set(0);
        self.body.set(0);
        self.enter(Phase::Busy);
    }

    /// Notes that the request has a body; until its end, the connection may be closed for others.
    pub(in crate::http) fn begin_body(&self) {
        self.enter(Phase::Body);
    }

    /// Notes that bytes of the body of the request were taken.
    pub(in crate::http) fn body_taken(&self, bytes: usize) {
        self.body.set(self.body.get() + bytes);
    }

    /// Notes that the body is complete; until the reply, the connection isn't closed for others.
    pub(in crate::http) fn body_ended(&self) {
        if self.phase.get() == Phase::Body {
            self.enter(Phase::Busy);
        }
    }

    /// Notes that a reply of this many bytes will be sent; returns false if there are too few bytes
    /// for it.
    pub(in crate::http) fn begin_reply(&self, budget: &Rc<ByteBudget>, bytes: usize) -> bool {
        self.enter(Phase::Reply);
        if bytes <= CONNECTION_BYTES {
            return true;
        }
        let mut guard = budget.guard();
        let fits = guard.try_grow(bytes);
        *self.reply.borrow_mut() = Some(guard);
        fits
    }

    /// Notes that part of a reply was sent.
    pub(in crate::http) fn sent(&self) {
        self.since.set(self.sweeps.get());
    }

    /// Notes that all that was to be sent has been sent.
    pub(in crate::http) fn flushed(&self) {
        if self.phase.get() == Phase::Reply {
            self.enter(Phase::Idle);
            self.reply.borrow_mut().take();
        }
    }

    /// Returns why the connection is overdue, if it is.
    fn overdue(&self) -> Option<Refusal> {
        let age = self.sweeps.get() - self.since.get();
        match self.phase.get() {
            Phase::Head if age > self.head_sweeps => Some(Refusal::SlowHead),
            Phase::Idle if age > self.idle_sweeps => Some(Refusal::Idle),
            Phase::Reply if age > self.idle_sweeps => Some(Refusal::UnreadReply),
            _ => None,
        }
    }

    /// Returns the rank in which the connection is closed for another, the highest first: heads and bodies
    /// that take long, then replies that aren't read, then idle connections, and the oldest of each. `None`
    /// if it must stay.
    fn expendability(&self) -> Option<(u8, u64)> {
        let age = self.sweeps.get() - self.since.get();
        let (rank, min_age) = match self.phase.get() {
            Phase::Head | Phase::Body => (2, MIN_AGE_SWEEPS),
            Phase::Reply => (1, UNREAD_SWEEPS),
            Phase::Idle => (0, MIN_AGE_SWEEPS),
            Phase::Busy => return None,
        };
        (age >= min_age).then_some((rank, age))
    }
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Admit,
    /// A waiting connection of this address is closed for it, or else the new one.
    Displace(IpAddr),
}

/// Decides on a new connection from `address`. An address can hold 7/8 of the connections, so that others
/// are always admitted; when all are in use, the address with the most gives one up.
pub(super) fn admission(
    max: usize,
    address: IpAddr,
    by_address: impl Iterator<Item = (IpAddr, usize)> + Clone,
) -> Admission {
    let total: usize = by_address.clone().map(|(_, count)| count).sum();
    let mut counts = by_address.clone();
    let own = counts.find(|(other, _)| *other == address);
    let own = own.map_or(0, |(_, count)| count);
    if own >= (max - max / 8).max(1) {
        return Admission::Displace(address);
    }
    if total < max {
        return Admission::Admit;
    }
    match by_address.max_by_key(|(_, count)| *count) {
        Some((most, count)) if count > own => Admission::Displace(most),
        _ => Admission::Displace(address),
    }
}

/// Limits the connections to one port.
#[derive(Debug)]
pub struct ConnectionLimits {
    port: &'static str,
    max: usize,
    budget: Rc<ByteBudget>,
    /// Turns in which the connections are read; `None` if they are under control.
    turns: Option<Rc<ReadTurns>>,
    refusals: Rc<Refusals>,
    sweeps: Rc<Cell<u64>>,
    pub(super) connections: RefCell<SlotMap<DefaultKey, Rc<Connection>>>,
    /// Number of connections by address, without those that are being closed.
    pub(super) by_address: RefCell<HashMap<IpAddr, usize>>,
}

impl ConnectionLimits {
    pub(super) fn new(
        port: &'static str,
        max: usize,
        budget: &Rc<ByteBudget>,
        turns: Option<&Rc<ReadTurns>>,
        refusals: &Rc<Refusals>,
    ) -> Rc<Self> {
        Rc::new(Self {
            port,
            max,
            budget: Rc::clone(budget),
            turns: turns.cloned(),
            refusals: Rc::clone(refusals),
            sweeps: Rc::default(),
            connections: RefCell::default(),
            by_address: RefCell::default(),
        })
    }

    /// Returns limits that callers under control don't reach.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        let refusals = Refusals::new(Rc::new(Metrics::new()), Clock::system());
        let budget = ByteBudget::new("unlimited", usize::MAX, &refusals);
        Self::new("unlimited", usize::MAX, &budget, None, &refusals)
    }

    /// Returns the turns in which the connections are read; `None` if they aren't limited.
    #[must_use]
    pub const fn turns(&self) -> Option<&Rc<ReadTurns>> {
        self.turns.as_ref()
    }

    /// Returns the budget that the connections are charged to.
    #[must_use]
    pub const fn budget(&self) -> &Rc<ByteBudget> {
        &self.budget
    }

    /// Admits a connection, or returns `None` if it must be closed. `head_timeout` and `idle_timeout`
    /// are enforced by [`Limits::run`](super::Limits::run).
    #[must_use]
    pub fn admit(
        self: &Rc<Self>,
        address: IpAddr,
        head_timeout: Millis,
        idle_timeout: Millis,
    ) -> Option<ConnectionGuard> {
        let admission = {
            let by_address = self.by_address.borrow();
            admission(
                self.max,
                address,
                by_address.iter().map(|(address, count)| (*address, *count)),
            )
        };
        if let Admission::Displace(from) = admission
            && !self.displace(from)
        {
            self.record(Refusal::Connection);
            return None;
        }
        let to_sweeps = |time: Millis| time.0.div_ceil(SWEEP_INTERVAL.0);
        let connection = Rc::new(Connection {
            address,
            phase: Cell::new(Phase::Head),
            since: Cell::new(self.sweeps.get()),
            sweeps: Rc::clone(&self.sweeps),
            head_sweeps: to_sweeps(head_timeout),
            idle_sweeps: to_sweeps(idle_timeout),
            is_closed: Cell::new(false),
            closed: Notify::new(),
            awaits_turn: Cell::new(false),
            received: Cell::new(0),
            body: Cell::new(0),
            // The number of connections is bounded, to half of the budget at most.
            buffer: RefCell::new(self.budget.take(CONNECTION_BYTES)),
            reply: RefCell::default(),
        });
        *self.by_address.borrow_mut().entry(address).or_default() += 1;
        Some(ConnectionGuard {
            limits: Rc::clone(self),
            key: self.connections.borrow_mut().insert(Rc::clone(&connection)),
            connection,
        })
    }

    /// Closes the most expendable connection of an address; returns false if there is none.
    fn displace(&self, address: IpAddr) -> bool {
        let victim = {
            let connections = self.connections.borrow();
            let expendable = connections.values().filter_map(|connection| {
                let is_open = connection.address == address && !connection.is_closed.get();
                let rank = connection.expendability().filter(|_| is_open)?;
                Some((rank, connection))
            });
            let victim = expendable.max_by_key(|(rank, _)| *rank);
            victim.map(|(_, connection)| Rc::clone(connection))
        };
        let Some(victim) = victim else { return false };
        self.close(&victim);
        self.record(Refusal::Displaced);
        true
    }

    fn close(&self, connection: &Connection) {
        if !connection.is_closed.replace(true) {
            connection.closed.notify_one();
            self.forget(connection.address);
        }
    }

    fn forget(&self, address: IpAddr) {
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&address);
            }
        }
    }

    /// Records a refusal.
    pub fn record(&self, refusal: Refusal) {
        let held = self.connections.borrow().len();
        self.refusals.record(refusal, self.port, held, self.max);
    }

    pub(super) fn sweep(&self) {
        self.sweeps.set(self.sweeps.get() + 1);
        let overdue: Vec<_> = self
            .connections
            .borrow()
            .values()
            .filter(|connection| !connection.is_closed.get())
            .filter_map(|connection| Some((connection.overdue()?, Rc::clone(connection))))
            .collect();
        for (refusal, connection) in overdue {
            self.close(&connection);
            self.record(refusal);
        }
    }
}

/// A place among the connections of a port, given back on drop.
#[derive(Debug)]
pub struct ConnectionGuard {
    limits: Rc<ConnectionLimits>,
    key: DefaultKey,
    connection: Rc<Connection>,
}

impl ConnectionGuard {
    /// Returns the connection.
    #[must_use]
    pub const fn connection(&self) -> &Rc<Connection> {
        &self.connection
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.limits.connections.borrow_mut().remove(self.key);
        // Others may still refer to the connection.
        *self.connection.buffer.borrow_mut() = self.limits.budget.guard();
        if !self.connection.is_closed.get() {
            self.limits.forget(self.connection.address);
        }
    }
}
