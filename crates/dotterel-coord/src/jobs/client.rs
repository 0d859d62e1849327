//! Submitting, cancelling and reading jobs, from any node.

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{JobId, Millis};
use dotterel_platform::{CallError, Commit, Version, Write};

use super::Jobs;
use super::record::{
    Progress, decode, encode, end_key, new_key, run_key, shard_of, spec_key, stop_key,
};
use super::spec::{JobSpec, SpecError};
use crate::lease::with_timeout;

/// The pause between two tries of a write.
const RETRY: Millis = Millis(100);

/// The most jobs cancelled by one transaction.
const CANCEL_BATCH: usize = 128;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is durable and is going to be run.
    Accepted(JobId),
    /// The job is not accepted and never will be.
    Refused(SpecError),
    /// The table could not be reached in time; the job is not accepted.
    Unavailable,
    /// The job may have been accepted under this identifier.
    Unknown(JobId),
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// All cancellations are durable; the jobs' owners are going to stop them.
    Durable,
    /// Some may not be; cancelling again is harmless.
    Unavailable,
}

impl Jobs {
    /// Submits a job.
    pub async fn submit(&self, spec: &JobSpec, deadline: Millis) -> SubmitOutcome {
        if let Err(fault) = spec.check() {
            return SubmitOutcome::Refused(fault);
        }
        let job = JobId::mint();
        let shard = shard_of(job, self.config.shards);
        let writes = [
            insert(spec_key(shard, job), encode(spec)),
            insert(new_key(shard, job), Bytes::new()),
        ];
        let mut doubt = false;
        loop {
            match with_timeout(self.config.call_timeout, self.table.commit(&writes)).await {
                Ok(Commit::Applied(_)) => return SubmitOutcome::Accepted(job),
                // The rows of a job that was never written before can only be this one's.
                Ok(Commit::Conflict { .. }) => return SubmitOutcome::Accepted(job),
                Err(CallError::Unknown(_)) => doubt = true,
                Err(_) => {}
            }
            if self.clock.now() + RETRY > deadline {
                break;
            }
            tokio::time::sleep(RETRY.duration()).await;
        }
        match doubt {
            true => SubmitOutcome::Unknown(job),
            false => SubmitOutcome::Unavailable,
        }
    }

    /// Cancels jobs; cancelling one twice, or one that has ended, changes nothing.
    pub async fn cancel(&self, jobs: &[JobId], deadline: Millis) -> CancelOutcome {
        for batch in jobs.chunks(CANCEL_BATCH) {
            if !self.cancel_batch(batch, deadline).await {
                return CancelOutcome::Unavailable;
            }
        }
        CancelOutcome::Durable
    }

    /// Reads a job's progress; none when there is no such job.
    ///
    /// # Errors
    ///
    /// Reading has no effect, so every error may be retried.
    pub async fn progress(&self, job: JobId) -> Result<Option<Progress>, CallError> {
        let shard = shard_of(job, self.config.shards);
        for key in [run_key(shard, job), end_key(shard, job)] {
            let row = with_timeout(self.config.call_timeout, self.table.get(&key)).await?;
            if let Some(row) = row {
                return Ok(decode(&row.value));
            }
        }
        let key = spec_key(shard, job);
        let row = with_timeout(self.config.call_timeout, self.table.get(&key)).await?;
        let spec: Option<JobSpec> = row.and_then(|row| decode(&row.value));
        Ok(spec.map(|spec| Progress::new(spec.tasks)))
    }

    async fn cancel_batch(&self, jobs: &[JobId], deadline: Millis) -> bool {
        let mut writes: Vec<_> = jobs.iter().map(|job| self.stop_write(*job)).collect();
        writes.sort_by(|a, b| a.key.cmp(&b.key));
        writes.dedup_by(|a, b| a.key == b.key);
        while !writes.is_empty() {
            match with_timeout(self.config.call_timeout, self.table.commit(&writes)).await {
                Ok(Commit::Applied(_)) => return true,
                // This one is cancelled already.
                Ok(Commit::Conflict { key, .. }) => {
                    writes.retain(|write| write.key != key);
                    continue;
                }
                Err(_) => {}
            }
            if self.clock.now() + RETRY > deadline {
                return false;
            }
            tokio::time::sleep(RETRY.duration()).await;
        }
        true
    }

    fn stop_write(&self, job: JobId) -> Write {
        let shard = shard_of(job, self.config.shards);
        insert(stop_key(shard, job), Bytes::new())
    }
}

fn insert(key: CompactString, value: Bytes) -> Write {
    Write {
        key,
        expect: Version::ABSENT,
        value: Some(value),
    }
}
