//! Batches of rows to write, each covering many events in one transaction.
//!
//! Ends are acknowledged to VMs, and jobs are shown as ended, only once the rows that record them
//! are durable. Until then a successor reads the ends back from the VMs. Batches are written
//! through lanes, with one batch in flight per lane. A job stays on the lane that first wrote it,
//! so concurrent batches may commit in any order.

use dotterel_kernel::Millis;

use super::refused_rows::Unit;
use super::{Cell, CellEvent};
use crate::job::{JobKey, JobState};
use crate::record::{EndRecord, JobRecord, JobRow, MAX_ROW_BYTES, PageStart, encode};
use crate::spec::JobId;
use crate::vm::VmKey;

/// Maximum rows per transaction. The store accepts 100 entries, and the writer adds some of its
/// own.
pub(super) const MAX_BATCH_ROWS: usize = 94;
/// Maximum bytes per transaction. The store accepts 1 MB of encoded text, which is a third larger
/// than the bytes.
const MAX_BATCH_BYTES: usize = 600_000;
/// The lane that writes the list of VMs.
pub const VM_LIST_LANE: u8 = 0;
/// How long progress is delayed to batch it. Losing progress that is not yet written costs no work,
/// because the VMs keep the ends.
pub(super) const PROGRESS_DELAY: Millis = Millis(200);

/// A change to a job's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum RowWrite {
    /// Writes the job's row when it is accepted or has ended.
    Job(JobId, Vec<u8>),
    /// Writes the job's progress, or the first row of it.
    Progress(JobId, Vec<u8>),
    /// Writes a further row of the job's progress.
    ProgressPage(JobId, PageStart, Vec<u8>),
    /// Deletes the job's progress, which is no longer needed.
    DropProgress(JobId),
    /// Deletes a further row of the progress of a job that has ended.
    DropProgressPage(JobId, PageStart),
    /// Deletes the row of a job whose retention has expired.
    DropJob(JobId),
    /// Writes a row of the list of VMs that may have runs.
    VmList(u8, Vec<u8>),
    /// Writes the list of VMs on which runs may be stopping.
    StopList(Vec<u8>),
}

impl RowWrite {
    const fn bytes(&self) -> usize {
        match self {
            Self::Job(_, bytes)
            | Self::Progress(_, bytes)
            | Self::ProgressPage(_, _, bytes)
            | Self::VmList(_, bytes)
            | Self::StopList(bytes) => bytes.len(),
            Self::DropProgress(_) | Self::DropProgressPage(..) | Self::DropJob(_) => 0,
        }
    }
}

/// The rows of one transaction, and the jobs whose state it makes durable.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Rows to write.
    pub writes: Vec<RowWrite>,
    /// Jobs whose acceptance becomes durable.
    pub accepted: Vec<JobId>,
    /// Jobs whose end becomes durable.
    pub ended: Vec<JobId>,
    /// The batch covers changes to its jobs up to this sequence number.
    seq: u64,
    lane: u8,
    jobs: Vec<JobKey>,
    /// Jobs of which the batch writes only some of the progress that has changed.
    partial_jobs: Vec<JobKey>,
    ended_jobs: Vec<JobKey>,
    /// VMs that the batch lists.
    listed_vms: Vec<VmKey>,
    /// VMs that the batch names as possibly stopping runs.
    stopping_vms: Option<Vec<VmKey>>,
}

impl Batch {
    pub(super) const fn lane(&self) -> u8 {
        self.lane
    }
}

impl Cell {
    /// Returns true if there are rows that only this lane may write.
    #[must_use]
    pub fn has_rows(&self, lane: u8, now: Millis) -> bool {
        let due = now.since(self.changed_at) >= PROGRESS_DELAY;
        let is_own = |key: &JobKey| {
            let job = self.jobs.get(*key);
            job.is_some_and(|job| job.lane == Some(lane))
                && self.refusals.is_due(Unit::Job(*key), now)
        };
        let has_lists = self.stops_changed && self.refusals.is_due(Unit::StopList, now)
            || self
                .changed_vm_rows
                .iter()
                .any(|row| self.refusals.is_due(Unit::VmList(*row), now));
        self.ending_jobs.iter().any(is_own)
            || (due && self.changed_jobs.iter().any(is_own))
            || self
                .expired_jobs
                .iter()
                .any(|(_, row_lane)| *row_lane == lane)
            || self
                .expired_pages
                .iter()
                .any(|page| self.may_drop(page, lane))
            || (lane == VM_LIST_LANE && has_lists)
    }

    /// Returns true if there are rows that any lane may write.
    #[must_use]
    pub fn has_new_rows(&self) -> bool {
        let is_unassigned =
            |key: &JobKey| self.jobs.get(*key).is_some_and(|job| job.lane.is_none());
        !self.new_jobs.is_empty() || self.ending_jobs.iter().any(is_unassigned)
    }

    /// Returns the next batch for a lane.
    pub fn take_batch(&mut self, lane: u8, now: Millis) -> Batch {
        let mut batch = Batch {
            seq: self.seq,
            lane,
            ..Batch::default()
        };
        self.choose_refused(lane, now);
        let mut budget = BatchBudget::new(self.refusals.row_limit(lane));
        if lane == VM_LIST_LANE {
            self.take_vm_lists(&mut batch, &mut budget, now);
        }
        // Progress goes first when it is due: it becomes due less often than the other rows, and
        // until it is written the ends stay on the VMs, which list at most 500.
        if now.since(self.changed_at) >= PROGRESS_DELAY {
            self.take_progress(lane, &mut batch, &mut budget);
        }
        self.take_ends(lane, &mut batch, &mut budget, now);
        self.take_new_jobs(&mut batch, &mut budget);
        self.take_expired(lane, &mut batch, &mut budget);
        self.end_choice();
        for key in batch.jobs.iter().chain(&batch.partial_jobs) {
            self.jobs[*key].lane = Some(lane);
        }
        batch
    }

    /// Takes the changed rows of the lists of VMs. VMs can't be used, and runs not stopped, before
    /// they are listed, so these rows go first.
    fn take_vm_lists(&mut self, batch: &mut Batch, budget: &mut BatchBudget, now: Millis) {
        if self.stops_changed && self.refusals.allows(Unit::StopList) {
            let (ids, keys) = self.take_stop_list(now);
            let list = encode(&ids);
            // A list that is longer than a row is left empty: a successor assumes stops on all VMs then.
            let list = if list.len() <= MAX_ROW_BYTES {
                list
            } else {
                Vec::new()
            };
            let write = RowWrite::StopList(list);
            // The first rows of a batch always fit.
            budget.try_add(std::slice::from_ref(&write));
            batch.stopping_vms = Some(keys);
            batch.writes.push(write);
        }
        let mut remaining = Vec::new();
        for row in std::mem::take(&mut self.changed_vm_rows) {
            let (records, mut keys) = self.vm_list_content(row);
            let write = RowWrite::VmList(row, encode(&records));
            if self.refusals.allows(Unit::VmList(row))
                && budget.try_add(std::slice::from_ref(&write))
            {
                batch.listed_vms.append(&mut keys);
                batch.writes.push(write);
            } else {
                remaining.push(row);
            }
        }
        self.changed_vm_rows = remaining;
    }

    fn take_expired(&mut self, lane: u8, batch: &mut Batch, budget: &mut BatchBudget) {
        let mut remaining = Vec::new();
        for (id, row_lane) in std::mem::take(&mut self.expired_jobs) {
            if row_lane == lane
                && !self.refusals.is_choosing()
                && budget.try_add(&[RowWrite::DropJob(id)])
            {
                batch.writes.push(RowWrite::DropJob(id));
            } else {
                remaining.push((id, row_lane));
            }
        }
        self.expired_jobs = remaining;
        let mut remaining = Vec::new();
        for page in std::mem::take(&mut self.expired_pages) {
            let write = RowWrite::DropProgressPage(page.job, page.start);
            if self.may_drop(&page, lane)
                && !self.refusals.is_choosing()
                && budget.try_add(std::slice::from_ref(&write))
            {
                batch.writes.push(write);
            } else {
                remaining.push(page);
            }
        }
        self.expired_pages = remaining;
    }

    /// Returns true if a lane may delete a page of an ended job. Until the end is durable, a successor needs it.
    fn may_drop(&self, page: &ExpiredPage, lane: u8) -> bool {
        let job = self.job_key(page.job).map(|key| &self.jobs[key]);
        page.lane == lane && job.is_none_or(|job| job.end_durable)
    }

    fn take_progress(&mut self, lane: u8, batch: &mut Batch, budget: &mut BatchBudget) {
        /// Rows of a batch available to progress; the rest is for callers waiting for a reply.
        const PROGRESS_ROWS: usize = 40;
        /// The same while more rows wait than fit into a batch.
        const BACKLOG_PROGRESS_ROWS: usize = 12;
        /// Bytes of a batch available to progress, which the last row may exceed.
        const MAX_PROGRESS_BYTES: usize = 320_000;
        let waiting = self.new_jobs.len() + self.ending_jobs.len() * 2;
        let max_rows = if waiting > MAX_BATCH_ROWS - PROGRESS_ROWS {
            BACKLOG_PROGRESS_ROWS
        } else {
            PROGRESS_ROWS
        };
        let mut bytes = 0;
        let mut remaining = Vec::new();
        let mut changed = std::mem::take(&mut self.changed_jobs);
        // Jobs whose progress takes several batches take turns.
        let next = changed.partition_point(|key| *key <= self.partly_written);
        changed.rotate_left(next);
        for key in changed {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let is_full = batch.writes.len() >= max_rows || bytes >= MAX_PROGRESS_BYTES;
            let is_allowed = self.refusals.allows(Unit::Job(key));
            if !job.may_use_lane(lane) || is_full || !is_allowed {
                remaining.push(key);
                continue;
            }
            let room = ProgressRoom {
                rows: max_rows - batch.writes.len(),
                bytes: MAX_PROGRESS_BYTES - bytes,
            };
            let taken = self.take_job_progress(key, room, batch, budget);
            bytes += taken.bytes;
            if taken.is_all {
                batch.jobs.push(key);
            } else {
                remaining.push(key);
                if taken.bytes > 0 {
                    self.partly_written = key;
                    batch.partial_jobs.push(key);
                }
            }
        }
        remaining.sort_unstable();
        self.changed_jobs = remaining;
    }

    /// Takes the changed rows of a job's progress as far as there is room.
    fn take_job_progress(
        &mut self,
        key: JobKey,
        room: ProgressRoom,
        batch: &mut Batch,
        budget: &mut BatchBudget,
    ) -> TakenProgress {
        let job = &mut self.jobs[key];
        let (rows, is_shortened) = job.changed_progress();
        if is_shortened && !job.has_long_progress {
            job.has_long_progress = true;
            self.events
                .push(CellEvent::ProgressShortened { job: job.id });
        }
        let mut taken = TakenProgress {
            bytes: 0,
            is_all: true,
        };
        for (count, row) in rows.into_iter().enumerate() {
            let length = row.bytes.len();
            let has_room = count < room.rows && taken.bytes < room.bytes;
            if !has_room || !budget.has_room(length) {
                taken.is_all = false;
                break;
            }
            job.note_written(&row);
            let write = match row.page {
                Some(start) => RowWrite::ProgressPage(job.id, start, row.bytes),
                None => RowWrite::Progress(job.id, row.bytes),
            };
            budget.try_add(std::slice::from_ref(&write));
            batch.writes.push(write);
            taken.bytes += length;
        }
        taken
    }

    fn take_ends(&mut self, lane: u8, batch: &mut Batch, budget: &mut BatchBudget, now: Millis) {
        let mut remaining = Vec::new();
        for key in std::mem::take(&mut self.ending_jobs) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if !job.may_use_lane(lane) || !self.refusals.allows(Unit::Job(key)) {
                remaining.push(key);
                continue;
            }
            let end = EndRecord {
                state: job.end.unwrap_or(JobState::Failed),
                ended_at: now,
                queue: job.policy.queue.clone(),
            };
            let mut writes = vec![RowWrite::Job(
                job.id,
                encode(&JobRow::ended(end, self.tenant_name(job.tenant))),
            )];
            if job.has_progress_row {
                writes.push(RowWrite::DropProgress(job.id));
            }
            if !budget.try_add(&writes) {
                remaining.push(key);
                continue;
            }
            // There may be more pages than a transaction takes, and nobody reads them once the job has ended.
            let pages = std::mem::take(&mut self.jobs[key].pages);
            let job = &self.jobs[key];
            let pages = pages.into_iter().map(|page| ExpiredPage {
                job: job.id,
                start: page.start,
                lane,
            });
            self.expired_pages.extend(pages);
            batch.ended.push(job.id);
            if !job.stored {
                batch.accepted.push(job.id);
                self.new_jobs.retain(|new_job| *new_job != key);
            }
            batch.jobs.push(key);
            batch.ended_jobs.push(key);
            batch.writes.append(&mut writes);
        }
        self.ending_jobs = remaining;
    }

    fn take_new_jobs(&mut self, batch: &mut Batch, budget: &mut BatchBudget) {
        let mut remaining = Vec::new();
        for key in std::mem::take(&mut self.new_jobs) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let record = JobRecord {
                spec: (*job.spec).clone(),
                policy: job.policy.clone(),
                arrived: job.arrived,
                term: job.term,
                tenant: self.tenant_name(job.tenant).into(),
            };
            let write = RowWrite::Job(job.id, encode(&JobRow::open(record)));
            if !self.refusals.allows(Unit::Job(key))
                || !budget.try_add(std::slice::from_ref(&write))
            {
                remaining.push(key);
                continue;
            }
            batch.accepted.push(job.id);
            batch.jobs.push(key);
            batch.writes.push(write);
        }
        self.new_jobs = remaining;
    }

    /// Requeues the rows of a batch that is known not to have been written.
    pub fn batch_failed(&mut self, batch: &Batch, now: Millis) {
        for key in batch.jobs.iter().chain(&batch.partial_jobs) {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.forget_written();
            }
        }
        for key in &batch.jobs {
            let Some(job) = self.jobs.get_mut(*key) else {
                continue;
            };
            let (stored, ended) = (job.stored, job.end.is_some());
            if !stored {
                job.lane = None;
                self.new_jobs.push(*key);
            }
            if ended {
                self.ending_jobs.push(*key);
            } else if stored {
                self.mark_changed(*key, now);
            }
        }
        for write in &batch.writes {
            match write {
                RowWrite::DropJob(id) => self.expired_jobs.push((*id, batch.lane)),
                RowWrite::DropProgressPage(job, start) => self.expired_pages.push(ExpiredPage {
                    job: *job,
                    start: *start,
                    lane: batch.lane,
                }),
                RowWrite::VmList(row, _) => self.mark_vm_list_row(*row),
                RowWrite::StopList(_) => self.stops_changed = true,
                _ => {}
            }
        }
    }

    /// Marks a batch as durable.
    pub fn batch_committed(&mut self, batch: &Batch) {
        self.note_accepted(batch);
        for key in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(*key) {
                if !std::mem::replace(&mut job.stored, true) {
                    self.history.add_accepted(job.tenant);
                }
                job.durable_seq = batch.seq;
            }
        }
        for key in &batch.ended_jobs {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.end_durable = true;
                // The rest is never queried again, and the jobs that end within a day are many.
                job.release();
            }
        }
        if let Some(keys) = &batch.stopping_vms {
            self.stop_list_committed(keys);
        }
        for key in &batch.listed_vms {
            if let Some(vm) = self.vms.get_mut(*key) {
                vm.recorded = true;
            }
        }
        self.issue_held_starts();
        for vm in self.vms.values_mut() {
            vm.update_durable_end(&self.jobs);
        }
        self.plan_needed = true;
    }
}

/// Room for the progress of a job in a batch.
#[derive(Clone, Copy, Debug)]
struct ProgressRoom {
    rows: usize,
    /// The last row may exceed it.
    bytes: usize,
}

/// What a batch has taken of the progress of a job.
#[derive(Clone, Copy, Debug)]
struct TakenProgress {
    bytes: usize,
    /// No row that has changed is left.
    is_all: bool,
}

/// A row of the progress of a job that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpiredPage {
    pub(super) job: JobId,
    pub(super) start: PageStart,
    /// Lane that wrote it.
    pub(super) lane: u8,
}

#[derive(Default)]
struct BatchBudget {
    max_rows: usize,
    rows: usize,
    bytes: usize,
}

impl BatchBudget {
    fn new(max_rows: usize) -> Self {
        Self {
            max_rows: max_rows.min(MAX_BATCH_ROWS),
            ..Self::default()
        }
    }

    const fn has_room(&self, bytes: usize) -> bool {
        self.rows < self.max_rows && (self.bytes + bytes <= MAX_BATCH_BYTES || self.rows == 0)
    }

    fn try_add(&mut self, writes: &[RowWrite]) -> bool {
        let rows = self.rows + writes.len();
        let bytes = self.bytes + writes.iter().map(RowWrite::bytes).sum::<usize>();
        // The first rows always fit.
        let fits = self.rows == 0 || (rows <= self.max_rows && bytes <= MAX_BATCH_BYTES);
        if fits {
            self.rows = rows;
            self.bytes = bytes;
        }
        fits
    }
}
