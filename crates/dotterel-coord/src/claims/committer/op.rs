//! Changes on their way to a shard's task, and the answers on their way back.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use compact_str::format_compact;
use dotterel_kernel::Millis;
use tokio::sync::{mpsc, oneshot};

use super::cache::Cache;
use super::{Committer, Setup};
use crate::claims::change::{Change, ChangeOutcome};
use crate::claims::claim::Claim;
use crate::claims::entry::Entry;

/// A change that waits for its commit.
#[derive(Debug)]
pub(in crate::claims) struct Op {
    pub(super) change: Change,
    /// When a claim is no longer wanted.
    deadline: Millis,
    reply: Option<oneshot::Sender<Reply>>,
    /// True once the entry of a claim may be in the table.
    pub(super) exposed: bool,
    /// True when a peer may still write the entry of a claim.
    forwarded: bool,
    /// True when the change came from a peer, which alone may withdraw its claim.
    foreign: bool,
}

/// The answer to an [`Op`].
#[derive(Debug)]
pub(in crate::claims) enum Reply {
    /// The claim is durable.
    Won(Offer),
    /// Anything else.
    Other(ChangeOutcome),
}

impl Op {
    /// A claim of this node.
    pub(in crate::claims) const fn claim(
        entry: Entry,
        deadline: Millis,
        reply: oneshot::Sender<Reply>,
    ) -> Self {
        let max_wait = Millis::ZERO;
        let change = Change::Claim { entry, max_wait };
        Self::new(change, deadline, Some(reply))
    }

    /// An outcome or a withdrawal.
    pub(in crate::claims) const fn write(
        change: Change,
        reply: Option<oneshot::Sender<Reply>>,
    ) -> Self {
        Self::new(change, Millis::MAX, reply)
    }

    /// A change from a peer.
    pub(in crate::claims) const fn served(
        change: Change,
        deadline: Millis,
        reply: oneshot::Sender<Reply>,
    ) -> Self {
        let mut op = Self::new(change, deadline, Some(reply));
        op.foreign = true;
        op
    }

    /// Notes whether a peer was asked to make the change before.
    #[must_use]
    pub(in crate::claims) const fn forwarded(mut self, forwarded: bool) -> Self {
        self.forwarded = forwarded;
        self.exposed = forwarded;
        self
    }

    const fn new(change: Change, deadline: Millis, reply: Option<oneshot::Sender<Reply>>) -> Self {
        Self {
            change,
            deadline,
            reply,
            exposed: false,
            forwarded: false,
            foreign: false,
        }
    }

    /// Turns a claim that nobody waits for into a withdrawal; none when there is nothing to do.
    pub(super) fn pruned(mut self, now: Millis) -> Option<Self> {
        let Change::Claim { entry, .. } = &self.change else {
            return Some(self);
        };
        let closed = self.reply.as_ref().is_none_or(oneshot::Sender::is_closed);
        if !closed && now < self.deadline {
            return Some(self);
        }
        if self.foreign || !self.exposed {
            return None;
        }
        self.change = Change::Withdraw {
            entry: entry.clone(),
            tombstone: self.forwarded,
        };
        self.reply = None;
        Some(self)
    }

    /// Keeps a peer from writing a claim that was not won here.
    fn bar(&self, shard: &Link) {
        let (Change::Claim { entry, .. }, Some(shard)) = (&self.change, shard.upgrade()) else {
            return;
        };
        let change = Change::Withdraw {
            entry: entry.clone(),
            tombstone: true,
        };
        shard.send(Self::write(change, None));
    }

    /// Tells the one who asked.
    pub(super) fn answer(self, verdict: ChangeOutcome, shard: &Link) {
        if verdict != ChangeOutcome::Won && self.forwarded {
            self.bar(shard);
        }
        let Some(reply) = self.reply else {
            return;
        };
        let answer = match (verdict, self.change) {
            (ChangeOutcome::Won, Change::Claim { entry, .. }) => {
                let Some(shard) = shard.upgrade() else {
                    return;
                };
                let mut offer = Offer::new(entry, shard);
                offer.tombstone = self.forwarded;
                offer.foreign = self.foreign;
                Reply::Won(offer)
            }
            (verdict, _) => Reply::Other(verdict),
        };
        // An answer that nobody takes is dropped, and an offer in it withdraws the claim.
        drop(reply.send(answer));
    }
}

/// A claim on its way to the claimant; one that is never accepted is withdrawn.
#[derive(Debug)]
pub(in crate::claims) struct Offer {
    entry: Entry,
    shard: Shard,
    open: bool,
    /// Whether a withdrawal leaves a mark.
    tombstone: bool,
    /// True for a claim of a peer, which withdraws it itself.
    foreign: bool,
}

impl Offer {
    /// Returns an offer of an entry that a peer may be writing.
    pub(in crate::claims) const fn new(entry: Entry, shard: Shard) -> Self {
        Self {
            entry,
            shard,
            open: true,
            tombstone: true,
            foreign: false,
        }
    }

    /// Returns the entry.
    pub(in crate::claims) const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Takes the claim over.
    pub(in crate::claims) fn accept(mut self) -> Entry {
        self.open = false;
        self.entry.clone()
    }

    /// Takes the claim over as its holder.
    pub(in crate::claims) fn into_claim(self) -> Claim {
        let tombstone = self.tombstone;
        Claim::new(self.accept(), tombstone)
    }
}

impl Drop for Offer {
    fn drop(&mut self) {
        if !self.open || self.foreign {
            return;
        }
        let change = Change::Withdraw {
            entry: self.entry.clone(),
            tombstone: self.tombstone,
        };
        self.shard.send(Op::write(change, None));
    }
}

/// The way to a shard's task.
#[derive(Clone, Debug)]
pub(in crate::claims) struct Shard {
    ops: mpsc::UnboundedSender<Op>,
    depth: Arc<AtomicUsize>,
}

impl Shard {
    /// Starts the task of a shard; it ends when its last sender is gone.
    pub(in crate::claims) fn spawn(index: u32, setup: Setup) -> Self {
        let (ops, inbox) = mpsc::unbounded_channel();
        let shard = Self {
            ops,
            depth: Arc::default(),
        };
        let committer = Committer {
            cache: Cache::new(format_compact!("claims/{index:05}"), setup.clone()),
            shard: Link {
                ops: shard.ops.downgrade(),
                depth: Arc::clone(&shard.depth),
            },
            setup,
            inbox,
            batch: Vec::new(),
            doubt: None,
            next: Millis::ZERO,
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

/// The way of a shard's task to itself, which does not keep it alive.
pub(super) struct Link {
    ops: mpsc::WeakUnboundedSender<Op>,
    depth: Arc<AtomicUsize>,
}

impl Link {
    fn upgrade(&self) -> Option<Shard> {
        let ops = self.ops.upgrade()?;
        let depth = Arc::clone(&self.depth);
        Some(Shard { ops, depth })
    }

    /// Notes that so many changes no longer wait.
    pub(super) fn done(&self, count: usize) {
        self.depth.fetch_sub(count, Ordering::Relaxed);
    }
}
