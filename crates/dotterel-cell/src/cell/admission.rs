//! Jobs that come in, and cancellations.

use dotterel_kernel::Millis;

use super::{Cancelled, Cell, Refusal, Submitted};
use crate::job::{Job, JobState};
use crate::record::JobRecord;
use crate::spec::JobId;

/// Jobs that a cell keeps open at most; bounds memory, since each takes a few kilobytes.
const MAX_OPEN_JOBS: usize = 20_000;
/// When callers come back to a cell that is full.
const FULL_RETRY_AFTER: Millis = Millis::secs(2);

impl Cell {
    /// Takes in a job.
    pub fn submit(&mut self, id: JobId, mut record: JobRecord, now: Millis) -> Submitted {
        if let Some(key) = self.job_key(id) {
            return if self.jobs[key].stored {
                Submitted::Known
            } else {
                Submitted::Pending
            };
        }
        // Ended jobs are kept for a while, so counting the open ones is seldom needed.
        if self.jobs.len() >= MAX_OPEN_JOBS && self.open_jobs() >= MAX_OPEN_JOBS {
            return Submitted::Refused(Refusal {
                retry_after: FULL_RETRY_AFTER,
            });
        }
        record.term = self.term;
        let key = self.insert_job(Job::new(id, record, now));
        self.new_jobs.push(key);
        self.start_due_rounds(key, now);
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

    /// Takes back the jobs of which no row is stored or on its way, so that their callers can be
    /// refused: while the store is away nobody knows when they could be accepted.
    pub fn reject_new_jobs(&mut self) -> Vec<JobId> {
        let mut refused = Vec::new();
        for key in std::mem::take(&mut self.new_jobs) {
            if self.jobs.get(key).is_some_and(|job| job.end.is_some()) {
                // Cancelled meanwhile, which has to be kept.
                self.new_jobs.push(key);
            } else if let Some(job) = self.remove_job(key) {
                refused.push(job.id);
            }
        }
        self.prune_open_steps();
        refused
    }

    fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.end.is_none()).count()
    }
}
