//! How a batch of changes is judged against a row.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dotterel_kernel::{Millis, RequestId};
use tokio::sync::mpsc;

use super::{Counters, Offer, Op, Shard, Verdict};
use crate::claims::entry::{Entry, State};
use crate::claims::row::ShardRow;

/// What a change comes to once the row is durable.
pub(super) enum Answer {
    Won,
    Repeat(Entry),
    Mismatch(RequestId),
    Full,
    Written,
}

/// A batch applied to a row.
pub(super) struct Judged {
    /// The row with the batch applied.
    pub(super) row: ShardRow,
    /// Whether the row differs from the one before.
    pub(super) changed: bool,
    /// Whether a claim met an entry that may have changed since the row was read.
    pub(super) hit: bool,
    /// One answer for each change of the batch.
    pub(super) verdicts: Vec<Answer>,
}

/// Applies a batch to a row.
pub(super) fn judge(base: &ShardRow, batch: &[Op], horizon: Millis, limit: usize) -> Judged {
    let mut judged = Judged {
        row: base.clone(),
        changed: false,
        hit: false,
        verdicts: Vec::with_capacity(batch.len()),
    };
    judged.row.expire(horizon);
    for op in batch {
        let answer = apply(&mut judged, base, op, limit);
        judged.verdicts.push(answer);
    }
    judged
}

fn apply(judged: &mut Judged, base: &ShardRow, op: &Op, limit: usize) -> Answer {
    match op {
        Op::Claim { entry, .. } => claim(judged, base, entry, limit),
        Op::Settle {
            key, id, outcome, ..
        } => {
            judged.changed |= judged.row.settle(key, *id, outcome);
            Answer::Written
        }
        Op::Withdraw { key, id, .. } => {
            judged.changed |= judged.row.withdraw(key, *id);
            Answer::Written
        }
    }
}

fn claim(judged: &mut Judged, base: &ShardRow, entry: &Entry, limit: usize) -> Answer {
    let Some(found) = judged.row.find(&entry.key) else {
        if judged.row.len() >= limit {
            return Answer::Full;
        }
        judged.row.insert(entry.clone());
        judged.changed = true;
        return Answer::Won;
    };
    if found.id == entry.id {
        return Answer::Won;
    }
    let known = base.find(&entry.key).is_some();
    judged.hit |= known && found.state == State::Claimed;
    if found.digest == entry.digest {
        Answer::Repeat(found.clone())
    } else {
        Answer::Mismatch(found.request)
    }
}

/// Turns a claim that nobody waits for into a withdrawal; none when no write of it left.
pub(super) fn prune(op: Op, now: Millis) -> Option<Op> {
    match op {
        Op::Claim {
            entry,
            deadline,
            reply,
            exposed,
        } if reply.is_closed() || deadline <= now => exposed.then_some(Op::Withdraw {
            key: entry.key,
            id: entry.id,
            reply: None,
        }),
        other => Some(other),
    }
}

/// Marks the claims of a batch as written to a call that leaves.
pub(super) fn expose(batch: &mut [Op]) {
    for op in batch {
        if let Op::Claim { exposed, .. } = op {
            *exposed = true;
        }
    }
}

/// Tells the one who asked for a change.
pub(super) fn reply(
    op: Op,
    answer: Answer,
    ops: &mpsc::WeakUnboundedSender<Op>,
    depth: &Arc<AtomicUsize>,
    counters: &Counters,
) {
    match op {
        Op::Claim { entry, reply, .. } => {
            let Some(verdict) = verdict(entry, answer, ops, depth, counters) else {
                return;
            };
            // A refused verdict is dropped, and an offer in it withdraws the claim.
            drop(reply.send(verdict));
        }
        Op::Settle { reply, .. } | Op::Withdraw { reply, .. } => {
            if let Some(reply) = reply {
                // Nobody waits for it any more when this fails.
                let _ = reply.send(());
            }
        }
    }
}

fn verdict(
    entry: Entry,
    answer: Answer,
    ops: &mpsc::WeakUnboundedSender<Op>,
    depth: &Arc<AtomicUsize>,
    counters: &Counters,
) -> Option<Verdict> {
    match answer {
        Answer::Won => {
            counters.won.fetch_add(1, Ordering::Relaxed);
            let ops = ops.upgrade()?;
            let depth = Arc::clone(depth);
            Some(Verdict::Won(Offer {
                entry: Some(entry),
                shard: Shard { ops, depth },
            }))
        }
        Answer::Repeat(found) => Some(Verdict::Repeat(found)),
        Answer::Mismatch(request) => Some(Verdict::Mismatch(request)),
        Answer::Full => Some(Verdict::Full),
        Answer::Written => None,
    }
}
