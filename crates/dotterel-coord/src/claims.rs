//! Claims that make an unrepeatable request run at most once.
//!
//! A claim is an entry in the platform's table, keyed by the service and the caller's idempotency
//! key, that is durable before anything is dispatched. Keys are spread over shards by hash. Each
//! shard is one row that holds the entries of the last window. A task per shard keeps the row in
//! memory and commits a batch of changes in one write, at most one write per
//! [`Config::pace`]. The write names the version of the cached row, so a stale cache costs a
//! conflict and never a second winner; any number of nodes may cache the same shard.
//!
//! # Lost answers
//!
//! Every claim carries a [`WriteId`]. After a write with an unknown outcome the row is read again
//! and the batch is judged anew: an entry with the claim's own id means that the write took effect.
//! While the row still has the version that the lost write expected, that write may yet arrive.
//!
//! # What a retry of the same key sees
//!
//! | the first request | a retry gets |
//! | --- | --- |
//! | won and has an outcome recorded by [`Claims::settle`] | [`ClaimOutcome::Repeat`], `Done` |
//! | won, in flight or its node died | [`ClaimOutcome::Repeat`], `Claimed`: fate unknown |
//! | won and was released by [`Claims::release`] | [`ClaimOutcome::Won`] |
//! | got [`ClaimOutcome::Unavailable`] after its write left | the same as released, once the node has withdrawn the entry in the background; until then, or until the window ends when the node dies first, `Claimed` |
//!
//! An entry leaves the shard when its window is over.
//!
//! # Assumptions
//!
//! The table's row versions grow and are never used again, and reads see every write that was
//! answered. Wall clocks of nodes differ by less than [`Config::skew`].

mod committer;
mod entry;
mod outcome;
mod row;

use std::sync::{Arc, Mutex, PoisonError};

use dotterel_kernel::{Clock, Millis, RequestId};
use dotterel_platform::{Owner, Table};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

pub use committer::Counters;
pub use entry::{ClaimKey, Entry, State, WriteId};
pub use outcome::{Body, RecordedOutcome};

use committer::{Op, Shard, Verdict};

/// Limits and rhythm of the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of shards; the same on all nodes, never changed while entries live.
    pub shards: u32,
    /// The most changes in one write.
    pub batch: usize,
    /// The shortest time between two writes of a shard by this node.
    pub pace: Millis,
    /// The pause after a call that failed.
    pub backoff: Millis,
    /// The most claims that wait for a shard's commits on this node.
    pub queue: usize,
    /// The most entries in a shard's row.
    pub entries: usize,
    /// The largest body that is recorded with an outcome, in bytes.
    pub body: usize,
    /// The shortest window that is accepted.
    pub window: Millis,
    /// By how much the wall clocks of two nodes may differ.
    pub skew: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 16,
            batch: 256,
            pace: Millis(80),
            backoff: Millis(50),
            queue: 4096,
            entries: 4096,
            body: 1024,
            window: Millis::secs(600),
            skew: Millis::secs(30),
        }
    }
}

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request body; a repeat must bring the same one.
    pub digest: u64,
    /// The request that would run.
    pub request: RequestId,
    /// How long the key is remembered.
    pub window: Millis,
    /// Until when the claim must be durable.
    pub deadline: Millis,
}

/// The answer to [`Claims::claim`].
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is durable: this request alone may be dispatched.
    Won(Claim),
    /// Another request holds the key.
    Repeat(Entry),
    /// Another request with another body holds the key.
    Mismatch(RequestId),
    /// The claim did not become durable in time; this request must not be dispatched.
    Unavailable,
}

/// Whether a change of a claim is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is.
    Durable,
    /// It is not known to be; the node keeps trying in the background while it lives.
    Pending,
}

/// A durable claim.
///
/// Dropping a claim changes nothing: the key stays claimed until its window ends, because the
/// request may have been dispatched.
#[derive(Debug)]
#[must_use = "a claim that is neither settled nor released blocks its key"]
pub struct Claim {
    entry: Entry,
    shard: u32,
}

impl Claim {
    /// Returns the entry as written.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns true while the request may be dispatched.
    ///
    /// A holder that was paused past the window must not dispatch, because the key may have been
    /// claimed again.
    #[must_use]
    pub fn dispatchable(&self, now: Millis) -> bool {
        now < self.entry.expires
    }
}

/// The claims as one node sees them; clones share the state.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    table: Arc<dyn Table>,
    clock: Clock,
    owner: Owner,
    config: Config,
    counters: Arc<Counters>,
    shards: Vec<Mutex<Option<Shard>>>,
}

impl Claims {
    /// Returns the claims of one node's life; the shards' tasks start at their first use.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, owner: Owner, config: Config) -> Self {
        let shards = (0..config.shards.max(1))
            .map(|_| Mutex::new(None))
            .collect();
        Self {
            inner: Arc::new(Inner {
                table,
                clock,
                owner,
                config,
                counters: Arc::default(),
                shards,
            }),
        }
    }

    /// Claims a key; [`ClaimOutcome::Won`] is returned only when the claim is durable.
    ///
    /// When the future is dropped before it returns, a claim that became durable is withdrawn.
    pub async fn claim(&self, ask: Ask) -> ClaimOutcome {
        let deadline = ask.deadline;
        let index = self.shard_of(&ask.key);
        let shard = self.shard(index);
        if shard.depth() >= self.inner.config.queue {
            return ClaimOutcome::Unavailable;
        }
        let (reply, mut answer) = oneshot::channel();
        shard.send(Op::Claim {
            entry: self.entry(ask),
            deadline,
            reply,
            exposed: false,
        });
        let at = self.inner.clock.instant(deadline);
        let verdict = match tokio::time::timeout_at(at, &mut answer).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                answer.close();
                answer.try_recv().ok()
            }
        };
        self.judge(index, deadline, verdict)
    }

    /// Records the outcome of a claimed request for its repeats.
    ///
    /// Waits until the record is durable or `deadline` is over; the record is kept trying in the
    /// background either way.
    pub async fn settle(
        &self,
        claim: &Claim,
        outcome: RecordedOutcome,
        deadline: Millis,
    ) -> Written {
        let (reply, answer) = oneshot::channel();
        self.shard(claim.shard).send(Op::Settle {
            key: claim.entry.key.clone(),
            id: claim.entry.id,
            outcome: outcome.bounded(self.inner.config.body),
            reply: Some(reply),
        });
        self.written(answer, deadline).await
    }

    /// Gives the key back after a proof that the request was not run.
    ///
    /// Only after [`Written::Durable`] may a caller be told that a retry will run. After
    /// [`Written::Pending`] the request was not run either, but a retry may still find the key
    /// claimed.
    pub async fn release(&self, claim: Claim, deadline: Millis) -> Written {
        let (reply, answer) = oneshot::channel();
        self.shard(claim.shard).send(Op::Withdraw {
            key: claim.entry.key,
            id: claim.entry.id,
            reply: Some(reply),
        });
        self.written(answer, deadline).await
    }

    /// Returns the shard of a key.
    #[must_use]
    pub fn shard_of(&self, key: &ClaimKey) -> u32 {
        let count = u64::from(self.inner.config.shards.max(1));
        u32::try_from(key.hash() % count).unwrap_or_default()
    }

    /// Returns what the claims have cost so far.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.inner.counters
    }

    /// Returns the number of changes that are not yet durable.
    #[must_use]
    pub fn pending(&self) -> usize {
        let locks = self.inner.shards.iter();
        locks
            .map(|lock| lock.lock().unwrap_or_else(PoisonError::into_inner))
            .filter_map(|shard| shard.as_ref().map(Shard::depth))
            .sum()
    }

    fn entry(&self, ask: Ask) -> Entry {
        let now = self.inner.clock.now();
        Entry {
            key: ask.key,
            id: WriteId::mint(),
            owner: self.inner.owner.clone(),
            request: ask.request,
            digest: ask.digest,
            claimed: now,
            expires: now + ask.window.max(self.inner.config.window),
            state: State::Claimed,
        }
    }

    fn judge(&self, shard: u32, deadline: Millis, verdict: Option<Verdict>) -> ClaimOutcome {
        match verdict {
            Some(Verdict::Won(offer)) if self.inner.clock.now() <= deadline => {
                let entry = offer.accept();
                ClaimOutcome::Won(Claim { entry, shard })
            }
            Some(Verdict::Repeat(entry)) => ClaimOutcome::Repeat(entry),
            Some(Verdict::Mismatch(request)) => ClaimOutcome::Mismatch(request),
            Some(Verdict::Won(_) | Verdict::Full) | None => ClaimOutcome::Unavailable,
        }
    }

    async fn written(&self, answer: oneshot::Receiver<()>, deadline: Millis) -> Written {
        let at = self.inner.clock.instant(deadline);
        match tokio::time::timeout_at(at, answer).await {
            Ok(Ok(())) => Written::Durable,
            Ok(Err(_)) | Err(_) => Written::Pending,
        }
    }

    fn shard(&self, index: u32) -> Shard {
        let lock = &self.inner.shards[index as usize];
        let mut slot = lock.lock().unwrap_or_else(PoisonError::into_inner);
        slot.get_or_insert_with(|| {
            Shard::spawn(
                index,
                Arc::clone(&self.inner.table),
                self.inner.clock,
                self.inner.config,
                Arc::clone(&self.inner.counters),
            )
        })
        .clone()
    }
}

/// Returns the digest of a request body for [`Ask::digest`].
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}
