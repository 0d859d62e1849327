//! The task that commits the changes of one shard.

mod batch;
mod cache;
mod op;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{CallError, Commit, Table, Version, Write};
use tokio::sync::mpsc;

use super::change::Change;
use super::config::Config;
use super::entry::Entry;
use super::page::{self, Indexed, PageRef};
use crate::lease::bounded;
use batch::Judged;
use cache::Cache;

pub(super) use op::{Offer, Op, Reply, Shard};

/// What the claims of a node have cost.
#[derive(Debug, Default)]
pub struct Counters {
    /// Claims that became durable.
    pub won: AtomicU64,
    /// Changes that became durable: claims, outcomes and withdrawals.
    pub changes: AtomicU64,
    /// Transactions sent to the table.
    pub writes: AtomicU64,
    /// Rows in those transactions.
    pub rows: AtomicU64,
    /// Bytes in those transactions.
    pub bytes: AtomicU64,
    /// Transactions that met another version.
    pub conflicts: AtomicU64,
    /// Transactions whose answer was lost.
    pub lost: AtomicU64,
    /// Reads of a row.
    pub reads: AtomicU64,
}

impl Counters {
    fn add(counter: &AtomicU64, count: usize) {
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// What all shards of a node share.
#[derive(Clone)]
pub(super) struct Setup {
    pub(super) table: Arc<dyn Table>,
    pub(super) clock: Clock,
    pub(super) config: Config,
    pub(super) counters: Arc<Counters>,
}

/// Whether a step got on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The batch is done, or is to be judged again at once.
    Done,
    /// A call failed.
    Failed,
}

struct Committer {
    setup: Setup,
    cache: Cache,
    shard: op::Link,
    inbox: mpsc::UnboundedReceiver<Op>,
    batch: Vec<Op>,
    /// The version that a write of unknown outcome expected: while the row has it, that write may
    /// still take effect.
    doubt: Option<Version>,
    /// When the next write may leave.
    next: Millis,
}

impl Committer {
    async fn run(mut self) {
        while self.gather().await {
            if self.step().await == Step::Failed {
                self.answer_known();
                let backoff = self.setup.config.backoff;
                tokio::time::sleep(backoff.duration()).await;
            }
        }
    }

    /// Waits for changes and for the pace; returns false when no more can come.
    async fn gather(&mut self) -> bool {
        if self.batch.is_empty() {
            let Some(op) = self.inbox.recv().await else {
                return false;
            };
            self.batch.push(op);
        }
        self.setup.clock.sleep_until(self.next).await;
        while self.batch.len() < self.setup.config.max_batch {
            let Ok(op) = self.inbox.try_recv() else {
                break;
            };
            self.batch.push(op);
        }
        true
    }

    /// Tries to make the batch durable once.
    async fn step(&mut self) -> Step {
        self.drop_late();
        if self.batch.is_empty() {
            return Step::Done;
        }
        let cached = self.cache.is_current();
        if !self.refresh().await {
            return Step::Failed;
        }
        let keys = self.batch.iter().map(|op| op.change.key());
        let Some(older) = self.cache.older(keys).await else {
            self.cache.forget();
            return Step::Failed;
        };
        let judged = Judged::new(&self.cache.row, &older, &self.batch, &self.rules());
        if judged.changed || self.must_write() {
            return self.commit(judged).await;
        }
        if cached {
            // No write will prove that the row is the newest, so a read has to.
            self.cache.forget();
            return Step::Done;
        }
        self.answer(judged);
        Step::Done
    }

    /// Reads the row again unless the cached one is thought to be current.
    async fn refresh(&mut self) -> bool {
        if self.cache.is_current() {
            return true;
        }
        if !self.cache.read().await {
            return false;
        }
        if self.doubt != Some(self.cache.version) {
            self.doubt = None;
        }
        true
    }

    /// Replaces claims that nobody waits for by withdrawals, or drops them if no write left.
    fn drop_late(&mut self) {
        let now = self.setup.clock.now();
        let before = self.batch.len();
        self.batch = std::mem::take(&mut self.batch)
            .into_iter()
            .filter_map(|op| op.pruned(now))
            .collect();
        self.shard.done(before - self.batch.len());
    }

    fn rules(&self) -> batch::Rules {
        let config = &self.setup.config;
        batch::Rules {
            horizon: self.setup.clock.now() - config.max_skew,
            bar: self.setup.clock.now() + config.tombstone_ttl,
            pages: config.max_pages,
        }
    }

    /// A withdrawal must supersede a write that may still arrive with the entry in it.
    fn must_write(&self) -> bool {
        let mut changes = self.batch.iter().map(|op| &op.change);
        let withdraws = changes.any(|change| matches!(change, Change::Withdraw { .. }));
        withdraws && self.doubt == Some(self.cache.version)
    }

    async fn commit(&mut self, mut judged: Judged) -> Step {
        let sealed = self.seal(&mut judged);
        let writes = self.writes(&judged, sealed.as_ref());
        self.next = self.setup.clock.now() + self.setup.config.write_interval;
        self.count(&writes);
        let call = self.setup.table.commit(&writes);
        match bounded(self.setup.config.call_timeout, call).await {
            Ok(Commit::Applied(versions)) => self.applied(judged, &versions, sealed),
            Ok(Commit::Conflict { .. }) => {
                Counters::add(&self.setup.counters.conflicts, 1);
                self.cache.forget();
                Step::Done
            }
            Err(CallError::Unknown(_)) => {
                Counters::add(&self.setup.counters.lost, 1);
                self.doubt = Some(self.cache.version);
                self.cache.forget();
                for op in &mut self.batch {
                    op.exposed = true;
                }
                Step::Failed
            }
            Err(fault) => {
                log::debug!(shard:% = self.cache.key, fault:% = fault; "claim shard not written");
                Step::Failed
            }
        }
    }

    fn seal(&self, judged: &mut Judged) -> Option<(PageRef, Vec<Entry>)> {
        let full = judged.row.len() > judged.row.room(self.setup.config.row_entries);
        full.then(|| judged.row.seal())
    }

    /// Returns the row's write, then that of a new page, then the deletions of expired pages.
    fn writes(&self, judged: &Judged, sealed: Option<&(PageRef, Vec<Entry>)>) -> Vec<Write> {
        let mut writes = vec![Write {
            key: self.cache.key.clone(),
            expect: self.cache.version,
            value: Some(judged.row.encode()),
        }];
        if let Some((page, entries)) = sealed {
            writes.push(Write {
                key: page::key(&self.cache.key, page.number),
                expect: Version::ABSENT,
                value: Some(page::encode(entries)),
            });
        }
        let gone = self.cache.pages.iter().filter(|page| !judged.lists(page));
        writes.extend(gone.map(|page| Write {
            key: page::key(&self.cache.key, page.number),
            expect: page.version,
            value: None,
        }));
        writes
    }

    fn applied(
        &mut self,
        judged: Judged,
        versions: &[Version],
        sealed: Option<(PageRef, Vec<Entry>)>,
    ) -> Step {
        self.doubt = None;
        self.cache.pages.retain(|page| judged.lists(page));
        if let Some((page, entries)) = sealed {
            let version = versions.get(1).copied().unwrap_or_default();
            let indexed = Indexed::new(page.number, version, &entries);
            self.cache.pages.push(indexed);
        }
        let version = versions.first().copied().unwrap_or_default();
        self.cache.replace(version, judged.row.clone());
        self.answer(judged);
        Step::Done
    }

    fn count(&self, writes: &[Write]) {
        let counters = &self.setup.counters;
        let values = writes.iter().filter_map(|write| write.value.as_ref());
        Counters::add(&counters.writes, 1);
        Counters::add(&counters.rows, writes.len());
        Counters::add(&counters.bytes, values.map(bytes::Bytes::len).sum());
    }

    /// Answers the whole batch, whose changes are durable.
    fn answer(&mut self, judged: Judged) {
        let done = self.batch.len();
        Counters::add(&self.setup.counters.changes, done);
        for (op, verdict) in self.batch.drain(..).zip(judged.verdicts) {
            if verdict == super::ChangeOutcome::Won {
                Counters::add(&self.setup.counters.won, 1);
            }
            op.answer(verdict, &self.shard);
        }
        self.shard.done(done);
    }

    /// Answers claims whose key was taken when the row was last read, while it cannot be read.
    fn answer_known(&mut self) {
        let before = self.batch.len();
        let mut rest = Vec::with_capacity(before);
        for op in self.batch.drain(..) {
            match batch::known(&self.cache.row, &op) {
                Some(verdict) => op.answer(verdict, &self.shard),
                None => rest.push(op),
            }
        }
        self.batch = rest;
        self.shard.done(before - self.batch.len());
    }
}
