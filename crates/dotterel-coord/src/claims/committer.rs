//! The task that commits the changes to one shard.

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
use super::page::{self, PageIndex, PageRef};
use crate::lease::with_timeout;
use batch::BatchResult;
use cache::Cache;

pub(super) use op::{ClaimGuard, Op, Reply, ShardHandle};

/// Counts a node's changes to claims and its accesses to the table.
#[derive(Debug, Default)]
pub struct Counters {
    /// Claims that became durable.
    pub won: AtomicU64,
    /// Changes that became durable: claims, outcomes and withdrawals.
    pub changes: AtomicU64,
    /// Transactions sent to the table, whatever their outcome.
    pub writes: AtomicU64,
    /// Rows in those transactions.
    pub rows: AtomicU64,
    /// Bytes in those transactions.
    pub bytes: AtomicU64,
    /// Transactions rejected because of a version mismatch.
    pub conflicts: AtomicU64,
    /// Transactions with an unknown outcome.
    pub lost: AtomicU64,
    /// Row reads.
    pub reads: AtomicU64,
}

impl Counters {
    fn add(counter: &AtomicU64, count: usize) {
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// State shared by all shards of a node.
#[derive(Clone)]
pub(super) struct ShardContext {
    pub(super) table: Arc<dyn Table>,
    pub(super) clock: Clock,
    pub(super) config: Config,
    pub(super) counters: Arc<Counters>,
}

/// The result of one attempt to commit the batch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The batch is committed, or can be retried without a delay.
    Done,
    /// A call failed.
    Failed,
}

struct Committer {
    context: ShardContext,
    cache: Cache,
    shard: op::WeakShard,
    inbox: mpsc::UnboundedReceiver<Op>,
    batch: Vec<Op>,
    /// The version expected by a write of unknown outcome. As long as the row has this version,
    /// the write may still take effect.
    uncertain_version: Option<Version>,
    /// The earliest time of the next write.
    next_write: Millis,
}

impl Committer {
    async fn run(mut self) {
        while self.fill_batch().await {
            if self.attempt().await == Attempt::Failed {
                self.reply_known();
                let backoff = self.context.config.backoff;
                tokio::time::sleep(backoff.duration()).await;
            }
        }
    }

    /// Waits for changes and the write interval; returns false when all senders are gone.
    async fn fill_batch(&mut self) -> bool {
        if self.batch.is_empty() {
            let Some(op) = self.inbox.recv().await else {
                return false;
            };
            self.batch.push(op);
        }
        self.context.clock.sleep_until(self.next_write).await;
        while self.batch.len() < self.context.config.max_batch {
            let Ok(op) = self.inbox.try_recv() else {
                break;
            };
            self.batch.push(op);
        }
        true
    }

    /// Makes one attempt to commit the batch.
    async fn attempt(&mut self) -> Attempt {
        self.drop_expired();
        if self.batch.is_empty() {
            return Attempt::Done;
        }
        let was_current = self.cache.is_current();
        if !self.refresh().await {
            return Attempt::Failed;
        }
        let keys = self.batch.iter().map(|op| op.change.key());
        let Some(paged_entries) = self.cache.paged_entries(keys).await else {
            self.cache.invalidate();
            return Attempt::Failed;
        };
        let result = BatchResult::new(&self.cache.row, &paged_entries, &self.batch, &self.rules());
        if result.changed || self.must_write() {
            return self.commit(result).await;
        }
        if was_current {
            // No write will confirm that the cached row is current, so it is read again first.
            self.cache.invalidate();
            return Attempt::Done;
        }
        self.reply_all(result);
        Attempt::Done
    }

    /// Reads the row unless the cached one is believed to be current.
    async fn refresh(&mut self) -> bool {
        if self.cache.is_current() {
            return true;
        }
        if !self.cache.read().await {
            return false;
        }
        if self.uncertain_version != Some(self.cache.version) {
            self.uncertain_version = None;
        }
        true
    }

    /// Replaces abandoned claims by withdrawals, or drops them if they cannot be in the table.
    fn drop_expired(&mut self) {
        let now = self.context.clock.now();
        let before = self.batch.len();
        self.batch = std::mem::take(&mut self.batch)
            .into_iter()
            .filter_map(|op| op.drop_if_expired(now))
            .collect();
        self.shard.done(before - self.batch.len());
    }

    fn rules(&self) -> batch::Rules {
        let config = &self.context.config;
        batch::Rules {
            expired_before: self.context.clock.now() - config.max_skew,
            tombstone_until: self.context.clock.now() + config.tombstone_ttl,
            max_pages: config.max_pages,
        }
    }

    /// Returns true if the batch must be written to invalidate a pending write that may contain a
    /// withdrawn entry.
    fn must_write(&self) -> bool {
        let mut changes = self.batch.iter().map(|op| &op.change);
        let withdraws = changes.any(|change| matches!(change, Change::Withdraw { .. }));
        withdraws && self.uncertain_version == Some(self.cache.version)
    }

    async fn commit(&mut self, mut result: BatchResult) -> Attempt {
        let sealed = self.seal(&mut result);
        let writes = self.writes(&result, sealed.as_ref());
        self.next_write = self.context.clock.now() + self.context.config.write_interval;
        self.count(&writes);
        let call = self.context.table.commit(&writes);
        match with_timeout(self.context.config.call_timeout, call).await {
            Ok(Commit::Applied(versions)) => self.applied(result, &versions, sealed),
            Ok(Commit::Conflict { .. }) => {
                Counters::add(&self.context.counters.conflicts, 1);
                self.cache.invalidate();
                Attempt::Done
            }
            Err(CallError::Unknown(_)) => {
                Counters::add(&self.context.counters.lost, 1);
                self.uncertain_version = Some(self.cache.version);
                self.cache.invalidate();
                for op in &mut self.batch {
                    op.maybe_written = true;
                }
                Attempt::Failed
            }
            Err(err) => {
                log::debug!(shard:% = self.cache.key, fault:% = err; "failed to write claim shard");
                Attempt::Failed
            }
        }
    }

    fn seal(&self, result: &mut BatchResult) -> Option<(PageRef, Vec<Entry>)> {
        let full = result.row.len() > result.row.capacity(self.context.config.row_entries);
        full.then(|| result.row.seal())
    }

    /// Returns the write of the row, then of a new page if any, then the deletions of expired
    /// pages.
    fn writes(&self, result: &BatchResult, sealed: Option<&(PageRef, Vec<Entry>)>) -> Vec<Write> {
        let mut writes = vec![Write {
            key: self.cache.key.clone(),
            expect: self.cache.version,
            value: Some(result.row.encode()),
        }];
        if let Some((page, entries)) = sealed {
            writes.push(Write {
                key: page::key(&self.cache.key, page.number),
                expect: Version::ABSENT,
                value: Some(page::encode(entries)),
            });
        }
        let expired = self.cache.pages.iter().filter(|page| !result.lists(page));
        writes.extend(expired.map(|page| Write {
            key: page::key(&self.cache.key, page.number),
            expect: page.version,
            value: None,
        }));
        writes
    }

    fn applied(
        &mut self,
        result: BatchResult,
        versions: &[Version],
        sealed: Option<(PageRef, Vec<Entry>)>,
    ) -> Attempt {
        self.uncertain_version = None;
        self.cache.pages.retain(|page| result.lists(page));
        if let Some((page, entries)) = sealed {
            let version = versions.get(1).copied().unwrap_or_default();
            let page_index = PageIndex::new(page.number, version, &entries);
            self.cache.pages.push(page_index);
        }
        let version = versions.first().copied().unwrap_or_default();
        self.cache.replace(version, result.row.clone());
        self.reply_all(result);
        Attempt::Done
    }

    fn count(&self, writes: &[Write]) {
        let counters = &self.context.counters;
        let values = writes.iter().filter_map(|write| write.value.as_ref());
        Counters::add(&counters.writes, 1);
        Counters::add(&counters.rows, writes.len());
        Counters::add(&counters.bytes, values.map(bytes::Bytes::len).sum());
    }

    /// Sends the replies for the whole batch, whose changes are durable.
    fn reply_all(&mut self, result: BatchResult) {
        let done = self.batch.len();
        Counters::add(&self.context.counters.changes, done);
        for (op, outcome) in self.batch.drain(..).zip(result.outcomes) {
            if outcome == super::ChangeOutcome::Won {
                Counters::add(&self.context.counters.won, 1);
            }
            op.send_reply(outcome, &self.shard);
        }
        self.shard.done(done);
    }

    /// Replies to claims whose key was already taken in the cached row; used when a read or write
    /// has failed.
    fn reply_known(&mut self) {
        let before = self.batch.len();
        let mut rest = Vec::with_capacity(before);
        for op in self.batch.drain(..) {
            match batch::known_outcome(&self.cache.row, &op) {
                Some(outcome) => op.send_reply(outcome, &self.shard),
                None => rest.push(op),
            }
        }
        self.batch = rest;
        self.shard.done(before - self.batch.len());
    }
}
