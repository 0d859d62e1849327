//! Rows to write, many events to a transaction.
//!
//! Ends are acknowledged to VMs, and jobs shown as ended, only after the rows that say so are
//! durable. Until then a successor reads the ends back from the VMs. Batches go through lanes, one
//! at a time in each. A job keeps to the lane that first wrote it, so batches under way at once may
//! be done in any order.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{JobKey, JobState};
use crate::record::{EndRecord, JobRecord, JobRow, encode};
use crate::spec::JobId;

/// Rows of one transaction at most; the store takes 100 entries, some are the writer's own.
const MAX_ENTRIES: usize = 94;
/// Bytes of one transaction at most; the store takes 1 MB of encoded text, a third more.
const MAX_BYTES: usize = 600_000;
/// Progress waits so long for company, since a lost wait costs no work: the ends stay on the VMs.
const PROGRESS_DELAY: Millis = Millis(200);

/// A change of a job's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum RowWrite {
    /// The job is accepted, or has ended.
    Job(JobId, Vec<u8>),
    /// It has progressed.
    Progress(JobId, Vec<u8>),
    /// Its progress is of no use any more.
    DropProgress(JobId),
    /// Its end is forgotten.
    DropJob(JobId),
}

impl RowWrite {
    const fn bytes(&self) -> usize {
        match self {
            Self::Job(_, bytes) | Self::Progress(_, bytes) => bytes.len(),
            Self::DropProgress(_) | Self::DropJob(_) => 0,
        }
    }
}

/// The rows of a transaction, and what holds once it is durable.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The rows.
    pub writes: Vec<RowWrite>,
    /// Jobs whose acceptance it makes durable.
    pub accepted: Vec<JobId>,
    /// Jobs whose end it makes durable.
    pub ended: Vec<JobId>,
    /// Changes up to this one are in it, as far as its jobs are concerned.
    seq: u64,
    lane: u8,
    jobs: Vec<JobKey>,
    closed: Vec<JobKey>,
}

impl Cell {
    /// Returns true when a lane has rows to write that no other lane may write.
    #[must_use]
    pub fn has_rows(&self, lane: u8, now: Millis) -> bool {
        let due = now.since(self.changed_at) >= PROGRESS_DELAY;
        let own = |key: &JobKey| {
            self.jobs
                .get(*key)
                .is_some_and(|job| job.lane == Some(lane))
        };
        self.closing.iter().any(own)
            || (due && self.changed.iter().any(own))
            || self.dropping.iter().any(|(_, at)| *at == lane)
    }

    /// Returns true when there are rows that any lane may write.
    #[must_use]
    pub fn has_new_rows(&self) -> bool {
        let free = |key: &JobKey| self.jobs.get(*key).is_some_and(|job| job.lane.is_none());
        !self.fresh.is_empty() || self.closing.iter().any(free)
    }

    /// Takes the rows that a lane writes next.
    pub fn take_batch(&mut self, lane: u8, now: Millis) -> Batch {
        let mut batch = Batch {
            seq: self.seq,
            lane,
            ..Batch::default()
        };
        let mut room = Room::default();
        // Progress goes first when it is due, since it waits least often and ends stay on VMs,
        // which list no more than 500 of them, until it is written.
        if now.since(self.changed_at) >= PROGRESS_DELAY {
            self.take_progress(lane, &mut batch, &mut room);
        }
        self.take_ends(lane, &mut batch, &mut room, now);
        self.take_fresh(&mut batch, &mut room);
        self.take_forgotten(lane, &mut batch, &mut room);
        for key in &batch.jobs {
            self.jobs[*key].lane = Some(lane);
        }
        batch
    }

    fn take_forgotten(&mut self, lane: u8, batch: &mut Batch, room: &mut Room) {
        let mut left = Vec::new();
        for (id, at) in std::mem::take(&mut self.dropping) {
            if at == lane && room.takes(&[RowWrite::DropJob(id)]) {
                batch.writes.push(RowWrite::DropJob(id));
            } else {
                left.push((id, at));
            }
        }
        self.dropping = left;
    }

    fn take_progress(&mut self, lane: u8, batch: &mut Batch, room: &mut Room) {
        /// Rows of a batch that progress may take; the rest is for those who wait.
        const SHARE: usize = 40;
        /// The same while more rows wait than a batch holds.
        const SHARE_FULL: usize = 12;
        let waiting = self.fresh.len() + self.closing.len() * 2;
        let share = if waiting > MAX_ENTRIES - SHARE {
            SHARE_FULL
        } else {
            SHARE
        };
        let mut left = Vec::new();
        for key in std::mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if !job.takes_lane(lane) || batch.writes.len() >= share {
                left.push(key);
                continue;
            }
            let write = RowWrite::Progress(job.id, encode(&job.progress()));
            if !room.takes(std::slice::from_ref(&write)) {
                left.push(key);
                continue;
            }
            job.progressed = true;
            batch.jobs.push(key);
            batch.writes.push(write);
        }
        self.changed = left;
    }

    fn take_ends(&mut self, lane: u8, batch: &mut Batch, room: &mut Room, now: Millis) {
        let mut left = Vec::new();
        for key in std::mem::take(&mut self.closing) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if !job.takes_lane(lane) {
                left.push(key);
                continue;
            }
            let end = EndRecord {
                state: job.end.unwrap_or(JobState::Failed),
                at: now,
                queue: job.policy.queue.clone(),
            };
            let mut writes = vec![RowWrite::Job(job.id, encode(&JobRow::Ended(end)))];
            if job.progressed {
                writes.push(RowWrite::DropProgress(job.id));
            }
            if !room.takes(&writes) {
                left.push(key);
                continue;
            }
            batch.ended.push(job.id);
            if !job.stored {
                batch.accepted.push(job.id);
                self.fresh.retain(|fresh| *fresh != key);
            }
            batch.jobs.push(key);
            batch.closed.push(key);
            batch.writes.append(&mut writes);
        }
        self.closing = left;
    }

    fn take_fresh(&mut self, batch: &mut Batch, room: &mut Room) {
        let mut left = Vec::new();
        for key in std::mem::take(&mut self.fresh) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let record = JobRecord {
                spec: (*job.spec).clone(),
                policy: job.policy.clone(),
                arrived: job.arrived,
                term: job.term,
            };
            let write = RowWrite::Job(job.id, encode(&JobRow::Open(Box::new(record))));
            if !room.takes(std::slice::from_ref(&write)) {
                left.push(key);
                continue;
            }
            batch.accepted.push(job.id);
            batch.jobs.push(key);
            batch.writes.push(write);
        }
        self.fresh = left;
    }

    /// Takes back a batch that surely was not written.
    pub fn batch_failed(&mut self, batch: &Batch, now: Millis) {
        for key in &batch.jobs {
            let Some(job) = self.jobs.get_mut(*key) else {
                continue;
            };
            let (stored, ended) = (job.stored, job.end.is_some());
            if !stored {
                job.lane = None;
                self.fresh.push(*key);
            }
            if ended {
                self.closing.push(*key);
            } else if stored {
                self.touch(*key, now);
            }
        }
        for write in &batch.writes {
            if let RowWrite::DropJob(id) = write {
                self.dropping.push((*id, batch.lane));
            }
        }
    }

    /// Takes in that a batch is durable.
    pub fn batch_committed(&mut self, batch: &Batch) {
        for key in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.stored = true;
                job.durable = batch.seq;
            }
        }
        for key in &batch.closed {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.shown = true;
                // The rest is never asked for again, and a day's ended jobs are many.
                job.rounds = Vec::new();
                job.spec = std::sync::Arc::default();
            }
        }
        for vm in self.vms.values_mut() {
            vm.settle_acks(&self.jobs);
        }
        self.dirty = true;
    }
}

#[derive(Default)]
struct Room {
    entries: usize,
    bytes: usize,
}

impl Room {
    fn takes(&mut self, writes: &[RowWrite]) -> bool {
        let entries = self.entries + writes.len();
        let bytes = self.bytes + writes.iter().map(RowWrite::bytes).sum::<usize>();
        let fits = entries <= MAX_ENTRIES && (bytes <= MAX_BYTES || self.entries == 0);
        if fits {
            self.entries = entries;
            self.bytes = bytes;
        }
        fits
    }
}
