//! Rows to write, many events to a transaction.
//!
//! Ends are acknowledged to VMs, and jobs shown as ended, only after the rows that say so are
//! durable. Until then a successor reads the ends back from the VMs.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::JobKey;
use crate::record::{EndRecord, JobRecord, encode};
use crate::spec::JobId;
use crate::vm::VmKey;

/// Rows of one transaction at most; the store takes 100 entries, one is the writer's own.
const MAX_ENTRIES: usize = 96;
/// Bytes of one transaction at most; the store takes 1 MB of encoded text, a third more.
const MAX_BYTES: usize = 600_000;
/// Progress waits so long for company, since a lost wait costs no work: the ends stay on the VMs.
const PROGRESS_DELAY: Millis = Millis(200);

/// A change of a job's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum RowWrite {
    /// The job is accepted.
    Job(JobId, Vec<u8>),
    /// It has progressed.
    Progress(JobId, Vec<u8>),
    /// It has ended; its other rows go.
    End(JobId, Vec<u8>),
    /// Its end is forgotten.
    Forget(JobId),
}

impl RowWrite {
    const fn entries(&self) -> usize {
        match self {
            Self::End(..) => 3,
            _ => 1,
        }
    }

    const fn bytes(&self) -> usize {
        match self {
            Self::Job(_, bytes) | Self::Progress(_, bytes) | Self::End(_, bytes) => bytes.len(),
            Self::Forget(_) => 0,
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
    keys: Vec<JobKey>,
    closed: Vec<JobKey>,
    taken: Vec<(VmKey, u64)>,
}

impl Cell {
    /// Returns true when callers wait for rows, or progress has waited long enough.
    #[must_use]
    pub fn wants_write(&self, now: Millis) -> bool {
        let urgent = !self.fresh.is_empty() || !self.closing.is_empty();
        urgent || (!self.changed.is_empty() && now.since(self.changed_at) >= PROGRESS_DELAY)
    }

    /// Takes the rows to write next; [`Self::written`] follows before the next call.
    pub fn take_batch(&mut self, now: Millis) -> Batch {
        self.writing = true;
        let mut batch = Batch::default();
        let mut size = Room::default();
        while let Some(key) = self.closing.first().copied() {
            let job = &self.jobs[key];
            let end = EndRecord {
                state: job.end.unwrap_or(crate::job::JobState::Failed),
                at: now,
                queue: job.policy.queue.clone(),
            };
            let write = RowWrite::End(job.id, encode(&end));
            if !size.takes(&write) {
                break;
            }
            batch.ended.push(job.id);
            if !job.stored {
                batch.accepted.push(job.id);
                self.fresh.retain(|fresh| *fresh != key);
            }
            batch.closed.push(key);
            batch.writes.push(write);
            self.closing.remove(0);
        }
        while let Some(key) = self.fresh.first().copied() {
            let job = &self.jobs[key];
            let record = JobRecord {
                spec: (*job.spec).clone(),
                policy: job.policy.clone(),
                arrived: job.arrived,
                term: job.term,
            };
            let write = RowWrite::Job(job.id, encode(&record));
            if !size.takes(&write) {
                break;
            }
            batch.accepted.push(job.id);
            batch.keys.push(key);
            batch.writes.push(write);
            self.fresh.remove(0);
        }
        let due = now.since(self.changed_at) >= PROGRESS_DELAY;
        while due && let Some(key) = self.changed.last().copied() {
            let job = &self.jobs[key];
            let write = RowWrite::Progress(job.id, encode(&job.progress()));
            if !size.takes(&write) {
                break;
            }
            batch.writes.push(write);
            self.changed.pop();
        }
        while let Some(id) = self.dropping.last().copied() {
            let write = RowWrite::Forget(id);
            if !size.takes(&write) {
                break;
            }
            batch.writes.push(write);
            self.dropping.pop();
        }
        if self.changed.is_empty() && self.closing.is_empty() {
            batch.taken = self.taken();
        }
        batch
    }

    /// Takes in that a batch is durable.
    pub fn written(&mut self, batch: &Batch) {
        self.writing = false;
        for key in &batch.keys {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.stored = true;
            }
        }
        for key in &batch.closed {
            if let Some(job) = self.jobs.get_mut(*key) {
                job.stored = true;
                job.shown = true;
                // The rest is never asked for again, and a day's ended jobs are many.
                job.rounds = Vec::new();
                job.spec = std::sync::Arc::default();
            }
        }
        for (key, number) in &batch.taken {
            if let Some(vm) = self.vms.get_mut(*key) {
                vm.durable = vm.durable.max(*number);
            }
        }
        self.dirty = true;
    }

    /// Acknowledges ends that need no row, when no row waits or is on its way.
    pub fn settle_idle(&mut self) {
        if !self.writing && self.changed.is_empty() && self.closing.is_empty() {
            for vm in self.vms.values_mut() {
                vm.durable = vm.taken;
            }
        }
    }

    fn taken(&self) -> Vec<(VmKey, u64)> {
        let moved = self.vms.iter().filter(|(_, vm)| vm.taken > vm.durable);
        moved.map(|(key, vm)| (key, vm.taken)).collect()
    }
}

#[derive(Default)]
struct Room {
    entries: usize,
    bytes: usize,
}

impl Room {
    fn takes(&mut self, write: &RowWrite) -> bool {
        let entries = self.entries + write.entries();
        let bytes = self.bytes + write.bytes();
        let fits = entries <= MAX_ENTRIES && (bytes <= MAX_BYTES || self.entries == 0);
        if fits {
            self.entries = entries;
            self.bytes = bytes;
        }
        fits
    }
}
