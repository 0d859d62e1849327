//! Rows to the store.
//!
//! Transactions go through lanes, each of which has a part of the store for itself. Each expects its
//! lane's row as the lane's last one left it, so a transaction whose answer was lost is simply sent
//! again: it is done once, and a copy that is carried out late fails. While the store is quick, one
//! lane does; a slow store gets the others too, since a part carries out one transaction after the
//! other.

use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use dotterel_cell::record::{decode, encode};
use dotterel_cell::{Batch, RowWrite};
use dotterel_kernel::Millis;
use tokio::time::timeout;

use super::Scheduler;
use crate::election::{OWNER, Owner, RENEWAL, Renewal};
use crate::link::Reply;
use crate::platform::{Commit, Platform, Row, Table, Tx};

/// The holder renews at least this often.
const RENEW_EVERY: Millis = Millis(400);
/// Pause between transactions of a lane, in which further events join the next one.
const GATHER: Millis = Millis(12);
/// A further lane is used when the ones before it have been busy for so long: several times what
/// a transaction usually takes.
const LANE_AFTER: Millis = Millis(60);
/// Pause after a refusal.
const PAUSE: Millis = Millis(60);
/// The store counts as away for callers after this time without a transaction.
const AWAY_AFTER: Millis = Millis(500);
/// When callers come back while the store takes no rows: outages last seconds.
pub(super) const AWAY_RETRY: Millis = Millis::secs(2);
/// A transaction is given up after this time, many times what it usually takes, since its
/// connection may have gone silent; a slow store gets longer with the next attempt, which also
/// tells whether the first was done.
const TIMEOUT_MIN: Millis = Millis(600);
const TIMEOUT_MAX: Millis = Millis(1300);
/// While the store is slow, as the last transaction showed, a transaction isn't sent again before
/// so many times what that one took, since each copy makes the line at the store longer.
const SLOW_FACTOR: u64 = 3;
const SLOW_TIMEOUT_MAX: Millis = Millis(3000);

/// What became of a transaction.
enum Fate {
    /// It was done, as this version.
    Done(u64),
    /// It surely was not done, and the store takes no others either.
    Refused,
    /// Another node has the role.
    Deposed,
}

impl<P: Platform> Scheduler<P> {
    /// Carries the transactions of one lane.
    pub(super) async fn write_rows(self: Rc<Self>, lane: u8) {
        // The take-over wrote both rows of the role in the lane's part.
        let mut version = self.fences.borrow()[usize::from(lane)];
        let place = usize::from(lane);
        let mut count = 0;
        loop {
            self.wait_for_rows(lane).await;
            let now = self.clock.now();
            let releasing = self.releasing.get() && lane == 0;
            if releasing {
                // The other lanes are let through first, since the release ends them.
                while self.busy.borrow().iter().skip(1).any(Option::is_some) {
                    tokio::time::sleep(GATHER.duration()).await;
                }
            }
            let batch = self.cell.borrow_mut().take_batch(lane, now);
            count += 1;
            self.busy.borrow_mut()[place] = Some(now);
            let tx = self.transaction(&batch, lane, version, count, releasing);
            let done = self.commit_surely(&tx, count, releasing).await;
            self.busy.borrow_mut()[place] = None;
            version = match done {
                Fate::Done(version) => version,
                Fate::Refused => {
                    self.cell.borrow_mut().unwritten(&batch, self.clock.now());
                    self.refuse_fresh();
                    tokio::time::sleep(PAUSE.duration()).await;
                    continue;
                }
                Fate::Deposed => {
                    self.end("another node has taken the role");
                    return;
                }
            };
            if lane == 0 {
                self.renewed.set(self.clock.now());
                if self.unsure.take().is_some() {
                    log::info!(cell = self.no.0; "role confirmed");
                }
            }
            self.cell.borrow_mut().written(&batch);
            self.tell(&batch);
            self.plan.notify_one();
            if releasing {
                self.end("given back");
                return;
            }
            tokio::time::sleep(GATHER.duration()).await;
        }
    }

    /// Returns when a lane has something to write.
    async fn wait_for_rows(&self, lane: u8) {
        loop {
            let now = self.clock.now();
            let (own, new) = {
                let cell = self.cell.borrow();
                (cell.has_rows(lane, now), cell.has_new_rows())
            };
            if lane == 0 {
                let due = now.since(self.renewed.get()) >= RENEW_EVERY;
                let asked = self.unsure.get().is_some() || self.releasing.get();
                if own || new || due || asked {
                    return;
                }
                let wait = RENEW_EVERY - now.since(self.renewed.get());
                // A wake-up and a time-out lead to the same look.
                let _ = timeout(wait.duration(), self.write.notified()).await;
                continue;
            }
            let slow = self.busy.borrow()[..usize::from(lane)]
                .iter()
                .all(|since| since.is_some_and(|since| now.since(since) >= LANE_AFTER));
            // What no transaction holds can still be refused, should the store stay away.
            let takes = new && slow && self.away.get().is_none();
            if !self.releasing.get() && (own || takes) {
                return;
            }
            tokio::time::sleep(LANE_AFTER.duration()).await;
        }
    }

    fn transaction(
        &self,
        batch: &Batch,
        lane: u8,
        version: u64,
        count: u64,
        releasing: bool,
    ) -> Tx {
        let renewal = Renewal {
            term: self.term,
            count,
            unlisted: u32::try_from(self.cell.borrow().unlisted_busy()).unwrap_or(u32::MAX),
            at: self.clock.now(),
            roll: self.roll(),
        };
        let fence = self.fences.borrow()[usize::from(lane)];
        let mut tx = Tx {
            part: self.no.part(lane),
            expect: vec![
                (Table::Role, OWNER.into(), fence),
                (Table::Role, RENEWAL.into(), version),
            ],
            puts: vec![(Table::Role, RENEWAL.into(), encode(&renewal))],
            removes: Vec::new(),
        };
        if releasing {
            let owner = Owner {
                released: true,
                largest: self.largest.get(),
                ..self.owner.clone()
            };
            tx.puts.push((Table::Role, OWNER.into(), encode(&owner)));
        }
        for write in &batch.writes {
            append(&mut tx, write);
        }
        tx
    }

    /// Repeats a transaction until its outcome is known, or until the store has refused it for so
    /// long that callers had better be told.
    async fn commit_surely(&self, tx: &Tx, count: u64, last: bool) -> Fate {
        let first = self.clock.now();
        let slow = Millis(self.took.get().0 * SLOW_FACTOR).min(SLOW_TIMEOUT_MAX);
        let mut most = TIMEOUT_MIN.max(slow);
        let mut refused = true;
        loop {
            let began = self.clock.now();
            let outcome = self.platform.commit(tx, most).await;
            let now = self.clock.now();
            self.metrics.call("commit", now.since(began));
            let fate = match &outcome {
                Commit::Done(version) => Some(Fate::Done(*version)),
                Commit::Conflict(rows) => Some(self.judge(rows, count)),
                Commit::NotDone => None,
                Commit::Unknown => {
                    refused = false;
                    None
                }
            };
            if let Some(fate) = fate {
                self.took.set(now.since(first));
                if let Some(since) = self.away.take() {
                    let away_ms = now.since(since).0;
                    log::info!(cell = self.no.0, away_ms; "store takes rows again");
                }
                return fate;
            }
            if self.away.get().is_none() {
                // A refusal is sure at once; silence may be a lost connection.
                self.away.set(Some(if refused { began } else { now }));
                log::warn!(
                    cell = self.no.0, outcome:? = outcome, rows = tx.puts.len();
                    "store takes no rows");
            }
            if self.is_away() {
                self.refuse_fresh();
                if refused && !last {
                    return Fate::Refused;
                }
            }
            most = TIMEOUT_MAX.max(slow);
            tokio::time::sleep(PAUSE.duration()).await;
        }
    }

    /// Returns true when the store has taken no rows for so long that callers are refused.
    pub(super) fn is_away(&self) -> bool {
        let away = self.away.get();
        away.is_some_and(|since| self.clock.now().since(since) >= AWAY_AFTER)
    }

    /// Refuses the jobs that wait for the store.
    fn refuse_fresh(&self) {
        let refused = self.cell.borrow_mut().refuse_fresh();
        for id in refused {
            log::info!(
                job:% = id, retry_ms = AWAY_RETRY.0, reason = "store away, row not sent";
                "job refused");
            self.reply_waiters(id, false, &Reply::Refused(AWAY_RETRY));
        }
    }

    /// Tells an attempt of ours that was done unheard from another node's take-over.
    fn judge(&self, rows: &[Row], count: u64) -> Fate {
        let renewal = rows.iter().find(|row| row.key == RENEWAL);
        let own = renewal
            .and_then(|row| decode::<Renewal>(&row.value))
            .is_some_and(|renewal| renewal.term == self.term && renewal.count == count);
        match (own, renewal) {
            (true, Some(row)) => Fate::Done(row.version),
            _ => Fate::Deposed,
        }
    }

    /// Replies to those who wait for these rows.
    fn tell(&self, batch: &Batch) {
        for id in &batch.accepted {
            log::info!(job:% = id, cell = self.no.0; "job accepted");
            self.reply_waiters(*id, false, &Reply::Accepted);
        }
        for id in &batch.ended {
            let state = self.cell.borrow().state(*id);
            log::info!(job:% = id, cell = self.no.0, state:? = state; "job ended");
            self.reply_waiters(*id, true, &Reply::Cancelled(true));
        }
    }

    fn reply_waiters(&self, id: dotterel_cell::JobId, cancel: bool, reply: &Reply) {
        let mut waiters = self.waiters.borrow_mut();
        let Some(waiting) = waiters.get_mut(&id) else {
            return;
        };
        waiting.retain(|waiter| {
            if waiter.cancel == cancel {
                self.send(waiter.peer, waiter.number, reply.clone());
            }
            waiter.cancel != cancel
        });
        if waiting.is_empty() {
            waiters.remove(&id);
        }
    }
}

fn append(tx: &mut Tx, write: &RowWrite) {
    let key = |id: &dotterel_cell::JobId| -> CompactString { format_compact!("{id}") };
    match write {
        RowWrite::Job(id, value) => tx.puts.push((Table::Jobs, key(id), value.clone())),
        RowWrite::Progress(id, value) => tx.puts.push((Table::Progress, key(id), value.clone())),
        RowWrite::DropProgress(id) => tx.removes.push((Table::Progress, key(id))),
        RowWrite::Forget(id) => tx.removes.push((Table::Jobs, key(id))),
    }
}
