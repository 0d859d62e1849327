//! Idempotency-key claims, which ensure that a non-repeatable request runs at most once.
//!
//! A claim is an entry in the platform's table, keyed by the service and the caller's idempotency
//! key. It is durable before the request is dispatched. Keys are hashed to shards. Each shard is
//! one row that holds its latest entries; older entries are in pages, which are rows written only
//! once. One task per shard caches the row and commits a batch of changes per write, at most one
//! write per [`Config::write_interval`]. A write is conditional on the version of the cached row,
//! so a stale cache causes a conflict but never a second winner, and any number of nodes may cache
//! the same shard.
//!
//! With [`Peers`], a node forwards its changes to the shard's usual writer, so that claims from
//! many nodes share writes. Nodes may disagree on the usual writer without harm; if it does not
//! reply, the node commits the change itself.
//!
//! # Lost replies
//!
//! Every claim carries a [`WriteId`]. After a write with an unknown outcome, the row is read again
//! and the batch is applied to it again: an entry with the claim's own id means that the write took
//! effect. As long as the row has the version that the lost write expected, that write may still
//! take effect. Only the node that made a claim withdraws it.
//!
//! # What a retry with the same key gets
//!
//! | first request | retry gets |
//! | --- | --- |
//! | won, outcome recorded by [`Claims::settle`] | [`ClaimOutcome::Repeat`], `Done` |
//! | won, still in flight or its node died | [`ClaimOutcome::Repeat`], `Claimed`: fate unknown |
//! | won, then released by [`Claims::release`] | [`ClaimOutcome::Won`] |
//! | got [`ClaimOutcome::Unavailable`] after its write was sent | `Claimed` until the node has withdrawn the entry in the background, then the same as released; `Claimed` until the window ends if the node dies first |
//!
//! An entry is removed from the shard when its window has ended.
//!
//! # Assumptions
//!
//! The table's row versions increase and are never reused, and reads see every acknowledged write.
//! Wall clocks of nodes differ by less than [`Config::max_skew`].

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

use committer::{ClaimGuard, Op, Reply, ShardContext, ShardHandle};
use forward::{Forward, run_detached};

/// One node's access to the claims; clones share the state.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    context: ShardContext,
    owner: Owner,
    peers: Option<Arc<dyn Peers>>,
    store: Option<Arc<dyn ObjectStore>>,
    shards: Vec<Mutex<Option<ShardHandle>>>,
}

impl Claims {
    /// Creates the claims of one node incarnation; a shard's task starts at its first use.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, owner: Owner, config: Config) -> Self {
        let count = config.shards.max(1);
        let context = ShardContext {
            table,
            clock,
            config,
            counters: Arc::default(),
        };
        Self {
            inner: Arc::new(Inner {
                context,
                owner,
                peers: None,
                store: None,
                shards: (0..count).map(|_| Mutex::new(None)).collect(),
            }),
        }
    }

    /// Enables forwarding of changes to each shard's usual writer.
    ///
    /// # Panics
    ///
    /// Panics if the claims have already been cloned.
    #[must_use]
    pub fn with_peers(mut self, peers: Arc<dyn Peers>) -> Self {
        let inner =
            Arc::get_mut(&mut self.inner).expect("peers must be set before the first clone");
        inner.peers = Some(peers);
        self
    }

    /// Stores recorded bodies larger than [`Config::inline_body`] in an object store.
    ///
    /// # Panics
    ///
    /// Panics if the claims have already been cloned.
    #[must_use]
    pub fn with_store(mut self, store: Arc<dyn ObjectStore>) -> Self {
        let inner =
            Arc::get_mut(&mut self.inner).expect("the store must be set before the first clone");
        inner.store = Some(store);
        self
    }

    /// Claims a key; returns [`ClaimOutcome::Won`] only when the claim is durable.
    ///
    /// If the future is dropped before it completes, a claim that became durable is withdrawn.
    pub async fn claim(&self, claim_request: ClaimRequest) -> ClaimOutcome {
        let deadline = claim_request.deadline;
        let index = self.shard_of(&claim_request.key);
        let shard = self.shard(index);
        if shard.depth() >= self.config().max_queued {
            return ClaimOutcome::Unavailable;
        }
        let guard = ClaimGuard::new(self.new_entry(claim_request), shard.clone());
        let change = Change::Claim {
            entry: guard.entry().clone(),
            max_wait: deadline.since(self.now()),
        };
        let forwarded = match self.forward(index, &change, deadline).await {
            Forward::Replied(result) => return self.finish_claim(*result, guard, deadline),
            Forward::Failed => true,
            Forward::Local => false,
        };
        let (reply_tx, reply_rx) = oneshot::channel();
        shard.send(Op::claim(guard.entry().clone(), deadline, reply_tx).forwarded(forwarded));
        guard.disarm();
        match self.wait_reply(reply_rx, deadline).await {
            Some(Reply::Won(guard)) => self.finish_claim(ChangeOutcome::Won, guard, deadline),
            Some(Reply::Other(result)) => ClaimOutcome::not_won(result),
            None => ClaimOutcome::Unavailable,
        }
    }

    /// Records the outcome of a claimed request, which repeated requests then get.
    ///
    /// Waits until the outcome is durable or `deadline` has passed; an unfinished write continues
    /// in the background.
    pub async fn settle(
        &self,
        claim: &Claim,
        outcome: RecordedOutcome,
        deadline: Millis,
    ) -> Durability {
        let entry = claim.entry().clone();
        let claims = self.clone();
        run_detached(async move {
            let outcome = claims.store_large_body(entry.request, outcome).await;
            let change = Change::Settle {
                key: entry.key,
                id: entry.id,
                outcome,
            };
            claims.write(change, deadline).await
        })
        .await
    }

    /// Releases the key of a request that provably did not run.
    ///
    /// [`Durability::Durable`] means that a retry finds the key free. After [`Durability::Pending`]
    /// a retry may still find the key claimed, although the request did not run, so the caller must
    /// not be promised that a retry will run.
    pub async fn release(&self, claim: Claim, deadline: Millis) -> Durability {
        let change = claim.into_withdrawal();
        let claims = self.clone();
        run_detached(async move { claims.write(change, deadline).await }).await
    }

    /// Commits a change that a peer forwarded.
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
        let (reply_tx, reply_rx) = oneshot::channel();
        shard.send(Op::peer_change(change, deadline, reply_tx));
        match self.wait_reply(reply_rx, deadline).await {
            Some(Reply::Won(guard)) => {
                guard.disarm();
                ChangeOutcome::Won
            }
            Some(Reply::Other(result)) => result,
            None => ChangeOutcome::Unavailable,
        }
    }

    /// Returns the complete recorded body, or `None` if it was not stored.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
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

    /// Returns the counters of changes, writes and reads.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.inner.context.counters
    }

    /// Returns the number of changes that are not yet durable.
    #[must_use]
    pub fn pending(&self) -> usize {
        let locks = self.inner.shards.iter();
        locks
            .map(|lock| lock.lock().unwrap_or_else(PoisonError::into_inner))
            .filter_map(|shard| shard.as_ref().map(ShardHandle::depth))
            .sum()
    }

    fn new_entry(&self, claim_request: ClaimRequest) -> Entry {
        let now = self.now();
        Entry {
            key: claim_request.key,
            id: WriteId::generate(),
            owner: self.inner.owner.clone(),
            request: claim_request.request,
            digest: claim_request.digest,
            claimed: now,
            expires: now + claim_request.window.max(self.config().min_window),
            state: State::Claimed,
        }
    }

    /// Converts the outcome of a claim change into the result of [`Claims::claim`].
    fn finish_claim(
        &self,
        result: ChangeOutcome,
        guard: ClaimGuard,
        deadline: Millis,
    ) -> ClaimOutcome {
        match result {
            // Dropping the guard withdraws a claim won after the deadline.
            ChangeOutcome::Won if self.now() > deadline => ClaimOutcome::Unavailable,
            ChangeOutcome::Won => ClaimOutcome::Won(guard.into_claim()),
            ChangeOutcome::Unavailable => ClaimOutcome::Unavailable,
            other => {
                guard.disarm();
                ClaimOutcome::not_won(other)
            }
        }
    }

    async fn wait_reply<T>(
        &self,
        mut reply_rx: oneshot::Receiver<T>,
        deadline: Millis,
    ) -> Option<T> {
        let at = self.inner.context.clock.instant(deadline);
        match tokio::time::timeout_at(at, &mut reply_rx).await {
            Ok(reply) => reply.ok(),
            Err(_) => {
                reply_rx.close();
                reply_rx.try_recv().ok()
            }
        }
    }

    fn shard(&self, index: u32) -> ShardHandle {
        let lock = &self.inner.shards[index as usize];
        let mut slot = lock.lock().unwrap_or_else(PoisonError::into_inner);
        slot.get_or_insert_with(|| ShardHandle::spawn(index, self.inner.context.clone()))
            .clone()
    }

    fn config(&self) -> &Config {
        &self.inner.context.config
    }

    fn now(&self) -> Millis {
        self.inner.context.clock.now()
    }
}

/// Returns the digest of a request body for [`ClaimRequest::digest`].
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxh3_64(body)
}
