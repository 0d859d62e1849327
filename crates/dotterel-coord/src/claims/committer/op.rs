//! Changes queued for a shard's task, and the replies to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use compact_str::format_compact;
use dotterel_kernel::Millis;
use tokio::sync::{mpsc, oneshot};

use super::cache::Cache;
use super::{Committer, ShardContext};
use crate::claims::change::{Change, ChangeOutcome};
use crate::claims::claim::Claim;
use crate::claims::entry::Entry;

/// A change waiting to be committed.
#[derive(Debug)]
pub(in crate::claims) struct Op {
    pub(super) change: Change,
    /// When a claim that is not yet durable is abandoned.
    deadline: Millis,
    reply: Option<oneshot::Sender<Reply>>,
    /// Whether the entry of a claim may be in the table.
    pub(super) maybe_written: bool,
    /// Whether a peer may still write the entry of a claim.
    forwarded: bool,
    /// Whether the change came from a peer; only that peer may withdraw its claim.
    from_peer: bool,
}

/// The reply to an [`Op`].
#[derive(Debug)]
pub(in crate::claims) enum Reply {
    /// The claim is durable.
    Won(ClaimGuard),
    /// Any other outcome.
    Other(ChangeOutcome),
}

impl Op {
    /// Creates the operation for a claim of this node.
    pub(in crate::claims) const fn claim(
        entry: Entry,
        deadline: Millis,
        reply: oneshot::Sender<Reply>,
    ) -> Self {
        let max_wait = Millis::ZERO;
        let change = Change::Claim { entry, max_wait };
        Self::new(change, deadline, Some(reply))
    }

    /// Creates the operation that records an outcome or withdraws a claim.
    pub(in crate::claims) const fn write(
        change: Change,
        reply: Option<oneshot::Sender<Reply>>,
    ) -> Self {
        Self::new(change, Millis::MAX, reply)
    }

    /// Creates the operation for a change forwarded by a peer.
    pub(in crate::claims) const fn peer_change(
        change: Change,
        deadline: Millis,
        reply: oneshot::Sender<Reply>,
    ) -> Self {
        let mut op = Self::new(change, deadline, Some(reply));
        op.from_peer = true;
        op
    }

    /// Sets whether the change was sent to a peer before.
    #[must_use]
    pub(in crate::claims) const fn forwarded(mut self, forwarded: bool) -> Self {
        self.forwarded = forwarded;
        self.maybe_written = forwarded;
        self
    }

    const fn new(change: Change, deadline: Millis, reply: Option<oneshot::Sender<Reply>>) -> Self {
        Self {
            change,
            deadline,
            reply,
            maybe_written: false,
            forwarded: false,
            from_peer: false,
        }
    }

    /// Turns an abandoned claim into a withdrawal, or into `None` if there is nothing to withdraw.
    pub(super) fn drop_if_expired(mut self, now: Millis) -> Option<Self> {
        let Change::Claim { entry, .. } = &self.change else {
            return Some(self);
        };
        let closed = self.reply.as_ref().is_none_or(oneshot::Sender::is_closed);
        if !closed && now < self.deadline {
            return Some(self);
        }
        if self.from_peer || !self.maybe_written {
            return None;
        }
        self.change = Change::Withdraw {
            entry: entry.clone(),
            tombstone: self.forwarded,
        };
        self.reply = None;
        Some(self)
    }

    /// Withdraws a claim that was not won, so that a peer that it was forwarded to cannot write it.
    fn withdraw_forwarded(&self, shard: &WeakShard) {
        let (Change::Claim { entry, .. }, Some(shard)) = (&self.change, shard.upgrade()) else {
            return;
        };
        let change = Change::Withdraw {
            entry: entry.clone(),
            tombstone: true,
        };
        shard.send(Self::write(change, None));
    }

    /// Sends the outcome to the caller.
    pub(super) fn send_reply(self, outcome: ChangeOutcome, shard: &WeakShard) {
        if outcome != ChangeOutcome::Won && self.forwarded {
            self.withdraw_forwarded(shard);
        }
        let Some(reply) = self.reply else {
            return;
        };
        let response = match (outcome, self.change) {
            (ChangeOutcome::Won, Change::Claim { entry, .. }) => {
                let Some(shard) = shard.upgrade() else {
                    return;
                };
                let mut guard = ClaimGuard::new(entry, shard);
                guard.tombstone = self.forwarded;
                guard.from_peer = self.from_peer;
                Reply::Won(guard)
            }
            (outcome, _) => Reply::Other(outcome),
        };
        // If the receiver is gone, the reply is dropped, and a guard in it withdraws the claim.
        drop(reply.send(response));
    }
}

/// Withdraws a claim when dropped, unless disarmed.
#[derive(Debug)]
pub(in crate::claims) struct ClaimGuard {
    entry: Entry,
    shard: ShardHandle,
    armed: bool,
    /// Whether a withdrawal leaves a tombstone.
    tombstone: bool,
    /// Whether the claim belongs to a peer, which withdraws it itself.
    from_peer: bool,
}

impl ClaimGuard {
    /// Creates an armed guard for an entry that a peer may be writing.
    pub(in crate::claims) const fn new(entry: Entry, shard: ShardHandle) -> Self {
        Self {
            entry,
            shard,
            armed: true,
            tombstone: true,
            from_peer: false,
        }
    }

    /// Returns the entry.
    pub(in crate::claims) const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Disarms the guard and returns the entry.
    pub(in crate::claims) fn disarm(mut self) -> Entry {
        self.armed = false;
        self.entry.clone()
    }

    /// Disarms the guard and returns the claim.
    pub(in crate::claims) fn into_claim(self) -> Claim {
        let tombstone = self.tombstone;
        Claim::new(self.disarm(), tombstone)
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.armed || self.from_peer {
            return;
        }
        let change = Change::Withdraw {
            entry: self.entry.clone(),
            tombstone: self.tombstone,
        };
        self.shard.send(Op::write(change, None));
    }
}

/// A handle to a shard's task.
#[derive(Clone, Debug)]
pub(in crate::claims) struct ShardHandle {
    ops: mpsc::UnboundedSender<Op>,
    depth: Arc<AtomicUsize>,
}

impl ShardHandle {
    /// Spawns the task of a shard, which ends when the last handle is dropped.
    pub(in crate::claims) fn spawn(index: u32, context: ShardContext) -> Self {
        let (ops, inbox) = mpsc::unbounded_channel();
        let shard = Self {
            ops,
            depth: Arc::default(),
        };
        let committer = Committer {
            cache: Cache::new(format_compact!("claims/{index:05}"), context.clone()),
            shard: WeakShard {
                ops: shard.ops.downgrade(),
                depth: Arc::clone(&shard.depth),
            },
            context,
            inbox,
            batch: Vec::new(),
            uncertain_version: None,
            next_write: Millis::ZERO,
        };
        tokio::spawn(committer.run());
        shard
    }

    /// Queues a change.
    pub(in crate::claims) fn send(&self, op: Op) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        if self.ops.send(op).is_err() {
            self.depth.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of changes that are not durable.
    pub(in crate::claims) fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed)
    }
}

/// A handle to a shard's task that does not keep the task running.
pub(super) struct WeakShard {
    ops: mpsc::WeakUnboundedSender<Op>,
    depth: Arc<AtomicUsize>,
}

impl WeakShard {
    fn upgrade(&self) -> Option<ShardHandle> {
        let ops = self.ops.upgrade()?;
        let depth = Arc::clone(&self.depth);
        Some(ShardHandle { ops, depth })
    }

    /// Subtracts `count` completed changes from the queue depth.
    pub(super) fn done(&self, count: usize) {
        self.depth.fetch_sub(count, Ordering::Relaxed);
    }
}
