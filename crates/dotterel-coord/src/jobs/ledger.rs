//! The rows of one owned shard and the writes that change them.

mod draft;
mod purge;

use compact_str::CompactString;
use dotterel_kernel::{JobId, Millis, TaskId};
use dotterel_platform::{CallError, Commit, Owner, Table, Version};

use super::Config;
use super::job::Job;
use super::record::{LeaseRow, Progress, decode, inbox_prefix, lease_key, run_prefix, spec_key};
use super::spec::JobSpec;
use crate::lease::with_timeout;
use draft::{Draft, Part};

/// The most rows of one scan.
const PAGE: usize = 512;

/// An owned shard.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) index: u32,
    /// The version of the lease row as this owner wrote it.
    pub(super) lease: Version,
    /// When the lease row was last written.
    pub(super) renewed: Millis,
    /// The jobs that are not over, sorted by identifier.
    pub(super) jobs: Vec<Job>,
    /// Inbox rows that concern no job here.
    stray: Vec<(CompactString, Version)>,
    /// A write whose outcome is unknown; nothing else is written until that is settled.
    pending: Option<Draft>,
}

/// What a write has recorded of one job.
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
pub(super) enum Flushed {
    /// It took effect.
    Applied(Vec<Recorded>),
    /// It took effect, and the shard is given back.
    Parted,
    /// It did not take effect, or it is not known yet; the next round tries again.
    Later,
    /// The shard belongs to another owner or has to be read anew.
    Deposed,
}

impl Shard {
    /// Reads a shard whose lease row this owner has written.
    pub(super) async fn load(
        table: &dyn Table,
        config: &Config,
        index: u32,
        lease: Version,
        now: Millis,
    ) -> Result<Self, CallError> {
        let mut shard = Self {
            index,
            lease,
            renewed: now,
            jobs: Vec::new(),
            stray: Vec::new(),
            pending: None,
        };
        for (id, row, progress) in shard.rows(table, config).await? {
            if let Some(spec) = shard.spec(table, config, id).await? {
                shard.jobs.push(Job::new(id, spec, &progress, row));
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

    /// Takes in what others ask; returns the jobs to cancel.
    pub(super) async fn intake(
        &mut self,
        table: &dyn Table,
        config: &Config,
    ) -> Result<Vec<JobId>, CallError> {
        let prefix = inbox_prefix(self.index);
        let rows = with_timeout(config.call_timeout, table.scan(&prefix, "", PAGE)).await?;
        let mut cancelled = Vec::new();
        for row in rows {
            let Some((id, ask)) = parse_inbox(&prefix, &row.key) else {
                continue;
            };
            if ask == "new" && self.job(id).is_none() && !self.answering(&row.key) {
                self.accept(table, config, id).await?;
            }
            if ask == "stop" {
                cancelled.push(id);
            }
            self.answer(id, row.key, row.version);
        }
        Ok(cancelled)
    }

    /// Returns true unless the lease row's version shows that another node has written it.
    ///
    /// While a write of unknown outcome is open, any newer version may be this owner's.
    pub(super) fn in_force(&self, version: Version) -> bool {
        version == self.lease || self.pending.is_some()
    }

    /// Returns true when there is something to write.
    pub(super) fn dirty(&self, now: Millis, config: &Config) -> bool {
        self.pending.is_some()
            || !self.stray.is_empty()
            || self.jobs.iter().any(|job| job.dirty)
            || now.since(self.renewed) >= config.renew_interval()
    }

    /// Writes what has changed, under the lease.
    pub(super) async fn flush(
        &mut self,
        table: &dyn Table,
        config: &Config,
        owner: Option<&Owner>,
        now: Millis,
    ) -> Flushed {
        let retried = self.pending.is_some();
        let draft = match self.pending.take() {
            Some(draft) => draft,
            None => self.draft(config, owner, now),
        };
        match with_timeout(config.call_timeout, table.commit(&draft.writes)).await {
            Ok(Commit::Applied(versions)) => self.applied(&draft, Some(&versions), now),
            Ok(Commit::Conflict { .. }) if retried => self.resolve(table, config, draft, now).await,
            Ok(Commit::Conflict { .. }) => Flushed::Deposed,
            Err(CallError::Unknown(_)) => {
                self.pending = Some(draft);
                Flushed::Later
            }
            // A write that was lost before may still arrive, so its draft stays as it is.
            Err(_) if retried => {
                self.pending = Some(draft);
                Flushed::Later
            }
            Err(_) => {
                self.abandon(&draft);
                Flushed::Later
            }
        }
    }

    /// Finds out whether a lost write took effect.
    async fn resolve(
        &mut self,
        table: &dyn Table,
        config: &Config,
        draft: Draft,
        now: Millis,
    ) -> Flushed {
        let key = lease_key(self.index);
        let Ok(row) = with_timeout(config.call_timeout, table.get(&key)).await else {
            self.pending = Some(draft);
            return Flushed::Later;
        };
        let Some(row) = row else {
            return Flushed::Deposed;
        };
        let written = decode::<LeaseRow>(&row.value);
        if written.is_none_or(|lease| lease.stamp != draft.stamp) {
            return Flushed::Deposed;
        }
        let Ok(rows) = self.rows(table, config).await else {
            self.pending = Some(draft);
            return Flushed::Later;
        };
        self.lease = row.version;
        for (id, version, _) in rows {
            if let Some(job) = self.job(id) {
                job.row = version;
            }
        }
        self.applied(&draft, None, now)
    }

    fn applied(&mut self, draft: &Draft, versions: Option<&[Version]>, now: Millis) -> Flushed {
        self.renewed = now;
        if let Some(versions) = versions {
            self.lease = versions[0];
        }
        for part in &draft.parts {
            let Some(job) = self.job(part.job) else {
                continue;
            };
            job.answered.drain(..part.answered);
            job.ended.retain(|task| !part.ended.contains(task));
            if let Some(versions) = versions {
                job.row = versions[part.place];
            }
        }
        let over = |id| draft.parts.iter().any(|part| part.job == id && part.over);
        self.jobs.retain(|job| !over(job.id));
        if draft.parting {
            return Flushed::Parted;
        }
        let recorded = |part: &Part| Recorded {
            job: part.job,
            planned: part.planned.clone(),
            ended: part.ended.clone(),
        };
        Flushed::Applied(draft.parts.iter().map(recorded).collect())
    }

    /// Makes the jobs of a write that had no effect due again.
    fn abandon(&mut self, draft: &Draft) {
        for part in &draft.parts {
            if let Some(job) = self.job(part.job) {
                job.dirty = true;
            }
        }
    }

    async fn accept(
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

    /// Has an inbox row deleted together with the next record of its job.
    fn answer(&mut self, id: JobId, key: CompactString, version: Version) {
        if self.answering(&key) {
            return;
        }
        match self.job(id) {
            Some(job) => {
                job.answered.push((key, version));
                job.dirty = true;
            }
            None => self.stray.push((key, version)),
        }
    }

    fn answering(&self, key: &str) -> bool {
        let pending = self.pending.iter().flat_map(|draft| &draft.writes);
        let mut answered = self.jobs.iter().flat_map(|job| &job.answered);
        answered.any(|entry| entry.0 == key)
            || self.stray.iter().any(|entry| entry.0 == key)
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
            let page = with_timeout(config.call_timeout, table.scan(&prefix, &after, PAGE)).await?;
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
    let (id, ask) = key.strip_prefix(prefix)?.split_once('/')?;
    Some((id.parse().ok()?, ask))
}
