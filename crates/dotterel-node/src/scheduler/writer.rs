//! Rows to the store, one transaction at a time.
//!
//! Each transaction expects the renewal row as the last one left it. So a transaction whose answer
//! was lost is simply sent again: it is done once, and a copy that is carried out late fails.

use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use dotterel_cell::record::{decode, encode};
use dotterel_cell::{Batch, RowWrite};
use dotterel_kernel::Millis;
use tokio::time::timeout;

use super::Scheduler;
use crate::link::Reply;
use crate::platform::{Commit, Platform, Row, Table, Tx};
use crate::seek::{OWNER, Owner, RENEWAL, Renewal};

/// The holder renews at least this often.
const RENEW_EVERY: Millis = Millis(400);
/// Pause between transactions, in which further events join the next one.
const GATHER: Millis = Millis(12);
/// Pause after a refusal.
const PAUSE: Millis = Millis(60);
/// The store counts as away for callers after this time without a transaction.
pub(super) const AWAY_AFTER: Millis = Millis(700);

/// The end of one attempt.
enum Written {
    Done(u64),
    Again,
    Deposed,
}

impl<P: Platform> Scheduler<P> {
    pub(super) async fn write_rows(self: Rc<Self>) {
        // The take-over wrote the renewal row, so its version is the token.
        let mut version = self.fence;
        let mut count = 0;
        let mut last = Millis::ZERO;
        loop {
            let now = self.clock.now();
            let due = now.since(last) >= RENEW_EVERY || self.unsure.get().is_some();
            let wanted = self.cell.borrow().wants_write(now);
            if !wanted && !due && !self.releasing.get() {
                let wait = RENEW_EVERY - now.since(last);
                // A wake-up and a time-out lead to the same look.
                let _ = timeout(wait.duration(), self.write.notified()).await;
                continue;
            }
            let releasing = self.releasing.get();
            let batch = self.cell.borrow_mut().take_batch(now);
            count += 1;
            let tx = self.transaction(&batch, version, count, releasing);
            let Some(done) = self.commit_surely(&tx, count).await else {
                self.end("another node has taken the role");
                return;
            };
            version = done;
            last = self.clock.now();
            if self.unsure.take().is_some() {
                log::info!(cell = self.no.0; "role confirmed");
            }
            self.cell.borrow_mut().written(&batch);
            self.tell(&batch);
            self.plan.notify_one();
            if releasing && !self.cell.borrow().wants_write(self.clock.now()) {
                self.end("given back");
                return;
            }
            tokio::time::sleep(GATHER.duration()).await;
        }
    }

    fn transaction(&self, batch: &Batch, version: u64, count: u64, releasing: bool) -> Tx {
        let renewal = Renewal {
            term: self.term,
            count,
            unlisted: u32::try_from(self.cell.borrow().unlisted_busy()).unwrap_or(u32::MAX),
            at: self.clock.now(),
        };
        let mut tx = Tx {
            part: self.no.part(),
            expect: vec![
                (Table::Role, OWNER.into(), self.fence),
                (Table::Role, RENEWAL.into(), version),
            ],
            puts: vec![(Table::Role, RENEWAL.into(), encode(&renewal))],
            removes: Vec::new(),
        };
        if releasing {
            let owner = Owner {
                node: self.settings.node.clone(),
                life: self.life,
                address: format_compact!("{}", self.settings.peer),
                term: self.term,
                released: true,
            };
            tx.puts.push((Table::Role, OWNER.into(), encode(&owner)));
        }
        for write in &batch.writes {
            append(&mut tx, write);
        }
        tx
    }

    /// Repeats a transaction until its outcome is known; none when the role is lost.
    async fn commit_surely(&self, tx: &Tx, count: u64) -> Option<u64> {
        loop {
            let began = self.clock.now();
            let outcome = self.platform.commit(tx).await;
            self.metrics.call("commit", self.clock.now().since(began));
            let written = match &outcome {
                Commit::Done(version) => Written::Done(*version),
                Commit::Conflict(rows) => self.judge(rows, count),
                Commit::NotDone | Commit::Unknown => Written::Again,
            };
            match written {
                Written::Done(version) => {
                    if let Some(since) = self.away.take() {
                        let ms = self.clock.now().since(since).0;
                        log::info!(cell = self.no.0, ms; "store takes rows again");
                    }
                    return Some(version);
                }
                Written::Deposed => return None,
                Written::Again => {
                    if self.away.get().is_none() {
                        self.away.set(Some(began));
                        log::warn!(
                            cell = self.no.0, outcome:? = outcome, rows = tx.puts.len();
                            "store takes no rows");
                    }
                    tokio::time::sleep(PAUSE.duration()).await;
                }
            }
        }
    }

    /// Tells an attempt of ours that was done unheard from another node's take-over.
    fn judge(&self, rows: &[Row], count: u64) -> Written {
        let find = |key: &str| rows.iter().find(|row| row.key == key);
        let renewal = find(RENEWAL);
        let own = renewal
            .and_then(|row| decode::<Renewal>(&row.value))
            .is_some_and(|renewal| renewal.term == self.term && renewal.count == count);
        match (own, renewal) {
            (true, Some(row)) => Written::Done(row.version),
            _ => Written::Deposed,
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
        RowWrite::End(id, value) => {
            tx.puts.push((Table::Ends, key(id), value.clone()));
            tx.removes.push((Table::Jobs, key(id)));
            tx.removes.push((Table::Progress, key(id)));
        }
        RowWrite::Forget(id) => tx.removes.push((Table::Ends, key(id))),
    }
}
