//! Restoring jobs that earlier terms have stored.

use dotterel_kernel::Millis;

use super::Cell;
use super::batch::ExpiredPage;
use crate::job::Job;
use crate::record::{EndRecord, JobRecord, PageStart, Progress};
use crate::spec::JobId;

impl Cell {
    /// Restores a job that an earlier term stored, from the rows of a lane.
    pub fn restore_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        progress: Option<&Progress>,
        lane: u8,
        now: Millis,
    ) {
        if self.job_key(id).is_some() {
            return;
        }
        let tenant = self.tenants.find_or_restore(&record.tenant);
        let mut job = Job::new(id, record, now);
        job.tenant = tenant;
        job.lane = Some(lane);
        job.submitted_at = job.arrived.min(now);
        job.stored = true;
        job.restored = true;
        job.run_floor = self.run_floor();
        if let Some(progress) = progress {
            job.has_progress_row = true;
            job.restore(progress, now);
        }
        let rounds: Vec<u32> = job.rounds.iter().map(|round| round.number).collect();
        let key = self.insert_job(job);
        for round in rounds {
            self.note_earlier_term(key, round, now);
            self.enqueue_open_steps(key, round, now);
        }
        self.start_due_rounds(key, now);
        self.restore_losses(key, now);
    }

    /// Records the rows of a job's progress beyond the first one that an earlier term has written. They are
    /// deleted if the job has ended.
    pub fn restore_progress_pages(&mut self, id: JobId, starts: Vec<PageStart>, lane: u8) {
        let job = self.job_key(id).map(|key| &mut self.jobs[key]);
        match job.filter(|job| job.end.is_none()) {
            Some(job) => job.restore_pages(starts),
            None => {
                let pages = starts.into_iter().map(|start| ExpiredPage {
                    job: id,
                    start,
                    lane,
                });
                self.expired_pages.extend(pages);
            }
        }
    }

    /// Restores a job of `tenant` that ended in an earlier term, from the rows of a lane. `tenant` is empty
    /// for a job without one.
    pub fn restore_ended_job(
        &mut self,
        id: JobId,
        end: &EndRecord,
        tenant: &str,
        lane: u8,
        now: Millis,
    ) {
        if self.job_key(id).is_some() {
            return;
        }
        let mut job = Job::new(id, JobRecord::default(), now);
        job.tenant = self.tenants.find_or_add(tenant);
        job.lane = Some(lane);
        job.policy.queue = end.queue.clone();
        job.stored = true;
        job.end = Some(end.state);
        job.end_durable = true;
        job.ended_at = end.ended_at.min(now);
        self.insert_job(job);
    }
}
