//! The journal of a node's requests, shipped to the object store in segments.
//!
//! A node keeps the records of its open and most recently closed requests in memory, with counts by
//! class and hour. [`Journal::run`] writes changed records to the object store in segments named
//! `journal/{node}/{incarnation}/{seq}`. A segment contains the latest state of every record that
//! changed, so a request that is opened and closed between two segments is written once, and a
//! segment that is written twice after a lost reply is counted once.
//!
//! While the store is unavailable, changed records are buffered in memory up to a limit. Closed
//! records that are evicted before they were shipped are reported as a [`Gap`] in the next segment.
//! What a dead node had not shipped is a gap as well, starting at the end of its last segment;
//! requests that were open there have the fate `unknown`, never `not-run`.
//!
//! The node also writes periodic snapshots, so that readers of a long journal need only the
//! segments after the latest one.

mod account;
mod buffer;
mod reader;
mod segment;
mod snapshot;
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

use crate::lease::with_timeout;
use buffer::RecordBuffer;
use snapshot::Snapshot;

/// Limits and timeouts of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The maximum time between two segments while records change.
    pub ship_interval: Millis,
    /// The time after which a write is abandoned and its outcome treated as unknown.
    pub call_timeout: Millis,
    /// The number of unshipped records at which a segment is shipped early.
    pub ship_threshold: usize,
    /// The maximum number of records in one segment.
    pub max_records: usize,
    /// The number of segments between two snapshots.
    pub snapshot_interval: u64,
    /// The number of closed records kept in memory.
    pub max_closed: usize,
    /// The number of hours for which counts by class are kept.
    pub kept_hours: u64,
    /// The maximum number of separate gaps for dropped records.
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
    /// Nothing has changed since the last segment.
    Nothing,
    /// A segment with this many records was written.
    Segment(usize),
    /// The store did not confirm the segment; its records stay in memory.
    Failed,
}

/// The journal of one node incarnation; clones share the state.
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
    buffer: Mutex<RecordBuffer>,
    /// The state that results from the shipped segments.
    snapshot: Mutex<Snapshot>,
    ship_early: Notify,
    /// Held while a segment is being shipped.
    shipping: tokio::sync::Mutex<()>,
}

impl Journal {
    /// Creates an empty journal.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        store: Arc<dyn ObjectStore>,
        config: Config,
    ) -> Self {
        let buffer = RecordBuffer::new(config, clock.now());
        Self {
            inner: Arc::new(Inner {
                node,
                incarnation,
                clock,
                store,
                config,
                buffer: Mutex::new(buffer),
                snapshot: Mutex::default(),
                ship_early: Notify::new(),
                shipping: tokio::sync::Mutex::new(()),
            }),
        }
    }

    /// Adds the record of a received request.
    pub fn open(&self, record: Record) {
        self.buffer().open(record);
        self.wake();
    }

    /// Updates the record of an open request; has no effect on unknown or closed requests.
    pub fn update(&self, request: RequestId, change: impl FnOnce(&mut Record)) {
        if !self.buffer().update(request, change) {
            log::debug!(request:% = request; "no open record to update");
        }
        self.wake();
    }

    /// Adds a started attempt to the record of an open request.
    pub fn start(&self, request: RequestId, attempt: Attempt) {
        self.update(request, |record| {
            record.started = Some(attempt.sent);
            record.attempts.push(attempt);
        });
    }

    /// Records the fate of an open request and closes it.
    pub fn close(&self, request: RequestId, fate: Fate) {
        let now = self.inner.clock.now();
        self.update(request, |record| {
            record.ended = Some(now);
            record.fate = Some(fate);
        });
    }

    /// Returns the record of a request if it is in memory.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Record> {
        self.buffer().get(request).cloned()
    }

    /// Returns this node's own account since the hour that contains `since`.
    #[must_use]
    pub fn account(&self, service: Option<&Service>, since: Millis) -> Account {
        let now = self.inner.clock.now();
        let buffer = self.buffer();
        let mut gaps = Vec::new();
        if let Some(start) = buffer.uncounted_start(since) {
            gaps.push(self.gap(start, "older than the journal keeps in memory"));
        }
        Account {
            as_of: now,
            nodes: vec![self.inner.node.clone()],
            gaps,
            lines: buffer.summaries(service, since, now),
        }
    }

    /// Ships segments until the future is dropped.
    pub async fn run(&self) {
        loop {
            let ship_early = self.inner.ship_early.notified();
            // Wakes when the interval is over or when enough records are unshipped.
            let _ =
                tokio::time::timeout(self.inner.config.ship_interval.duration(), ship_early).await;
            while let ShipOutcome::Segment(count) = self.ship().await {
                if count < self.inner.config.max_records {
                    break;
                }
            }
        }
    }

    /// Ships one segment with the records that have changed since the last one.
    pub async fn ship(&self) -> ShipOutcome {
        let _guard = self.inner.shipping.lock().await;
        let Some(draft) = self.buffer().draft(self.inner.clock.now()) else {
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
        match with_timeout(self.inner.config.call_timeout, put).await {
            Ok(()) => {
                self.buffer().mark_shipped(&draft);
                self.snapshot().add_segment(&segment);
                // While records are unshipped, the latest state of one may exist only in a
                // segment of unknown outcome, which readers would skip because of the snapshot.
                if draft.complete && self.snapshot().is_due(self.inner.config.snapshot_interval) {
                    self.write_snapshot().await;
                }
                ShipOutcome::Segment(draft.records.len())
            }
            Err(err) => {
                log::warn!(node:% = self.inner.node, fault:% = err; "failed to ship journal segment");
                self.buffer()
                    .mark_failed(matches!(err, CallError::Unknown(_)));
                ShipOutcome::Failed
            }
        }
    }

    /// Ships all unshipped records and marks the incarnation as cleanly stopped.
    ///
    /// No request may be opened, updated or closed afterwards. Returns false if the store did not
    /// confirm the writes; the call may then be repeated.
    pub async fn finish(&self) -> bool {
        while self.unshipped() > 0 {
            if self.ship().await == ShipOutcome::Failed {
                return false;
            }
        }
        self.snapshot().finished = true;
        self.write_snapshot().await
    }

    /// Writes a snapshot of what has been shipped; returns false if the write is not confirmed.
    ///
    /// A failure is harmless while the node runs: readers then read more segments.
    async fn write_snapshot(&self) -> bool {
        let name = snapshot::name(&self.inner.node, self.inner.incarnation);
        let first_hour = tally::hours_before(self.inner.clock.now(), self.inner.config.kept_hours);
        let value = {
            let mut snapshot = self.snapshot();
            snapshot.prune(first_hour);
            snapshot.encode()
        };
        let put = self.inner.store.put(&name, value);
        with_timeout(self.inner.config.call_timeout, put)
            .await
            .is_ok()
    }

    /// Returns the number of records whose latest state has not been shipped.
    #[must_use]
    pub fn unshipped(&self) -> usize {
        self.buffer().unshipped()
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
            self.inner.ship_early.notify_one();
        }
    }

    fn snapshot(&self) -> MutexGuard<'_, Snapshot> {
        let lock = &self.inner.snapshot;
        lock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn buffer(&self) -> MutexGuard<'_, RecordBuffer> {
        let lock = &self.inner.buffer;
        lock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
