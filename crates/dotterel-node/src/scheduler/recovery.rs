//! Reading back what earlier terms kept.

use compact_str::CompactString;
use dotterel_cell::JobId;
use dotterel_cell::record::{JobRow, Progress, decode, encode};
use dotterel_kernel::Millis;
use futures_util::future::{join, join_all};

use super::Scheduler;
use crate::election::{LANES, OWNER, Owner, RENEWAL, Renewal};
use crate::platform::{Commit, Platform, Row, Table, Tx};

/// Rows of one answer; the store gives no more.
const PAGE: u32 = 500;
/// Pause after a call that failed.
const PAUSE: Millis = Millis(100);
/// Time for a lane to be taken; a slow store needs half a second.
const FENCE_TIMEOUT: Millis = Millis(1500);

/// A former holder silent for longer than this may have lost VMs from the registry unseen.
const LONG_SILENCE: Millis = Millis(3000);

/// What a lane's part of the store held.
struct Kept {
    jobs: Vec<Row>,
    progress: Vec<Row>,
}

impl<P: Platform> Scheduler<P> {
    /// Takes all lanes and reads the jobs that they hold, for as long as it takes; returns false
    /// when another node has taken the role meanwhile.
    pub(super) async fn load(&self) -> bool {
        let began = self.clock.now();
        let lanes = join_all((0..LANES).map(|lane| self.load_lane(lane)));
        let ((), lanes) = join(self.load_vms(), lanes).await;
        if let Some(reason) = self.doubt() {
            log::info!(cell = self.no.0, reason; "registry may lack VMs");
            self.cell.borrow_mut().distrust_registry();
        }
        let now = self.clock.now();
        let (mut jobs, mut ended) = (0, 0);
        for (lane, kept) in (0..LANES).zip(lanes) {
            let Some(kept) = kept else {
                self.end("another node has taken the role");
                return false;
            };
            jobs += kept.jobs.len();
            ended += self.inherit(lane, &kept, now);
        }
        log::info!(
            cell = self.no.0, term = self.term, jobs, ended, took_ms = now.since(began).0;
            "cell read back");
        true
    }

    /// Returns why VMs that run something may be missing from the registry, if they may.
    fn doubt(&self) -> Option<&'static str> {
        let before = self.before?;
        if before.unlisted > 0 {
            Some("the former holder knew of some that were missing")
        } else if self.began.since(before.at) > LONG_SILENCE {
            Some("the former holder was silent for long")
        } else if before.roll != self.roll() {
            Some("the former holder knew other VMs")
        } else {
            None
        }
    }

    async fn load_lane(&self, lane: u8) -> Option<Kept> {
        let fence = if lane == 0 {
            self.fence
        } else {
            self.take_lane(lane).await?
        };
        self.fences.borrow_mut()[usize::from(lane)] = fence;
        // Whatever an earlier holder wrote later than this fails.
        let progress = self.read_table(lane, Table::Progress);
        let (progress, jobs) = join(progress, self.read_table(lane, Table::Jobs)).await;
        Some(Kept { jobs, progress })
    }

    /// Shuts earlier holders out of a lane; returns the version from which this holder goes on, or
    /// none when a later one has been there.
    async fn take_lane(&self, lane: u8) -> Option<u64> {
        let renewal = Renewal {
            term: self.term,
            ..Renewal::default()
        };
        let mut before = 0;
        loop {
            let tx = Tx {
                part: self.no.part(lane),
                expect: vec![(Table::Role, OWNER.into(), before)],
                puts: vec![
                    (Table::Role, OWNER.into(), encode(&self.owner)),
                    (Table::Role, RENEWAL.into(), encode(&renewal)),
                ],
                removes: Vec::new(),
            };
            match self.platform.commit(&tx, FENCE_TIMEOUT).await {
                Commit::Done(version) => return Some(version),
                Commit::Conflict(rows) => {
                    let row = rows.iter().find(|row| row.key == OWNER)?;
                    // A row that can't be read is replaced.
                    let found = decode::<Owner>(&row.value);
                    if found.as_ref() == Some(&self.owner) {
                        return Some(row.version);
                    }
                    if found.is_some_and(|found| found.term > self.term) {
                        return None;
                    }
                    before = row.version;
                }
                Commit::NotDone | Commit::Unknown => {
                    log::warn!(cell = self.no.0, lane; "lane not taken yet");
                    tokio::time::sleep(PAUSE.duration()).await;
                }
            }
        }
    }

    /// Takes in a lane's jobs; returns how many had ended.
    fn inherit(&self, lane: u8, kept: &Kept, now: Millis) -> usize {
        let mut cell = self.cell.borrow_mut();
        let mut ended = 0;
        for row in &kept.jobs {
            let record = decode::<JobRow>(&row.value);
            let (Ok(id), Some(record)) = (row.key.parse::<JobId>(), record) else {
                log::error!(key = row.key.as_str(), table = "jobs"; "row not readable");
                continue;
            };
            let record = match record {
                JobRow::Open(record) => *record,
                JobRow::Ended(end) => {
                    ended += 1;
                    cell.inherit_end(id, &end, lane, now);
                    continue;
                }
            };
            let progress = &kept.progress;
            let at = progress.binary_search_by(|other| other.key.cmp(&row.key));
            let written = at.ok().map(|at| &progress[at].value);
            let progress = written.and_then(|value| decode::<Progress>(value));
            if written.is_some() && progress.is_none() {
                log::error!(key = row.key.as_str(), table = "progress"; "row not readable");
            }
            cell.inherit(id, record, progress.as_ref(), lane, now);
        }
        ended
    }

    async fn read_table(&self, lane: u8, table: Table) -> Vec<Row> {
        let part = self.no.part(lane);
        let mut rows: Vec<Row> = Vec::new();
        let mut from = CompactString::default();
        loop {
            match self.platform.scan(table, &part, &from, PAGE).await {
                Ok(page) => {
                    rows.extend(page.rows);
                    if !page.has_more {
                        return rows;
                    }
                    if let Some(last) = rows.last() {
                        // The next key after the last one.
                        from = compact_str::format_compact!("{}\0", last.key);
                    }
                }
                Err(fault) => {
                    log::warn!(cell = self.no.0, fault:? = fault; "cell not read back yet");
                    tokio::time::sleep(PAUSE.duration()).await;
                }
            }
        }
    }
}
