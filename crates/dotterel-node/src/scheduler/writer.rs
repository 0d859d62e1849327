//! Writes rows to the store.
//!
//! Transactions go through lanes, each with its own partition of the store. A transaction expects
//! its lane's renewal row as the previous one left it, so a transaction without a reply can
//! be sent again: it takes effect once, and a delayed copy fails. Lane 0 suffices while the store
//! is fast. When it is slow the other lanes are used as well, since a partition executes
//! transactions one after the other.

use std::cell::Cell as StdCell;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use dotterel_cell::cell::RefusedBatch;
use dotterel_cell::record::{decode, encode};
use dotterel_cell::{Batch, RowWrite};
use dotterel_kernel::Millis;
use tokio::time::timeout;

use super::Scheduler;
use crate::commit_probe::{CommitProbe, PROBE_DELAY, Probe};
use crate::election::{LEADER_KEY, LeaderRow, RENEWAL_KEY, RenewalRow};
use crate::link::Reply;
use crate::platform::{Commit, Platform, Row, Table, Tx};

/// Key of the list of VMs on which runs may be stopping; the other rows of the table have numbers.
pub(super) const STOP_LIST_KEY: &str = "stops";
/// Maximum interval between renewals of the leadership.
pub(super) const RENEW_INTERVAL: Millis = Millis(250);
/// Pause between transactions of a lane, in which further writes join the next one.
const BATCH_INTERVAL: Millis = Millis(12);
/// A lane takes new rows once all lanes before it have been busy for this long: several times the
/// usual duration of a transaction.
const LANE_BUSY_THRESHOLD: Millis = Millis(60);
/// Pause after a transaction that was rejected or not answered.
const RETRY_INTERVAL: Millis = Millis(60);
/// Jobs are refused once the store has been unavailable for this long.
const UNAVAILABLE_AFTER: Millis = Millis(500);
/// Retry delay sent to callers while the store is unavailable: outages last seconds.
pub(super) const STORE_RETRY_AFTER: Millis = Millis::secs(2);
/// Timeouts of the first and of later attempts of a transaction: many times its usual duration,
/// since a broken connection shows only by a timeout. Later attempts get longer, in case the store
/// is slow; they also reveal whether the first attempt was executed.
const COMMIT_TIMEOUT: Millis = Millis(600);
const COMMIT_RETRY_TIMEOUT: Millis = Millis(1300);
/// While the store is slow, a transaction is sent again only after this many times the duration of
/// the previous one, up to a maximum, since each copy lengthens the store's queue.
const SLOW_STORE_FACTOR: u64 = 3;
const MAX_SLOW_TIMEOUT: Millis = Millis(3000);

/// Replies of a transaction that may be lost before the store counts as unavailable.
const MAX_LOST_REPLIES: u32 = 2;
/// Timeout of a probe, unless the last transaction took longer.
const PROBE_TIMEOUT: Millis = Millis(200);

/// A transaction that takes this long shows a slow store: ten times the usual duration.
const SLOW_COMMIT: Millis = Millis(120);

/// Outcome of a transaction.
enum TxOutcome {
    /// Committed as this version.
    Committed(u64),
    /// Not committed, and the store rejects other transactions as well.
    Rejected,
    /// Not committed, as the store rejects the content.
    Refused,
    /// Another node has taken over.
    LeadershipLost,
}

impl<P: Platform> Scheduler<P> {
    /// Runs the transactions of one lane, one after the other.
    pub(super) async fn write_rows(self: Rc<Self>, lane: u8) {
        // The takeover wrote the leader row and the renewal row of the lane in one transaction.
        let mut version = self.lane_versions.borrow()[usize::from(lane)];
        let index = usize::from(lane);
        let mut count = 0;
        let mut was_refused = false;
        loop {
            self.wait_for_rows(lane).await;
            let now = self.clock.now();
            let releasing = self.releasing.get() && lane == 0;
            if releasing {
                // Wait for transactions in flight in the other lanes: the release ends those lanes
                // too.
                while self.busy_since.borrow().iter().skip(1).any(Option::is_some) {
                    tokio::time::sleep(BATCH_INTERVAL.duration()).await;
                }
            }
            // The leadership is renewed first, by itself.
            let batch = if std::mem::take(&mut was_refused) && lane == 0 {
                Batch::default()
            } else {
                self.cell.borrow_mut().take_batch(lane, now)
            };
            count += 1;
            self.busy_since.borrow_mut()[index] = Some(now);
            let tx = self.build_tx(&batch, lane, version, count, releasing);
            if lane == 0 {
                self.cover_absences();
            }
            let sent_at = self.clock.now_with_suspension();
            let outcome = self.commit_with_retry(&tx, count, releasing).await;
            self.busy_since.borrow_mut()[index] = None;
            version = match outcome {
                TxOutcome::Committed(version) => version,
                TxOutcome::Rejected => {
                    self.cell
                        .borrow_mut()
                        .batch_failed(&batch, self.clock.now());
                    self.refuse_waiting();
                    tokio::time::sleep(RETRY_INTERVAL.duration()).await;
                    continue;
                }
                TxOutcome::Refused => {
                    was_refused = true;
                    self.handle_refused(&batch);
                    tokio::time::sleep(BATCH_INTERVAL.duration()).await;
                    continue;
                }
                TxOutcome::LeadershipLost => {
                    self.end("another node has taken over");
                    return;
                }
            };
            if lane == 0 {
                self.cell.borrow_mut().note_own_version(version);
                self.renewed_at.set(self.clock.now());
                let mut leadership = self.leadership.get();
                leadership.renew(sent_at);
                self.leadership.set(leadership);
                self.log_own_lease();
                self.confirm_leadership(now);
                self.unrenewed_leases.set(0);
                if self.unconfirmed_until.take().is_some() {
                    log::info!(cell = self.cell_no.0; "leadership confirmed");
                }
            }
            self.cell.borrow_mut().batch_committed(&batch);
            self.reply_committed(&batch);
            if lane == 0 {
                self.confirm_absences();
            }
            self.plan_wakeup.notify_one();
            if releasing {
                self.end("released");
                return;
            }
            tokio::time::sleep(BATCH_INTERVAL.duration()).await;
        }
    }

    /// Has the rows of a refused transaction written without the one at fault.
    fn handle_refused(&self, batch: &Batch) {
        /// Rows that are named in the log.
        const MAX_NAMED: usize = 4;
        let cell = self.cell_no.0;
        if batch.writes.is_empty() {
            log::error!(cell; "store refuses the renewal of the leadership");
            return;
        }
        let refused = self
            .cell
            .borrow_mut()
            .batch_refused(batch, self.clock.now());
        let rows = batch.writes.len();
        let named: Vec<_> = batch.writes.iter().take(MAX_NAMED).map(describe).collect();
        let named = named.join(", ");
        log::error!(
            cell, rows, first = named.as_str(), outcome:? = refused;
            "store refuses rows for their content");
        match refused {
            RefusedBatch::NotAccepted(id) => {
                let reason = "the store refuses the job";
                log::info!(job:% = id, reason; "job refused");
                self.reply_waiters(id, false, &Reply::Never(reason.into()));
                self.reply_waiters(id, true, &Reply::Cancelled(false));
            }
            RefusedBatch::GivenUp(id) => {
                log::error!(job:% = id; "job failed, as its progress can't be stored");
            }
            RefusedBatch::Divided | RefusedBatch::SetAside(_) | RefusedBatch::Left => {}
        }
    }

    /// Records a renewal that was sent at `sent_at`, and releases at once what has waited for it.
    fn confirm_leadership(&self, sent_at: Millis) {
        let mut cell = self.cell.borrow_mut();
        let is_awaited = cell.needs_confirmation();
        cell.leadership_confirmed(sent_at);
        if is_awaited {
            cell.tick(self.clock.now());
            drop(cell);
            self.log_lost_vms();
        }
    }

    /// Waits until a lane has something to write.
    async fn wait_for_rows(&self, lane: u8) {
        loop {
            let now = self.clock.now();
            let (has_rows, has_new_rows, needs_confirmation) = {
                let cell = self.cell.borrow();
                let has_rows = cell.has_rows(lane, now);
                (has_rows, cell.has_new_rows(), cell.needs_confirmation())
            };
            if lane == 0 {
                let is_due = now.since(self.renewed_at.get()) >= RENEW_INTERVAL;
                let is_requested = needs_confirmation
                    || self.unconfirmed_until.get().is_some()
                    || self.releasing.get();
                if has_rows || has_new_rows || is_due || is_requested {
                    return;
                }
                let wait = RENEW_INTERVAL - now.since(self.renewed_at.get());
                // A wakeup and a timeout lead to the same check.
                let _ = timeout(wait.duration(), self.write_wakeup.notified()).await;
                continue;
            }
            let earlier_busy = self.busy_since.borrow()[..usize::from(lane)]
                .iter()
                .all(|since| since.is_some_and(|since| now.since(since) >= LANE_BUSY_THRESHOLD));
            // Rows in no transaction can still be refused if the store stays unavailable, so they
            // are left out of further transactions during an outage.
            let takes_new_rows =
                has_new_rows && earlier_busy && self.unavailable_since.get().is_none();
            if !self.releasing.get() && (has_rows || takes_new_rows) {
                return;
            }
            tokio::time::sleep(LANE_BUSY_THRESHOLD.duration()).await;
        }
    }

    fn build_tx(
        &self,
        batch: &Batch,
        lane: u8,
        renewal_version: u64,
        count: u64,
        releasing: bool,
    ) -> Tx {
        let renewal = RenewalRow {
            term: self.term,
            count,
            settled: self.cell.borrow().is_recovered(),
        };
        let leader_version = self.lane_versions.borrow()[usize::from(lane)];
        let mut tx = Tx {
            part: self.cell_no.part(lane),
            expect: vec![
                (Table::Role, LEADER_KEY.into(), leader_version),
                (Table::Role, RENEWAL_KEY.into(), renewal_version),
            ],
            puts: vec![(Table::Role, RENEWAL_KEY.into(), encode(&renewal))],
            removes: Vec::new(),
        };
        if releasing {
            let leader = LeaderRow {
                released: true,
                largest_node: self.fittest_node.get().0,
                ..self.leader.clone()
            };
            tx.puts
                .push((Table::Role, LEADER_KEY.into(), encode(&leader)));
        }
        for write in &batch.writes {
            append(&mut tx, write);
        }
        tx
    }

    /// Repeats a transaction until its outcome is known, or until the store has rejected it for so
    /// long that the waiting jobs are refused.
    async fn commit_with_retry(&self, tx: &Tx, count: u64, releasing: bool) -> TxOutcome {
        let slow_timeout =
            Millis(self.commit_time.get().0 * SLOW_STORE_FACTOR).min(MAX_SLOW_TIMEOUT);
        let mut commit_timeout = COMMIT_TIMEOUT.max(slow_timeout);
        let mut is_rejected = true;
        let mut lost_replies = 0;
        let probe = CommitProbe {
            platform: &*self.platform,
            clock: self.clock,
            part: &tx.part,
            key: RENEWAL_KEY,
            timeout: PROBE_TIMEOUT.max(self.commit_time.get()),
            failed: StdCell::new(false),
            losses: StdCell::new(0),
            slowness: self.store_slowness.get(),
        };
        let is_own = |row: &Row| self.is_own_renewal(row, count);
        loop {
            let sent_at = self.clock.now();
            let mut duration_known = true;
            let commit = tokio::select! {
                commit = self.platform.commit(tx, commit_timeout) => commit,
                shown = probe.wait(is_own) => match shown {
                    Probe::Committed(version) => {
                        duration_known = false;
                        Commit::Done(version)
                    }
                    Probe::Revived => Commit::Unknown,
                    Probe::Lost => {
                        is_rejected = false;
                        lost_replies += 1;
                        if lost_replies <= MAX_LOST_REPLIES {
                            continue;
                        }
                        Commit::Unknown
                    }
                },
            };
            let now = self.clock.now();
            self.metrics.record_call("commit", now.since(sent_at));
            let result = match &commit {
                Commit::Done(version) => Some(TxOutcome::Committed(*version)),
                Commit::Conflict(rows) => Some(self.resolve_conflict(rows, count)),
                Commit::NotDone => None,
                Commit::Refused => Some(TxOutcome::Refused),
                Commit::Unknown => {
                    is_rejected = false;
                    None
                }
            };
            if let Some(outcome) = result {
                let duration = now.since(sent_at);
                if duration_known {
                    self.commit_time.set(duration);
                    if duration < PROBE_DELAY {
                        self.store_slowness.set(0);
                    }
                } else if probe.losses.get() > 0 {
                    // Taken for lost, and found to be committed later on.
                    self.store_slowness.set(probe.losses.get());
                }
                if let Some(since) = self.unavailable_since.take() {
                    let away_ms = now.since(since).0;
                    log::info!(cell = self.cell_no.0, away_ms; "store available again");
                }
                return outcome;
            }
            if self.unavailable_since.get().is_none() {
                // A rejection proves that the store was unavailable from the start of the attempt;
                // a missing reply may just be a lost connection.
                self.unavailable_since
                    .set(Some(if is_rejected { sent_at } else { now }));
                log::warn!(
                    cell = self.cell_no.0, outcome:? = commit, rows = tx.puts.len();
                    "store unavailable");
            }
            if self.is_store_unavailable() {
                self.refuse_waiting();
                if is_rejected && !releasing {
                    return TxOutcome::Rejected;
                }
            }
            commit_timeout = COMMIT_RETRY_TIMEOUT.max(slow_timeout);
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
        }
    }

    /// Returns true if this transaction of the term has written the renewal row.
    fn is_own_renewal(&self, row: &Row, count: u64) -> bool {
        decode::<RenewalRow>(&row.value)
            .is_some_and(|renewal| renewal.term == self.term && renewal.count == count)
    }

    /// Returns true while the store takes so long for transactions that a successor would need
    /// seconds to restore the state of the cell.
    pub(super) fn is_store_slow(&self) -> bool {
        self.commit_time.get() >= SLOW_COMMIT
    }

    /// Returns true when the store has been unavailable for so long that jobs are refused.
    pub(super) fn is_store_unavailable(&self) -> bool {
        let unavailable_since = self.unavailable_since.get();
        unavailable_since.is_some_and(|since| self.clock.now().since(since) >= UNAVAILABLE_AFTER)
    }

    /// Refuses the jobs whose rows have not been sent to the store, and what waits for a renewal.
    fn refuse_waiting(&self) {
        self.refuse_absences();
        let refused = self.cell.borrow_mut().reject_new_jobs();
        for id in refused {
            log::info!(
                job:% = id, retry_ms = STORE_RETRY_AFTER.0,
                reason = "store unavailable, row not sent";
                "job refused");
            self.reply_waiters(id, false, &Reply::Refused(STORE_RETRY_AFTER));
        }
    }

    /// Distinguishes an earlier attempt of this transaction that was committed without a reply from
    /// a takeover by another node.
    fn resolve_conflict(&self, rows: &[Row], count: u64) -> TxOutcome {
        let renewal = rows.iter().find(|row| row.key == RENEWAL_KEY);
        match renewal.filter(|row| self.is_own_renewal(row, count)) {
            Some(row) => TxOutcome::Committed(row.version),
            None => TxOutcome::LeadershipLost,
        }
    }

    /// Replies to the requests that wait for the rows of a batch.
    fn reply_committed(&self, batch: &Batch) {
        for id in &batch.accepted {
            log::info!(job:% = id, cell = self.cell_no.0; "job accepted");
            self.reply_waiters(*id, false, &Reply::Accepted);
        }
        for id in &batch.ended {
            let state = self.cell.borrow().state(*id);
            log::info!(job:% = id, cell = self.cell_no.0, state:? = state; "job ended");
            self.reply_waiters(*id, true, &Reply::Cancelled(true));
        }
    }

    fn reply_waiters(&self, id: dotterel_cell::JobId, is_cancel: bool, reply: &Reply) {
        let mut waiters = self.waiters.borrow_mut();
        let Some(waiting) = waiters.get_mut(&id) else {
            return;
        };
        waiting.retain(|waiter| {
            if waiter.is_cancel == is_cancel {
                self.reply(waiter.peer, waiter.request_id, reply.clone());
            }
            waiter.is_cancel != is_cancel
        });
        if waiting.is_empty() {
            waiters.remove(&id);
        }
    }
}

/// Names a row for the log, with its bytes.
fn describe(write: &RowWrite) -> String {
    match write {
        RowWrite::Job(id, value) => format!("job {id} ({})", value.len()),
        RowWrite::Progress(id, value) => format!("progress {id} ({})", value.len()),
        RowWrite::ProgressPage(id, start, value) => {
            format!("progress {id}.{start} ({})", value.len())
        }
        RowWrite::VmList(row, value) => format!("VM list {row} ({})", value.len()),
        RowWrite::StopList(value) => format!("stops ({})", value.len()),
        RowWrite::DropProgress(id) => format!("removal of progress {id}"),
        RowWrite::DropProgressPage(id, start) => format!("removal of progress {id}.{start}"),
        RowWrite::DropJob(id) => format!("removal of job {id}"),
    }
}

fn append(tx: &mut Tx, write: &RowWrite) {
    let key = |id: &dotterel_cell::JobId| -> CompactString { format_compact!("{id}") };
    match write {
        RowWrite::Job(id, value) => tx.puts.push((Table::Jobs, key(id), value.clone())),
        RowWrite::Progress(id, value) => tx.puts.push((Table::Progress, key(id), value.clone())),
        RowWrite::ProgressPage(id, start, value) => {
            let key = format_compact!("{id}.{start}");
            tx.puts.push((Table::Progress, key, value.clone()));
        }
        RowWrite::DropProgressPage(id, start) => {
            let key = format_compact!("{id}.{start}");
            tx.removes.push((Table::Progress, key));
        }
        RowWrite::DropProgress(id) => tx.removes.push((Table::Progress, key(id))),
        RowWrite::DropJob(id) => tx.removes.push((Table::Jobs, key(id))),
        RowWrite::StopList(value) => {
            let key = STOP_LIST_KEY.into();
            tx.puts.push((Table::Vms, key, value.clone()));
        }
        RowWrite::VmList(row, value) => {
            let key = format_compact!("{row:02}");
            tx.puts.push((Table::Vms, key, value.clone()));
        }
    }
}
