//! Claims that make an unrepeatable request run at most once.
//!
//! A claim is an entry in the platform's table, keyed by the service and the caller's idempotency
//! key, that is durable before anything is dispatched. Keys are spread over shards by hash. Each
//! shard is one row with its latest entries; older ones stand in pages, rows that are written once.
//! A task per shard keeps the row in memory and commits a batch of changes in one write, at most
//! one write per [`Config::write_interval`]. The write names the version of the cached row, so a stale cache
//! costs a conflict and never a second winner; any number of nodes may cache the same shard.
//!
//! With [`Peers`], a node forwards its changes to the node that usually writes the shard, so that
//! claims from many nodes share writes. A wrong idea of that node is harmless, and when it does not
//! answer, the change is committed from here.
//!
//! # Lost answers
//!
//! Every claim carries a [`WriteId`]. After a write with an unknown outcome the row is read again
//! and the batch is judged anew: an entry with the claim's own id means that the write took effect.
//! While the row still has the version that the lost write expected, that write may yet arrive.
//! Only the node that asked for a claim withdraws it.
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
//! answered. Wall clocks of nodes differ by less than [`Config::max_skew`].

mod change;
mod claim;
mod committer;
mod config;
mod entry;
mod forward;
mod outcome;
mod page;
mod row;

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{CallError, ObjectStore, Owner, Table};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

pub use change::{Change, ChangeOutcome, Peers};
pub use claim::{Claim, ClaimOutcome, ClaimRequest, Durability};
pub use committer::Counters;
pub use config::Config;
pub use entry::{ClaimKey, Entry, State, WriteId};
pub use outcome::{Body, RecordedOutcome};

use committer::{Offer, Op, Reply, Setup, Shard};
use forward::{Forward, detached};

/// The claims as one node sees them; clones share the state.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    setup: Setup,
    owner: Owner,
    peers: Option<Arc<dyn Peers>>,
    store: Option<Arc<dyn ObjectStore>>,
    shards: Vec<Mutex<Option<Shard>>>,
}

impl Claims {
    /// Returns the claims of one node's life; the shards' tasks start at their first use.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, owner: Owner, config: Config) -> Self {
        let count = config.shards.max(1);
        let setup = Setup {
            table,
            clock,
            config,
            counters: Arc::default(),
        };
        Self {
            inner: Arc::new(Inner {
                setup,
                owner,
                peers: None,
                store: None,
                shards: (0..count).map(|_| Mutex::new(None)).collect(),
            }),
        }
    }

    /// Forwards changes to the nodes that usually write the shards.
    ///
    /// # Panics
    ///
    /// Panics when the claims have been cloned already.
    #[must_use]
    pub fn with_peers(mut self, peers: Arc<dyn Peers>) -> Self {
        let inner = Arc::get_mut(&mut self.inner).expect("peers are set before the first clone");
        inner.peers = Some(peers);
        self
    }

    /// Keeps recorded bodies beyond [`Config::inline_body`] in an object store.
    ///
    /// # Panics
    ///
    /// Panics when the claims have been cloned already.
    #[must_use]
    pub fn with_store(mut self, store: Arc<dyn ObjectStore>) -> Self {
        let inner = Arc::get_mut(&mut self.inner).expect("the store is set before the first clone");
        inner.store = Some(store);
        self
    }

    /// Claims a key; [`ClaimOutcome::Won`] is returned only when the claim is durable.
    ///
    /// When the future is dropped before it returns, a claim that became durable is withdrawn.
    pub async fn claim(&self, ask: ClaimRequest) -> ClaimOutcome {
        let deadline = ask.deadline;
        let index = self.shard_of(&ask.key);
        let shard = self.shard(index);
        if shard.depth() >= self.config().max_queued {
            return ClaimOutcome::Unavailable;
        }
        let offer = Offer::new(self.entry(ask), shard.clone());
        let change = Change::Claim {
            entry: offer.entry().clone(),
            max_wait: deadline.since(self.now()),
        };
        let forwarded = match self.forward(index, &change, deadline).await {
            Forward::Answered(verdict) => return self.conclude(*verdict, offer, deadline),
            Forward::Failed => true,
            Forward::Local => false,
        };
        let (reply, answer) = oneshot::channel();
        shard.send(Op::claim(offer.entry().clone(), deadline, reply).forwarded(forwarded));
        offer.accept();
        match self.answer(answer, deadline).await {
            Some(Reply::Won(offer)) => self.conclude(ChangeOutcome::Won, offer, deadline),
            Some(Reply::Other(verdict)) => ClaimOutcome::lost(verdict),
            None => ClaimOutcome::Unavailable,
        }
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
    ) -> Durability {
        let entry = claim.entry().clone();
        let claims = self.clone();
        detached(async move {
            let outcome = claims.bounded(entry.request, outcome).await;
            let change = Change::Settle {
                key: entry.key,
                id: entry.id,
                outcome,
            };
            claims.write(change, deadline).await
        })
        .await
    }

    /// Gives the key back after a proof that the request was not run.
    ///
    /// Only after [`Durability::Durable`] may a caller be told that a retry will run. After
    /// [`Durability::Pending`] the request was not run either, but a retry may still find the key
    /// claimed.
    pub async fn release(&self, claim: Claim, deadline: Millis) -> Durability {
        let change = claim.into_withdrawal();
        let claims = self.clone();
        detached(async move { claims.write(change, deadline).await }).await
    }

    /// Handles a change that a peer forwarded.
    pub async fn serve(&self, change: Change) -> ChangeOutcome {
        let shard = self.shard(self.shard_of(change.key()));
        if shard.depth() >= self.config().max_queued {
            return ChangeOutcome::Unavailable;
        }
        let max_wait = match &change {
            Change::Claim { max_wait, .. } => *max_wait,
            Change::Settle { .. } | Change::Withdraw { .. } => self.config().peer_timeout,
        };
        let deadline = self.now() + max_wait;
        let (reply, answer) = oneshot::channel();
        shard.send(Op::served(change, deadline, reply));
        match self.answer(answer, deadline).await {
            Some(Reply::Won(offer)) => {
                offer.accept();
                ChangeOutcome::Won
            }
            Some(Reply::Other(verdict)) => verdict,
            None => ChangeOutcome::Unavailable,
        }
    }

    /// Returns the whole recorded body; none when it was not kept.
    ///
    /// # Errors
    ///
    /// Fails when the object store cannot be read; nothing has changed then.
    pub async fn body(&self, outcome: &RecordedOutcome) -> Result<Option<Bytes>, CallError> {
        match (&outcome.body, &self.inner.store) {
            (Body::Inline(bytes), _) => Ok(Some(bytes.clone())),
            (Body::Object(name), Some(store)) => store.get(name).await,
            (Body::Object(_), None) | (Body::Omitted { .. }, _) => Ok(None),
        }
    }

    /// Returns the shard of a key.
    #[must_use]
    pub fn shard_of(&self, key: &ClaimKey) -> u32 {
        let count = u64::from(self.config().shards.max(1));
        u32::try_from(key.hash() % count).unwrap_or_default()
    }

    /// Returns what the claims have cost so far.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.inner.setup.counters
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

    fn entry(&self, ask: ClaimRequest) -> Entry {
        let now = self.now();
        Entry {
            key: ask.key,
            id: WriteId::mint(),
            owner: self.inner.owner.clone(),
            request: ask.request,
            digest: ask.digest,
            claimed: now,
            expires: now + ask.window.max(self.config().min_window),
            state: State::Claimed,
        }
    }

    /// Turns a verdict on an offered claim into the claimant's outcome.
    fn conclude(&self, verdict: ChangeOutcome, offer: Offer, deadline: Millis) -> ClaimOutcome {
        match verdict {
            // A claim that came too late is withdrawn with its offer.
            ChangeOutcome::Won if self.now() > deadline => ClaimOutcome::Unavailable,
            ChangeOutcome::Won => ClaimOutcome::Won(offer.into_claim()),
            ChangeOutcome::Unavailable => ClaimOutcome::Unavailable,
            other => {
                offer.accept();
                ClaimOutcome::lost(other)
            }
        }
    }

    async fn answer<T>(&self, mut answer: oneshot::Receiver<T>, deadline: Millis) -> Option<T> {
        let at = self.inner.setup.clock.instant(deadline);
        match tokio::time::timeout_at(at, &mut answer).await {
            Ok(answer) => answer.ok(),
            Err(_) => {
                answer.close();
                answer.try_recv().ok()
            }
        }
    }

    fn shard(&self, index: u32) -> Shard {
        let lock = &self.inner.shards[index as usize];
        let mut slot = lock.lock().unwrap_or_else(PoisonError::into_inner);
        slot.get_or_insert_with(|| Shard::spawn(index, self.inner.setup.clone()))
            .clone()
    }

    fn config(&self) -> &Config {
        &self.inner.setup.config
    }

    fn now(&self) -> Millis {
        self.inner.setup.clock.now()
    }
}

/// Returns the digest of a request body for [`ClaimRequest::digest`].
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}
