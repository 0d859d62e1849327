//! The state of one owned shard and the writes to its rows.

mod purge;
mod write;

use compact_str::CompactString;
use dotterel_kernel::{JobId, Millis, TaskId};
use dotterel_platform::{CallError, Commit, Owner, Table, Version};

use super::Config;
use super::job::Job;
use super::record::{LeaseRow, Progress, decode, inbox_prefix, lease_key, run_prefix, spec_key};
use super::spec::JobSpec;
use crate::lease::with_timeout;
use write::{JobWrite, ShardWrite};

/// The maximum number of rows in one scan.
const PAGE_ROWS: usize = 512;

/// An owned shard.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) index: u32,
    /// The version of the lease row that this owner wrote last.
    pub(super) lease_version: Version,
    /// When the lease row was last written.
    pub(super) renewed_at: Millis,
    /// The jobs that have not ended, sorted by identifier.
    pub(super) jobs: Vec<Job>,
    /// Inbox rows of jobs that are not in `jobs`, to be deleted with the next write.
    orphan_rows: Vec<(CompactString, Version)>,
    /// A write of unknown outcome; no other write is sent until its outcome is known.
    pending: Option<ShardWrite>,
}

/// What a write has recorded for one job.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Recorded {
    pub(super) job: JobId,
    /// Attempts that may start now.
    pub(super) planned: Vec<TaskId>,
    /// Attempts whose ends are recorded.
    pub(super) ended: Vec<TaskId>,
}

/// The outcome of a write.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    /// The write is committed.
    Applied(Vec<Recorded>),
    /// The write is committed, and the shard is released.
    Parted,
    /// The write failed or its outcome is unknown; the next round retries it.
    Later,
    /// The shard was taken over by another owner or has to be reloaded.
    Deposed,
}

impl Shard {
    /// Loads a shard whose lease row this owner has written.
    pub(super) async fn load(
        table: &dyn Table,
        config: &Config,
        index: u32,
        lease_version: Version,
        now: Millis,
    ) -> Result<Self, CallError> {
        let mut shard = Self {
            index,
            lease_version,
            renewed_at: now,
            jobs: Vec::new(),
            orphan_rows: Vec::new(),
            pending: None,
        };
        for (id, row_version, progress) in shard.rows(table, config).await? {
            if let Some(spec) = shard.spec(table, config, id).await? {
                shard.jobs.push(Job::new(id, spec, &progress, row_version));
            }
        }
        shard.jobs.sort_by_key(|job| job.id);
        Ok(shard)
    }

    /// Returns a job.
    pub(super) fn job(&mut self, id: JobId) -> Option<&mut Job> {
        let index = self.jobs.binary_search_by_key(&id, |job| job.id).ok()?;
        self.jobs.get_mut(index)
    }

    /// Reads the inbox, accepts new jobs and returns the jobs to cancel.
    pub(super) async fn read_inbox(
        &mut self,
        table: &dyn Table,
        config: &Config,
    ) -> Result<Vec<JobId>, CallError> {
        let prefix = inbox_prefix(self.index);
        let rows = with_timeout(config.call_timeout, table.scan(&prefix, "", PAGE_ROWS)).await?;
        let mut cancelled = Vec::new();
        for row in rows {
            let Some((id, request)) = parse_inbox(&prefix, &row.key) else {
                continue;
            };
            if request == "new" && self.job(id).is_none() && !self.is_acknowledged(&row.key) {
                self.accept_job(table, config, id).await?;
            }
            if request == "stop" {
                cancelled.push(id);
            }
            self.acknowledge(id, row.key, row.version);
        }
        Ok(cancelled)
    }

    /// Returns true unless the lease row's version shows that another node has written it.
    ///
    /// While a write of unknown outcome is pending, any newer version may be this owner's.
    pub(super) fn holds_lease(&self, version: Version) -> bool {
        version == self.lease_version || self.pending.is_some()
    }

    /// Returns true if there is a change to write or the lease is due for renewal.
    pub(super) fn needs_flush(&self, now: Millis, config: &Config) -> bool {
        self.pending.is_some()
            || !self.orphan_rows.is_empty()
            || self.jobs.iter().any(|job| job.dirty)
            || now.since(self.renewed_at) >= config.renew_interval()
    }

    /// Writes all changes and renews the lease, or releases the shard if `owner` is `None`.
    pub(super) async fn flush(
        &mut self,
        table: &dyn Table,
        config: &Config,
        owner: Option<&Owner>,
        now: Millis,
    ) -> FlushOutcome {
        let retried = self.pending.is_some();
        let write = match self.pending.take() {
            Some(write) => write,
            None => self.compose_write(config, owner, now),
        };
        match with_timeout(config.call_timeout, table.commit(&write.writes)).await {
            Ok(Commit::Applied(versions)) => self.handle_applied(&write, Some(&versions), now),
            Ok(Commit::Conflict { .. }) if retried => {
                self.resolve_pending(table, config, write, now).await
            }
            Ok(Commit::Conflict { .. }) => FlushOutcome::Deposed,
            Err(CallError::Unknown(_)) => {
                self.pending = Some(write);
                FlushOutcome::Later
            }
            // An earlier attempt may still arrive at the table, so the write must not change.
            Err(_) if retried => {
                self.pending = Some(write);
                FlushOutcome::Later
            }
            Err(_) => {
                self.mark_dirty(&write);
                FlushOutcome::Later
            }
        }
    }

    /// Determines from the lease row whether the pending write was committed.
    async fn resolve_pending(
        &mut self,
        table: &dyn Table,
        config: &Config,
        write: ShardWrite,
        now: Millis,
    ) -> FlushOutcome {
        let key = lease_key(self.index);
        let Ok(row) = with_timeout(config.call_timeout, table.get(&key)).await else {
            self.pending = Some(write);
            return FlushOutcome::Later;
        };
        let Some(row) = row else {
            return FlushOutcome::Deposed;
        };
        let written = decode::<LeaseRow>(&row.value);
        if written.is_none_or(|lease| lease.write_id != write.write_id) {
            return FlushOutcome::Deposed;
        }
        let Ok(rows) = self.rows(table, config).await else {
            self.pending = Some(write);
            return FlushOutcome::Later;
        };
        self.lease_version = row.version;
        for (id, version, _) in rows {
            if let Some(job) = self.job(id) {
                job.row_version = version;
            }
        }
        self.handle_applied(&write, None, now)
    }

    /// Applies the effects of a committed write.
    fn handle_applied(
        &mut self,
        write: &ShardWrite,
        versions: Option<&[Version]>,
        now: Millis,
    ) -> FlushOutcome {
        self.renewed_at = now;
        if let Some(versions) = versions {
            self.lease_version = versions[0];
        }
        for job_write in &write.job_writes {
            let Some(job) = self.job(job_write.job) else {
                continue;
            };
            job.inbox_rows.drain(..job_write.inbox_rows);
            job.ended.retain(|task| !job_write.ended.contains(task));
            if let Some(versions) = versions {
                job.row_version = versions[job_write.write_index];
            }
        }
        let ended = |id| {
            write
                .job_writes
                .iter()
                .any(|job_write| job_write.job == id && job_write.is_final)
        };
        self.jobs.retain(|job| !ended(job.id));
        if write.releasing {
            return FlushOutcome::Parted;
        }
        let recorded = |job_write: &JobWrite| Recorded {
            job: job_write.job,
            planned: job_write.planned.clone(),
            ended: job_write.ended.clone(),
        };
        FlushOutcome::Applied(write.job_writes.iter().map(recorded).collect())
    }

    /// Marks the jobs of a failed write as dirty again.
    fn mark_dirty(&mut self, write: &ShardWrite) {
        for job_write in &write.job_writes {
            if let Some(job) = self.job(job_write.job) {
                job.dirty = true;
            }
        }
    }

    async fn accept_job(
        &mut self,
        table: &dyn Table,
        config: &Config,
        id: JobId,
    ) -> Result<(), CallError> {
        let Some(spec) = self.spec(table, config, id).await? else {
            return Ok(());
        };
        let progress = Progress::new(spec.tasks);
        let job = Job::new(id, spec, &progress, Version::ABSENT);
        let index = self.jobs.partition_point(|other| other.id < id);
        self.jobs.insert(index, job);
        Ok(())
    }

    /// Schedules the deletion of an inbox row with the next write of its job.
    fn acknowledge(&mut self, id: JobId, key: CompactString, version: Version) {
        if self.is_acknowledged(&key) {
            return;
        }
        match self.job(id) {
            Some(job) => {
                job.inbox_rows.push((key, version));
                job.dirty = true;
            }
            None => self.orphan_rows.push((key, version)),
        }
    }

    fn is_acknowledged(&self, key: &str) -> bool {
        let pending = self.pending.iter().flat_map(|write| &write.writes);
        let mut inbox_rows = self.jobs.iter().flat_map(|job| &job.inbox_rows);
        inbox_rows.any(|entry| entry.0 == key)
            || self.orphan_rows.iter().any(|entry| entry.0 == key)
            || pending.into_iter().any(|write| write.key == key)
    }

    async fn spec(
        &self,
        table: &dyn Table,
        config: &Config,
        id: JobId,
    ) -> Result<Option<JobSpec>, CallError> {
        let key = spec_key(self.index, id);
        let row = with_timeout(config.call_timeout, table.get(&key)).await?;
        Ok(row.and_then(|row| decode(&row.value)))
    }

    async fn rows(
        &self,
        table: &dyn Table,
        config: &Config,
    ) -> Result<Vec<(JobId, Version, Progress)>, CallError> {
        let prefix = run_prefix(self.index);
        let mut found = Vec::new();
        let mut after = CompactString::default();
        loop {
            let page =
                with_timeout(config.call_timeout, table.scan(&prefix, &after, PAGE_ROWS)).await?;
            let Some(last) = page.last() else {
                return Ok(found);
            };
            after = last.key.clone();
            let rows = page.iter().filter_map(|row| {
                let id = row.key.strip_prefix(prefix.as_str())?.parse().ok()?;
                Some((id, row.version, decode(&row.value)?))
            });
            found.extend(rows);
        }
    }
}

fn parse_inbox<'a>(prefix: &str, key: &'a str) -> Option<(JobId, &'a str)> {
    let (id, request) = key.strip_prefix(prefix)?.split_once('/')?;
    Some((id.parse().ok()?, request))
}
