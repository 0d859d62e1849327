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

/// The interval between two attempts at a write.
const RETRY_INTERVAL: Millis = Millis(100);

/// The maximum number of jobs cancelled in one transaction.
const CANCEL_BATCH: usize = 128;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is durable and will be run.
    Accepted(JobId),
    /// The job is invalid and is not accepted.
    Refused(SpecError),
    /// The table could not be reached in time; the job is not accepted.
    Unavailable,
    /// No reply came from the table; the job may have been accepted under this identifier.
    Unknown(JobId),
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// All cancellations are durable; the owners of the shards will stop the jobs.
    Durable,
    /// Some cancellations may not be durable; cancelling again is safe.
    Unavailable,
}

impl Jobs {
    /// Submits a job.
    pub async fn submit(&self, spec: &JobSpec, deadline: Millis) -> SubmitOutcome {
        if let Err(err) = spec.check() {
            return SubmitOutcome::Refused(err);
        }
        let job = JobId::generate();
        let shard = shard_of(job, self.config.shards);
        let writes = [
            insert(spec_key(shard, job), encode(spec)),
            insert(new_key(shard, job), Bytes::new()),
        ];
        let mut maybe_accepted = false;
        loop {
            match with_timeout(self.config.call_timeout, self.table.commit(&writes)).await {
                Ok(Commit::Applied(_)) => return SubmitOutcome::Accepted(job),
                // The identifier is new, so the rows are from an earlier attempt of this loop.
                Ok(Commit::Conflict { .. }) => return SubmitOutcome::Accepted(job),
                Err(CallError::Unknown(_)) => maybe_accepted = true,
                Err(_) => {}
            }
            if self.clock.now() + RETRY_INTERVAL > deadline {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
        }
        match maybe_accepted {
            true => SubmitOutcome::Unknown(job),
            false => SubmitOutcome::Unavailable,
        }
    }

    /// Cancels jobs; idempotent, and without effect on jobs that have ended.
    pub async fn cancel(&self, jobs: &[JobId], deadline: Millis) -> CancelOutcome {
        for batch in jobs.chunks(CANCEL_BATCH) {
            if !self.cancel_batch(batch, deadline).await {
                return CancelOutcome::Unavailable;
            }
        }
        CancelOutcome::Durable
    }

    /// Reads a job's progress; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// The table could not be read in time; every error may be retried.
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
                // This job's cancellation is already recorded.
                Ok(Commit::Conflict { key, .. }) => {
                    writes.retain(|write| write.key != key);
                    continue;
                }
                Err(_) => {}
            }
            if self.clock.now() + RETRY_INTERVAL > deadline {
                return false;
            }
            tokio::time::sleep(RETRY_INTERVAL.duration()).await;
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
