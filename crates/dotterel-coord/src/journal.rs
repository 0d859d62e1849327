//! The journal of one node's requests, shipped to the object store.
//!
//! A node keeps the records of its open requests and of the last closed ones in memory, and counts
//! by class and hour. [`Journal::run`] writes what changed to the object store in segments named
//! `journal/{node}/{incarnation}/{seq}`. A segment holds the latest state of every record that
//! changed, so a request that came and went between two segments is written once, and a segment
//! written twice after a lost answer counts once.
//!
//! While the store is down, changed records wait in memory up to a bound. Closed records that are
//! pushed out before they were shipped are named as a [`Gap`] in the next segment. What a dead
//! node had not shipped is a gap as well, from the end of its last segment on; requests that were
//! open there have the fate `unknown`, never `not-run`.
//!
//! Now and then the node writes the sum of its segments, which abbreviates reading a long life.

mod account;
mod life;
mod memory;
mod reader;
mod segment;
mod tally;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterel_kernel::{
    Account, Attempt, Clock, Fate, Gap, Incarnation, Millis, NodeId, Record, RequestId, Service,
};
use dotterel_platform::{CallError, ObjectStore};
use tokio::sync::Notify;

pub use account::merge;
pub use reader::{LookupOutcome, Reader};
pub use segment::Segment;

use crate::lease::bounded;
use life::Life;
use memory::Memory;

/// Limits and rhythm of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The longest time between two segments while records change.
    pub ship_interval: Millis,
    /// The longest that a write may take before its outcome counts as unknown.
    pub call_timeout: Millis,
    /// The number of changed records that ships a segment early.
    pub ship_threshold: usize,
    /// The most records in one segment.
    pub max_records: usize,
    /// The number of segments after which their sum is written.
    pub snapshot_interval: u64,
    /// The number of closed records kept in memory.
    pub max_closed: usize,
    /// The number of hours counted by class.
    pub kept_hours: u64,
    /// The most ranges of dropped records that are told apart.
    pub max_gaps: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ship_interval: Millis::secs(1),
            call_timeout: Millis::secs(2),
            ship_threshold: 512,
            max_records: 2048,
            snapshot_interval: 600,
            max_closed: 8192,
            kept_hours: 48,
            max_gaps: 16,
        }
    }
}

/// The outcome of one attempt to ship.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShipOutcome {
    /// Nothing had changed.
    Nothing,
    /// A segment with so many records was written.
    Segment(usize),
    /// The store did not confirm the segment; its records stay in memory.
    Failed,
}

/// The journal of one life of a node; clones share the state.
#[derive(Clone)]
pub struct Journal {
    inner: Arc<Inner>,
}

struct Inner {
    node: NodeId,
    incarnation: Incarnation,
    clock: Clock,
    store: Arc<dyn ObjectStore>,
    config: Config,
    memory: Mutex<Memory>,
    /// The sum of what is shipped.
    life: Mutex<Life>,
    full: Notify,
    shipping: tokio::sync::Mutex<()>,
}

impl Journal {
    /// Returns an empty journal.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        store: Arc<dyn ObjectStore>,
        config: Config,
    ) -> Self {
        let memory = Memory::new(config, clock.now());
        Self {
            inner: Arc::new(Inner {
                node,
                incarnation,
                clock,
                store,
                config,
                memory: Mutex::new(memory),
                life: Mutex::default(),
                full: Notify::new(),
                shipping: tokio::sync::Mutex::new(()),
            }),
        }
    }

    /// Adds the record of a request that was received.
    pub fn open(&self, record: Record) {
        self.memory().open(record);
        self.wake();
    }

    /// Changes the record of an open request; without effect on others.
    pub fn update(&self, request: RequestId, change: impl FnOnce(&mut Record)) {
        if !self.memory().update(request, change) {
            log::debug!(request:% = request; "no open record to change");
        }
        self.wake();
    }

    /// Adds a start to the record of an open request.
    pub fn start(&self, request: RequestId, attempt: Attempt) {
        self.update(request, |record| {
            record.started = Some(attempt.sent);
            record.attempts.push(attempt);
        });
    }

    /// Settles the fate of an open request.
    pub fn close(&self, request: RequestId, fate: Fate) {
        let now = self.inner.clock.now();
        self.update(request, |record| {
            record.ended = Some(now);
            record.fate = Some(fate);
        });
    }

    /// Returns the record of a request, if this node remembers it.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Record> {
        self.memory().get(request).cloned()
    }

    /// Returns this node's own account since the hour that contains `since`.
    #[must_use]
    pub fn account(&self, service: Option<&Service>, since: Millis) -> Account {
        let now = self.inner.clock.now();
        let memory = self.memory();
        let mut gaps = Vec::new();
        if let Some(start) = memory.uncounted(since) {
            gaps.push(self.gap(start, "older than the journal keeps in memory"));
        }
        Account {
            as_of: now,
            nodes: vec![self.inner.node.clone()],
            gaps,
            lines: memory.lines(service, since, now),
        }
    }

    /// Ships segments until the future is dropped.
    pub async fn run(&self) {
        loop {
            let full = self.inner.full.notified();
            // Either the period is over or enough records have changed.
            let _ = tokio::time::timeout(self.inner.config.ship_interval.duration(), full).await;
            while let ShipOutcome::Segment(count) = self.ship().await {
                if count < self.inner.config.max_records {
                    break;
                }
            }
        }
    }

    /// Ships one segment of what has changed since the last one.
    pub async fn ship(&self) -> ShipOutcome {
        let _one = self.inner.shipping.lock().await;
        let Some(draft) = self.memory().draft(self.inner.clock.now()) else {
            return ShipOutcome::Nothing;
        };
        let segment = Segment {
            node: self.inner.node.clone(),
            incarnation: self.inner.incarnation,
            seq: draft.seq,
            since: draft.since,
            until: draft.until,
            gaps: draft
                .dropped
                .iter()
                .map(|dropped| self.gap(dropped.since, &dropped.cause()))
                .collect(),
            records: draft.records.clone(),
        };
        let name = segment.name();
        let put = self.inner.store.put(&name, segment.encode());
        match bounded(self.inner.config.call_timeout, put).await {
            Ok(()) => {
                self.memory().shipped(&draft);
                self.life().include(&segment);
                // Before all is shipped, a record may stand only in a segment of unknown outcome,
                // which the sum would hide.
                if draft.whole && self.life().is_due(self.inner.config.snapshot_interval) {
                    self.write_sum().await;
                }
                ShipOutcome::Segment(draft.records.len())
            }
            Err(fault) => {
                log::warn!(node:% = self.inner.node, fault:% = fault; "journal segment not shipped");
                self.memory().failed(matches!(fault, CallError::Unknown(_)));
                ShipOutcome::Failed
            }
        }
    }

    /// Ships all that is left and notes that the life has ended in order.
    ///
    /// Nothing may be opened, updated or closed afterwards. Returns false when the store did not
    /// confirm; calling it again is allowed.
    pub async fn finish(&self) -> bool {
        while self.unshipped() > 0 {
            if self.ship().await == ShipOutcome::Failed {
                return false;
            }
        }
        self.life().ended = true;
        self.write_sum().await
    }

    /// Writes the sum of what is shipped; it is only an abbreviation and may fail.
    async fn write_sum(&self) -> bool {
        let name = life::name(&self.inner.node, self.inner.incarnation);
        let hours = tally::hours_before(self.inner.clock.now(), self.inner.config.kept_hours);
        let value = {
            let mut life = self.life();
            life.forget(hours);
            life.encode()
        };
        let put = self.inner.store.put(&name, value);
        bounded(self.inner.config.call_timeout, put).await.is_ok()
    }

    /// Returns the number of records whose latest state is not shipped.
    #[must_use]
    pub fn unshipped(&self) -> usize {
        self.memory().unshipped()
    }

    fn gap(&self, since: Millis, cause: &str) -> Gap {
        Gap {
            node: self.inner.node.clone(),
            incarnation: self.inner.incarnation,
            since,
            cause: cause.into(),
        }
    }

    fn wake(&self) {
        if self.unshipped() >= self.inner.config.ship_threshold {
            self.inner.full.notify_one();
        }
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        let lock = &self.inner.life;
        lock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        let lock = &self.inner.memory;
        lock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
