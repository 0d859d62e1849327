//! The task that commits the changes of one shard.

mod batch;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Clock, Millis, RequestId};
use dotterel_platform::{CallError, Commit, Table, Version, Write};
use tokio::sync::{mpsc, oneshot};

use super::Config;
use super::entry::{ClaimKey, Entry, WriteId};
use super::outcome::RecordedOutcome;
use super::row::ShardRow;

/// What the claims of a node have cost.
#[derive(Debug, Default)]
pub struct Counters {
    /// Claims that became durable.
    pub won: AtomicU64,
    /// Changes that became durable: claims, outcomes and withdrawals.
    pub changes: AtomicU64,
    /// Writes sent to the table.
    pub writes: AtomicU64,
    /// Writes that met another version.
    pub conflicts: AtomicU64,
    /// Writes whose answer was lost.
    pub lost: AtomicU64,
    /// Reads of a row.
    pub reads: AtomicU64,
}

/// A change of the shard that waits for its commit.
#[derive(Debug)]
pub(super) enum Op {
    /// Claims a key.
    Claim {
        entry: Entry,
        deadline: Millis,
        reply: oneshot::Sender<Verdict>,
        /// True once a write with this entry has left.
        exposed: bool,
    },
    /// Records an outcome.
    Settle {
        key: ClaimKey,
        id: WriteId,
        outcome: RecordedOutcome,
        reply: Option<oneshot::Sender<()>>,
    },
    /// Gives a key back.
    Withdraw {
        key: ClaimKey,
        id: WriteId,
        reply: Option<oneshot::Sender<()>>,
    },
}

/// The answer to [`Op::Claim`].
#[derive(Debug)]
pub(super) enum Verdict {
    Won(Offer),
    Repeat(Entry),
    Mismatch(RequestId),
    /// The shard has no room for another entry.
    Full,
}

/// A durable claim on its way to the claimant; one that is never accepted is withdrawn.
#[derive(Debug)]
pub(super) struct Offer {
    entry: Option<Entry>,
    shard: Shard,
}

impl Offer {
    /// Takes the claim over.
    pub(super) fn accept(mut self) -> Entry {
        self.entry.take().expect("an offer is accepted once")
    }
}

impl Drop for Offer {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take() {
            self.shard.send(Op::Withdraw {
                key: entry.key,
                id: entry.id,
                reply: None,
            });
        }
    }
}

/// The way to a shard's task.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    ops: mpsc::UnboundedSender<Op>,
    depth: Arc<AtomicUsize>,
}

impl Shard {
    /// Starts the task of a shard; it ends when its last sender is gone.
    pub(super) fn spawn(
        index: u32,
        table: Arc<dyn Table>,
        clock: Clock,
        config: Config,
        counters: Arc<Counters>,
    ) -> Self {
        let (ops, inbox) = mpsc::unbounded_channel();
        let shard = Self {
            ops,
            depth: Arc::default(),
        };
        let committer = Committer {
            key: format_compact!("claims/{index:05}"),
            table,
            clock,
            config,
            counters,
            depth: Arc::clone(&shard.depth),
            ops: shard.ops.downgrade(),
            inbox,
            batch: Vec::new(),
            cache: None,
            doubt: None,
            next: Millis::ZERO,
        };
        tokio::spawn(committer.run());
        shard
    }

    /// Queues a change.
    pub(super) fn send(&self, op: Op) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        if self.ops.send(op).is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of changes that are not durable.
    pub(super) fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed)
    }
}

/// A row as last seen.
struct Cached {
    version: Version,
    row: ShardRow,
}

struct Committer {
    key: CompactString,
    table: Arc<dyn Table>,
    clock: Clock,
    config: Config,
    counters: Arc<Counters>,
    depth: Arc<AtomicUsize>,
    ops: mpsc::WeakUnboundedSender<Op>,
    inbox: mpsc::UnboundedReceiver<Op>,
    batch: Vec<Op>,
    cache: Option<Cached>,
    /// The version that a write of unknown outcome expected: while the row has it, that write may
    /// still take effect.
    doubt: Option<Version>,
    /// When the next write may leave.
    next: Millis,
}

impl Committer {
    async fn run(mut self) {
        while self.gather().await {
            if !self.step().await {
                let until = self.clock.now() + self.config.backoff;
                self.clock.sleep_until(until).await;
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
        self.clock.sleep_until(self.next).await;
        while self.batch.len() < self.config.batch {
            let Ok(op) = self.inbox.try_recv() else {
                break;
            };
            self.batch.push(op);
        }
        true
    }

    /// Tries to make the batch durable once; returns false when a call failed.
    async fn step(&mut self) -> bool {
        self.drop_late();
        if self.batch.is_empty() {
            return true;
        }
        let fresh = self.cache.is_none();
        if fresh && !self.read().await {
            return false;
        }
        let Some(cached) = self.cache.as_ref() else {
            return false;
        };
        let judged = batch::judge(
            &cached.row,
            &self.batch,
            self.horizon(),
            self.config.entries,
        );
        if judged.hit && !fresh {
            self.cache = None;
            return true;
        }
        if !judged.changed && !self.must_write(cached.version) {
            self.answer(judged.verdicts);
            return true;
        }
        let expect = cached.version;
        self.commit(expect, judged).await
    }

    /// Replaces claims that nobody waits for by withdrawals, or drops them if no write left.
    fn drop_late(&mut self) {
        let now = self.clock.now();
        let before = self.batch.len();
        self.batch = std::mem::take(&mut self.batch)
            .into_iter()
            .filter_map(|op| batch::prune(op, now))
            .collect();
        let dropped = before - self.batch.len();
        self.depth.fetch_sub(dropped, Ordering::Relaxed);
    }

    /// Returns the time before which windows have ended on every node's clock.
    fn horizon(&self) -> Millis {
        self.clock.now() - self.config.skew
    }

    /// A withdrawal must supersede a write that may still arrive with the entry in it.
    fn must_write(&self, version: Version) -> bool {
        let withdraws = self
            .batch
            .iter()
            .any(|op| matches!(op, Op::Withdraw { .. }));
        withdraws && self.doubt == Some(version)
    }

    async fn read(&mut self) -> bool {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let row = match self.table.get(&self.key).await {
            Ok(row) => row,
            Err(fault) => {
                log::debug!(shard:% = self.key, fault:% = fault; "claim shard not read");
                return false;
            }
        };
        let cached = match row {
            None => Some(Cached {
                version: Version::ABSENT,
                row: ShardRow::default(),
            }),
            Some(row) => ShardRow::decode(&row.value).map(|content| Cached {
                version: row.version,
                row: content,
            }),
        };
        if cached.is_none() {
            log::error!(shard:% = self.key; "claim shard has no known encoding");
        }
        self.cache = cached;
        if let Some(cached) = &self.cache
            && self.doubt != Some(cached.version)
        {
            self.doubt = None;
        }
        self.cache.is_some()
    }

    async fn commit(&mut self, expect: Version, judged: batch::Judged) -> bool {
        let write = Write {
            key: self.key.clone(),
            expect,
            value: Some(judged.row.encode()),
        };
        batch::expose(&mut self.batch);
        self.next = self.clock.now() + self.config.pace;
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        match self.table.commit(std::slice::from_ref(&write)).await {
            Ok(Commit::Applied(versions)) => {
                let Some(version) = versions.first().copied() else {
                    return self.lost(expect);
                };
                self.doubt = None;
                self.cache = Some(Cached {
                    version,
                    row: judged.row,
                });
                self.answer(judged.verdicts);
                true
            }
            Ok(Commit::Conflict { .. }) => {
                self.counters.conflicts.fetch_add(1, Ordering::Relaxed);
                self.cache = None;
                true
            }
            Err(CallError::Unknown(_)) => self.lost(expect),
            Err(fault) => {
                log::debug!(shard:% = self.key, fault:% = fault; "claim shard not written");
                false
            }
        }
    }

    fn lost(&mut self, expect: Version) -> bool {
        self.counters.lost.fetch_add(1, Ordering::Relaxed);
        self.cache = None;
        self.doubt = Some(expect);
        false
    }

    /// Answers the whole batch, whose changes are durable.
    fn answer(&mut self, verdicts: Vec<batch::Answer>) {
        let done = self.batch.len();
        self.counters
            .changes
            .fetch_add(done as u64, Ordering::Relaxed);
        for (op, verdict) in self.batch.drain(..).zip(verdicts) {
            batch::reply(op, verdict, &self.ops, &self.depth, &self.counters);
        }
        self.depth.fetch_sub(done, Ordering::Relaxed);
    }
}
