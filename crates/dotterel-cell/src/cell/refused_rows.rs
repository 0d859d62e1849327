//! Rows that the store refuses for their content.
//!
//! A refused transaction doesn't say which of its rows is at fault, and would be refused again however often it
//! is sent. The next ones of its lane are therefore divided until one job, or one list, is alone in its
//! transaction. That one is set aside and tried again by itself, and all others are written meanwhile.

use dotterel_kernel::Millis;

use super::{Batch, Cell, RefusalKind, RowWrite};
use crate::job::{JobKey, JobState};
use crate::spec::JobId;

/// Pause before rows that were refused are tried again.
const RETRY_INTERVAL: Millis = Millis::secs(2);
/// Refusals after which a job is given up. VMs list 500 ends at most, and those of a job that can't be stored
/// keep all later ones from being acknowledged.
const MAX_REFUSALS: u8 = 3;

/// What is written in one transaction and can be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Unit {
    /// The rows of a job.
    Job(JobKey),
    /// A row of the list of VMs.
    VmList(u8),
    /// The list of VMs on which runs may be stopping.
    StopList,
}

/// What became of a transaction that the store has refused for its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBatch {
    /// Its rows are written again, in smaller transactions.
    Divided,
    /// The rows of a job are set aside for a while; none for a list of VMs.
    SetAside(Option<JobId>),
    /// The job was new, and isn't accepted.
    NotAccepted(JobId),
    /// The job has ended as failed, since its progress can't be stored.
    GivenUp(JobId),
    /// Rows that are no longer needed stay in the store.
    Left,
}

#[derive(Clone, Copy, Debug)]
struct SetAside {
    unit: Unit,
    retry_at: Millis,
    refusals: u8,
}

/// Rows that were refused, and lanes whose transactions are kept small.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    set_aside: Vec<SetAside>,
    /// Lanes, with the maximum rows of their next transactions.
    limits: Vec<(u8, usize)>,
    /// The only unit that the batch in preparation takes.
    only: Option<Unit>,
}

impl Refusals {
    /// Returns true if a unit goes into the batch in preparation.
    pub(super) fn allows(&self, unit: Unit) -> bool {
        match self.only {
            Some(only) => unit == only,
            None => !self.set_aside.iter().any(|aside| aside.unit == unit),
        }
    }

    /// Returns true if the batch in preparation consists of one unit.
    pub(super) const fn is_choosing(&self) -> bool {
        self.only.is_some()
    }

    /// Returns true if a unit that has changed may be written now.
    pub(super) fn is_due(&self, unit: Unit, now: Millis) -> bool {
        let aside = self.set_aside.iter().find(|aside| aside.unit == unit);
        aside.is_none_or(|aside| aside.retry_at <= now)
    }

    pub(super) fn row_limit(&self, lane: u8) -> usize {
        let limit = self.limits.iter().find(|(limited, _)| *limited == lane);
        limit.map_or(usize::MAX, |(_, rows)| *rows)
    }

    fn set_limit(&mut self, lane: u8, rows: usize) {
        self.limits.retain(|(limited, _)| *limited != lane);
        if rows < super::batch::MAX_BATCH_ROWS {
            self.limits.push((lane, rows));
        }
    }
}

impl Cell {
    /// Chooses the unit that a lane's next batch consists of, if one was set aside and is due.
    pub(super) fn choose_refused(&mut self, lane: u8, now: Millis) {
        let jobs = &self.jobs;
        let uses_lane = |unit: Unit| match unit {
            Unit::Job(key) => jobs.get(key).is_some_and(|job| job.may_use_lane(lane)),
            Unit::VmList(_) | Unit::StopList => lane == super::VM_LIST_LANE,
        };
        let refusals = &mut self.refusals;
        refusals.set_aside.retain(|aside| match aside.unit {
            Unit::Job(key) => jobs.contains_key(key),
            Unit::VmList(_) | Unit::StopList => true,
        });
        let mut due = refusals.set_aside.iter_mut();
        let due = due.find(|aside| aside.retry_at <= now && uses_lane(aside.unit));
        refusals.only = due.map(|aside| {
            aside.retry_at = now + RETRY_INTERVAL;
            aside.unit
        });
    }

    pub(super) fn end_choice(&mut self) {
        self.refusals.only = None;
    }

    /// Takes note of a batch that the store has accepted.
    pub(super) fn note_accepted(&mut self, batch: &Batch) {
        if self.refusals.limits.is_empty() && self.refusals.set_aside.is_empty() {
            return;
        }
        let units = self.units(batch);
        let refusals = &mut self.refusals;
        refusals
            .set_aside
            .retain(|aside| !units.contains(&aside.unit));
        let limit = refusals.row_limit(batch.lane());
        if !batch.writes.is_empty() {
            refusals.set_limit(batch.lane(), limit.saturating_mul(2));
        }
    }

    /// Requeues the rows of a batch that the store has refused for their content, so that all but the one at
    /// fault are written.
    pub fn batch_refused(&mut self, batch: &Batch, now: Millis) -> RefusedBatch {
        self.batch_failed(batch, now);
        // The progress in it has been due.
        self.changed_at = now - super::batch::PROGRESS_DELAY;
        let units = self.units(batch);
        let [unit] = units[..] else {
            if units.is_empty() {
                self.forget_expired(batch);
                return RefusedBatch::Left;
            }
            let rows = (batch.writes.len() / 2).max(1);
            self.refusals.set_limit(batch.lane(), rows);
            return RefusedBatch::Divided;
        };
        let known = self.refusals.set_aside.iter();
        let known = known.filter(|aside| aside.unit == unit);
        let refusals = known.map(|aside| aside.refusals).max().unwrap_or_default();
        let refusals = refusals.saturating_add(1);
        self.refusals.set_aside.retain(|aside| aside.unit != unit);
        let job = match unit {
            Unit::Job(key) => self.jobs.get(key).map(|job| (key, job)),
            Unit::VmList(_) | Unit::StopList => None,
        };
        if let Some((key, job)) = job {
            let (id, tenant) = (job.id, job.tenant);
            if !job.stored {
                self.new_jobs.retain(|new_job| *new_job != key);
                self.ending_jobs.retain(|ending| *ending != key);
                self.remove_job(key);
                self.history.add_refused(tenant, RefusalKind::Store);
                return RefusedBatch::NotAccepted(id);
            }
            if refusals >= MAX_REFUSALS && job.end.is_none() {
                self.end_job(key, JobState::Failed, now);
                return RefusedBatch::GivenUp(id);
            }
        }
        let id = job_id(self, unit);
        self.refusals.set_aside.push(SetAside {
            unit,
            retry_at: now + RETRY_INTERVAL,
            refusals,
        });
        RefusedBatch::SetAside(id)
    }

    fn units(&self, batch: &Batch) -> Vec<Unit> {
        let units = batch.writes.iter().filter_map(|write| match write {
            RowWrite::Job(id, _)
            | RowWrite::Progress(id, _)
            | RowWrite::ProgressPage(id, ..)
            | RowWrite::DropProgress(id) => self.job_key(*id).map(Unit::Job),
            RowWrite::VmList(row, _) => Some(Unit::VmList(*row)),
            RowWrite::StopList(_) => Some(Unit::StopList),
            RowWrite::DropJob(_) | RowWrite::DropProgressPage(..) => None,
        });
        let mut units: Vec<Unit> = units.collect();
        units.sort_unstable();
        units.dedup();
        units
    }

    /// Gives up deleting the rows of a batch.
    fn forget_expired(&mut self, batch: &Batch) {
        for write in &batch.writes {
            match write {
                RowWrite::DropJob(id) => self.expired_jobs.retain(|(job, _)| job != id),
                RowWrite::DropProgressPage(id, start) => self
                    .expired_pages
                    .retain(|page| (page.job, page.start) != (*id, *start)),
                _ => {}
            }
        }
    }
}

fn job_id(cell: &Cell, unit: Unit) -> Option<JobId> {
    match unit {
        Unit::Job(key) => cell.jobs.get(key).map(|job| job.id),
        Unit::VmList(_) | Unit::StopList => None,
    }
}
