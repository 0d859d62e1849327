//! Submission and cancellation of jobs.

use dotterel_kernel::Millis;

use super::{Cancelled, Cell, Refusal, RefusalGround, RefusalKind, Submitted};
use crate::job::{Footprint, Job, JobState};
use crate::record::JobRecord;
use crate::spec::JobId;

/// Maximum number of open jobs in a cell.
const MAX_OPEN_JOBS: usize = 20_000;
/// Maximum estimated bytes of all jobs in memory: what the smallest machine holds beside the VMs
/// (docs/design/request-limits.md). Larger machines hold no more, as the next leader may be a smaller one. The
/// largest job allowed takes less.
const MAX_HELD_BYTES: usize = 20 << 20;
/// Jobs that grow or end meanwhile are counted after this time at the latest.
const COUNT_INTERVAL: Millis = Millis(250);
/// Retry delay given to callers when the cell is full.
const FULL_RETRY_AFTER: Millis = Millis::secs(2);

/// Estimated bytes of all jobs in memory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldBytes {
    bytes: usize,
    counted_at: Millis,
}

impl Cell {
    /// Submits a job.
    pub fn submit(&mut self, id: JobId, mut record: JobRecord, now: Millis) -> Submitted {
        if let Some(key) = self.job_key(id) {
            return if self.jobs[key].stored {
                Submitted::Known
            } else {
                Submitted::Pending
            };
        }
        let tenant = self.tenants.find_or_add(&record.tenant);
        if let Some(over) = self.over_cap(tenant, &record.spec) {
            self.history.add_refused(tenant, RefusalKind::Cap);
            return Submitted::Never(over);
        }
        let refusal = self
            .refuse_full(&record, now)
            .or_else(|| self.refuse_guarded(&record, now))
            .or_else(|| self.refuse_overload(id, &record, tenant, now));
        if let Some(refusal) = refusal {
            self.history.add_refused(tenant, refusal.ground.kind());
            return Submitted::Refused(refusal);
        }
        record.term = self.term;
        let mut job = Job::new(id, record, now);
        job.tenant = tenant;
        job.excess = self.is_excess(tenant, now);
        if !job.excess {
            self.count_submitted(tenant, now);
        }
        let key = self.insert_job(job);
        self.new_jobs.push(key);
        self.add_held_bytes(self.jobs[key].held_bytes());
        self.start_due_rounds(key, now);
        self.count_accepted(key, now);
        Submitted::New
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Millis) -> Cancelled {
        let Some(key) = self.job_key(id) else {
            return Cancelled::Unknown;
        };
        let job = &self.jobs[key];
        if job.end_durable {
            return Cancelled::Ended;
        }
        if job.end.is_none() {
            self.end_job(key, JobState::Cancelled, now);
        }
        Cancelled::Pending
    }

    /// Removes the jobs that have no row stored or in flight, and returns their ids so that their
    /// callers can be refused. While the store is unavailable, nobody knows when these jobs could
    /// be accepted.
    pub fn reject_new_jobs(&mut self) -> Vec<JobId> {
        let mut refused = Vec::new();
        for key in std::mem::take(&mut self.new_jobs) {
            if self.jobs.get(key).is_some_and(|job| job.end.is_some()) {
                // Cancelled in the meantime; the cancellation has to be stored.
                self.new_jobs.push(key);
            } else if let Some(job) = self.remove_job(key) {
                self.history.add_refused(job.tenant, RefusalKind::Store);
                refused.push(job.id);
            }
        }
        self.prune_open_steps();
        refused
    }

    /// Refuses a job if the cell holds as many open jobs as it may, or if their memory would exceed its limit.
    fn refuse_full(&mut self, record: &JobRecord, now: Millis) -> Option<Refusal> {
        let held_bytes = self.held_bytes(now) + Footprint::of(&record.spec).bytes(1);
        // Ended jobs are retained for a while, so this avoids counting the open ones on each call.
        if self.jobs.len() < MAX_OPEN_JOBS && held_bytes <= MAX_HELD_BYTES {
            return None;
        }
        let open = self.open_jobs();
        let is_full = open >= MAX_OPEN_JOBS || held_bytes > MAX_HELD_BYTES;
        is_full.then_some(Refusal {
            retry_after: FULL_RETRY_AFTER,
            ground: RefusalGround::OpenJobs { open, held_bytes },
        })
    }

    /// Returns true if the jobs take as much memory as they may.
    pub(super) fn is_memory_full(&mut self, now: Millis) -> bool {
        self.held_bytes(now) >= MAX_HELD_BYTES
    }

    /// Adds bytes of jobs to those that were counted last.
    pub(super) const fn add_held_bytes(&mut self, bytes: usize) {
        self.job_bytes.bytes += bytes;
    }

    /// Returns the estimated bytes of all jobs, counted regularly. What is added meanwhile is included.
    fn held_bytes(&mut self, now: Millis) -> usize {
        if now.since(self.job_bytes.counted_at) >= COUNT_INTERVAL {
            let bytes = self.jobs.values().map(Job::held_bytes).sum();
            self.job_bytes = HeldBytes {
                bytes,
                counted_at: now,
            };
        }
        self.job_bytes.bytes
    }

    fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.end.is_none()).count()
    }
}
