//! Restores the state that earlier terms have written to the store.

use std::cell::Cell as StdCell;
use std::time::Instant;

use compact_str::CompactString;
use dotterel_cell::cell::{VM_LIST_LANE, decode_vm_list};
use dotterel_cell::record::{JobRow, PageStart, Progress, decode, encode};
use dotterel_cell::{JobId, JobState};
use dotterel_kernel::Millis;
use futures_util::future::{join, join_all, join3};

use super::Scheduler;
use super::passes::Pass;
use super::writer::STOP_LIST_KEY;
use crate::commit_probe::{CommitProbe, Probe};
use crate::election::{LANES, LEADER_KEY, LeaderRow, RENEWAL_KEY, RenewalRow};
use crate::platform::{Commit, Platform, Row, Table, Tx};

/// Rows per page, the store's maximum.
const PAGE_ROWS: u32 = 500;
/// Pause after a failed call to the store.
const RETRY_INTERVAL: Millis = Millis(100);
/// Timeout for fencing a lane. A slow store needs half a second.
const FENCE_TIMEOUT: Millis = Millis(1500);

/// The rows in a lane's partition of the store.
struct LaneRows {
    jobs: Vec<Row>,
    progress: Vec<Row>,
}

/// Returns the job and the start of a page of its progress from the key of the row.
fn parse_page_key(key: &str) -> Option<(JobId, PageStart)> {
    let (id, start) = key.split_once('.')?;
    Some((id.parse().ok()?, start.parse().ok()?))
}

/// Joins the rows of a job's progress, which are sorted by key; returns the starts of its pages as well.
fn join_progress(job: &str, rows: &[Row]) -> (Option<Progress>, Vec<PageStart>) {
    let mut progress = None;
    let mut pages = Vec::new();
    let from = rows.partition_point(|row| row.key.as_str() < job);
    for row in rows[from..]
        .iter()
        .take_while(|row| row.key.starts_with(job))
    {
        let Some(content) = decode::<Progress>(&row.value) else {
            log::error!(key = row.key.as_str(), table = "progress"; "failed to decode row");
            continue;
        };
        if row.key == job {
            progress = Some(content);
        } else if let Some((_, start)) = parse_page_key(&row.key) {
            pages.push((start, content));
        }
    }
    // The first row is written after the pages that take over from it.
    pages.sort_unstable_by_key(|(start, _)| *start);
    let starts = pages.iter().map(|(start, _)| *start).collect();
    if let Some(progress) = &mut progress {
        for (_, page) in pages {
            progress.join(page);
        }
    }
    (progress, starts)
}

impl<P: Platform> Scheduler<P> {
    /// Fences all lanes and restores the jobs in them, retrying without limit. Returns
    /// false if another node has taken over in the meantime.
    pub(super) async fn recover(&self) -> bool {
        let started_at = self.clock.now();
        let lanes = join_all((0..LANES).map(|lane| self.load_lane(lane)));
        let ((), vm_rows, lanes) = join3(self.load_vms(), self.load_vm_list(), lanes).await;
        let now = self.clock.now();
        let restoring_since = Instant::now();
        self.restore_vm_list(&vm_rows, now);
        let (mut jobs, mut ended) = (0, 0);
        for (lane, rows) in (0..LANES).zip(lanes) {
            let Some(rows) = rows else {
                self.end("another node has taken over");
                return false;
            };
            jobs += rows.jobs.len();
            ended += self.restore_jobs(lane, rows, now);
        }
        self.note_pass(Pass::Restore, restoring_since);
        log::info!(
            cell = self.cell_no.0, term = self.term, jobs, ended, took_ms = now.since(started_at).0;
            "cell restored");
        true
    }

    /// Reads the list of VMs that may have runs. The takeover has fenced its lane.
    async fn load_vm_list(&self) -> Vec<Row> {
        self.read_table(VM_LIST_LANE, Table::Vms).await
    }

    fn restore_vm_list(&self, rows: &[Row], now: Millis) {
        let mut cell = self.cell.borrow_mut();
        let mut complete = self.term == 1 || !rows.is_empty();
        let mut listed = 0;
        let stop_list = rows.iter().find(|row| row.key == STOP_LIST_KEY);
        let stopping = stop_list.and_then(|row| decode::<Vec<CompactString>>(&row.value));
        for row in rows.iter().filter(|row| row.key != STOP_LIST_KEY) {
            if let Some(records) = decode_vm_list(&row.value) {
                listed += records.len();
                cell.restore_vm_list(&records, now);
            } else {
                log::error!(key = row.key.as_str(), table = "vms"; "failed to decode row");
                complete = false;
            }
        }
        if !complete {
            log::warn!(
                cell = self.cell_no.0;
                "list of VMs incomplete, waiting for all VMs of the registry");
            cell.await_all_vms();
        }
        let stopping_vms = stopping.as_ref().map_or(listed, Vec::len);
        match stopping {
            Some(ids) => cell.restore_stop_list(&ids),
            None if self.term > 1 => {
                log::warn!(cell = self.cell_no.0; "no list of VMs that may be stopping runs");
                cell.assume_stops_on_all();
            }
            None => {}
        }
        let unregistered = cell.vms().filter(|(_, vm)| !vm.listed).count();
        let unsettled = cell.vms().filter(|(_, vm)| vm.awaited && !vm.settled);
        let unsettled = unsettled.count();
        log::info!(
            cell = self.cell_no.0, listed, unregistered, unsettled, stopping = stopping_vms;
            "VMs that may have runs");
    }

    async fn load_lane(&self, lane: u8) -> Option<LaneRows> {
        let version = if lane == 0 {
            self.fence
        } else {
            self.fence_lane(lane).await?
        };
        self.lane_versions.borrow_mut()[usize::from(lane)] = version;
        // From here on, late writes of earlier leaders fail, so the rows read below are final.
        let progress = self.read_table(lane, Table::Progress);
        let (progress, jobs) = join(progress, self.read_table(lane, Table::Jobs)).await;
        Some(LaneRows { jobs, progress })
    }

    /// Fences earlier leaders off a lane. Returns the version of the leader row that this leader
    /// has written, or none if a later leader has written one.
    async fn fence_lane(&self, lane: u8) -> Option<u64> {
        let renewal = RenewalRow {
            term: self.term,
            ..RenewalRow::default()
        };
        let mut expected = 0;
        let part = self.cell_no.part(lane);
        let probe = CommitProbe {
            platform: &*self.platform,
            clock: self.clock,
            part: &part,
            key: LEADER_KEY,
            timeout: FENCE_TIMEOUT,
            failed: StdCell::new(false),
            losses: StdCell::new(0),
            slowness: 0,
        };
        let is_own = |row: &Row| decode::<LeaderRow>(&row.value).as_ref() == Some(&self.leader);
        loop {
            let tx = Tx {
                part: part.clone(),
                expect: vec![(Table::Role, LEADER_KEY.into(), expected)],
                puts: vec![
                    (Table::Role, LEADER_KEY.into(), encode(&self.leader)),
                    (Table::Role, RENEWAL_KEY.into(), encode(&renewal)),
                ],
                removes: Vec::new(),
            };
            let commit = tokio::select! {
                commit = self.platform.commit(&tx, FENCE_TIMEOUT) => commit,
                shown = probe.wait(is_own) => match shown {
                    Probe::Committed(version) => Commit::Done(version),
                    Probe::Lost | Probe::Revived => continue,
                },
            };
            match commit {
                Commit::Done(version) => return Some(version),
                Commit::Conflict(rows) => {
                    let row = rows.iter().find(|row| row.key == LEADER_KEY)?;
                    // A row that can't be decoded is overwritten.
                    let found = decode::<LeaderRow>(&row.value);
                    if found.as_ref() == Some(&self.leader) {
                        return Some(row.version);
                    }
                    if found.is_some_and(|found| found.term > self.term) {
                        return None;
                    }
                    expected = row.version;
                }
                Commit::NotDone | Commit::Refused | Commit::Unknown => {
                    self.note_store_failure();
                    log::warn!(cell = self.cell_no.0, lane; "lane not fenced yet, retrying");
                    tokio::time::sleep(RETRY_INTERVAL.duration()).await;
                }
            }
        }
    }

    /// Restores a lane's jobs, and releases their rows one by one; returns how many of them had ended.
    fn restore_jobs(&self, lane: u8, rows: LaneRows, now: Millis) -> usize {
        let mut cell = self.cell.borrow_mut();
        let mut ended = 0;
        let progress_rows = rows.progress;
        for row in rows.jobs {
            let record = decode::<JobRow>(&row.value);
            let (Ok(id), Some(record)) = (row.key.parse::<JobId>(), record) else {
                log::error!(key = row.key.as_str(), table = "jobs"; "failed to decode row");
                continue;
            };
            let record = match record {
                JobRow::Open(record) => *record,
                JobRow::OpenFor(mut record, tenant) => {
                    record.tenant = tenant;
                    *record
                }
                JobRow::Ended(end) => {
                    ended += 1;
                    cell.restore_ended_job(id, &end, "", lane, now);
                    continue;
                }
                JobRow::EndedFor(end, tenant) => {
                    ended += 1;
                    cell.restore_ended_job(id, &end, &tenant, lane, now);
                    continue;
                }
            };
            let (progress, pages) = join_progress(&row.key, &progress_rows);
            cell.restore_job(id, record, progress.as_ref(), lane, now);
            cell.restore_progress_pages(id, pages, lane);
        }
        for row in progress_rows {
            // Pages of jobs that had ended; those of open jobs have been restored.
            if let Some((id, start)) = parse_page_key(&row.key)
                && cell.state(id).is_none_or(JobState::is_final)
            {
                cell.restore_progress_pages(id, vec![start], lane);
            }
        }
        ended
    }

    /// Records that a call to the store has failed, so that fronts are told if it lasts.
    fn note_store_failure(&self) {
        if self.unavailable_since.get().is_none() {
            self.unavailable_since.set(Some(self.clock.now()));
        }
    }

    async fn read_table(&self, lane: u8, table: Table) -> Vec<Row> {
        let part = self.cell_no.part(lane);
        let mut rows: Vec<Row> = Vec::new();
        let mut start_key = CompactString::default();
        loop {
            match self
                .platform
                .scan(table, &part, &start_key, PAGE_ROWS)
                .await
            {
                Ok(page) => {
                    self.unavailable_since.set(None);
                    rows.extend(page.rows);
                    if !page.has_more {
                        return rows;
                    }
                    if let Some(last) = rows.last() {
                        // The smallest key greater than the last one.
                        start_key = compact_str::format_compact!("{}\0", last.key);
                    }
                }
                Err(err) => {
                    self.note_store_failure();
                    log::warn!(
                        cell = self.cell_no.0, fault:? = err;
                        "failed to read the cell's rows, retrying");
                    tokio::time::sleep(RETRY_INTERVAL.duration()).await;
                }
            }
        }
    }
}
