//! Reads that find out what became of a transaction without a reply.
//!
//! A lost reply, a silent store and a slow store look alike until a timeout. A read of a row that the
//! transaction writes tells them apart.

use std::cell::Cell;

use dotterel_kernel::{Clock, Millis};
use tokio::time::{sleep, timeout};

use crate::platform::{Platform, Row, Table};

/// Reads begin this long after the transaction was sent: several times its usual duration.
pub(crate) const PROBE_DELAY: Millis = Millis(120);
/// After this many attempts that were taken for lost, further ones double the delay as well.
const QUICK_ATTEMPTS: u32 = 2;
/// How often that delay doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// Pause after a read that shows nothing.
const PROBE_INTERVAL: Millis = Millis(50);
/// A transaction without a reply counts as lost if it was sent this many times as long ago as a read
/// takes.
const LOST_REPLY_FACTOR: u64 = 6;

/// What a read shows about a transaction without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// Committed as this version; the reply is lost.
    Committed(u64),
    /// Not committed so far, though the store replies: the transaction or its reply is lost.
    Lost,
    /// The store had stopped replying and replies again, so the transaction gets no reply any more.
    Revived,
}

/// Probes for one transaction.
pub(crate) struct CommitProbe<'a, P> {
    pub(crate) platform: &'a P,
    pub(crate) clock: Clock,
    /// The transaction's partition of the store.
    pub(crate) part: &'a str,
    /// A role row that the transaction writes.
    pub(crate) key: &'static str,
    /// Timeout of each read.
    pub(crate) timeout: Millis,
    /// Set while the last read has failed; outlasts an attempt.
    pub(crate) failed: Cell<bool>,
    /// How many attempts have been taken for lost.
    pub(crate) losses: Cell<u32>,
    /// The same of an earlier transaction that turned out to have been slow: each one doubles the delay
    /// of the probes.
    pub(crate) slowness: u32,
}

impl<P: Platform> CommitProbe<'_, P> {
    /// Waits until reads show what became of the transaction. `is_own` tells whether it has written the
    /// row.
    pub(crate) async fn wait(&self, is_own: impl Fn(&Row) -> bool) -> Probe {
        let sent_at = self.clock.now();
        if !self.failed.get() {
            let slowness = self.slowness + self.losses.get().saturating_sub(QUICK_ATTEMPTS);
            sleep(PROBE_DELAY.duration() * 2u32.pow(slowness.min(MAX_DOUBLINGS))).await;
        }
        loop {
            let probed_at = self.clock.now();
            let read = self.platform.scan(Table::Role, self.part, self.key, 1);
            let Ok(Ok(page)) = timeout(self.timeout.duration(), read).await else {
                self.failed.set(true);
                sleep(PROBE_INTERVAL.duration()).await;
                continue;
            };
            let row = page.rows.iter().find(|row| row.key == self.key);
            if let Some(row) = row.filter(|row| is_own(row)) {
                log::info!(part = self.part; "reply lost, transaction is committed");
                return Probe::Committed(row.version);
            }
            if self.failed.replace(false) {
                log::info!(part = self.part; "store replies again, sending the transaction again");
                return Probe::Revived;
            }
            let now = self.clock.now();
            if now.since(probed_at).0 * LOST_REPLY_FACTOR <= now.since(sent_at).0 {
                self.losses.set(self.losses.get() + 1);
                log::info!(
                    part = self.part, losses = self.losses.get();
                    "transaction lost, sending it again");
                return Probe::Lost;
            }
            sleep(PROBE_INTERVAL.duration()).await;
        }
    }
}
