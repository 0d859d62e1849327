//! Admission under overload: jobs that can't be done in useful time are refused at once.
//!
//! The estimate compares the work of the tenant that waits ahead of a job with the rate at which the
//! tenant's work drained lately. Both are measured in the callers' estimates, whose constant errors cancel
//! out. A tenant's own backlog is the only ground for a refusal.

use std::collections::BTreeMap;

use dotterel_kernel::Millis;

use super::tenants::account_index;
use super::{Cell, CellEvent, Refusal, RefusalGround};
use crate::job::{JobKey, Phase};
use crate::plan::occupied_size;
use crate::plan::order::OBSOLETE_FACTOR;
use crate::record::JobRecord;
use crate::spec::{JobId, Step, TaskName};
use crate::tenant::TenantNo;

/// Drained work is counted in intervals of this length.
const INTERVAL_MS: u64 = 1000;
/// Intervals that count: long enough to even out the ends of tasks that take seconds.
const INTERVALS: usize = 8;
const WINDOW: Millis = Millis(INTERVAL_MS * INTERVALS as u64);
/// With fewer ends in the window, the measured rate depends on chance.
const MIN_ENDS: u32 = 5;
/// Nothing is refused for this long after a takeover: the drain of the time before isn't known.
const MIN_OBSERVATION: Millis = Millis::secs(5);
/// Interval between counts of the waiting work, which go through all jobs. Jobs accepted in between are
/// added.
const COUNT_INTERVAL: Millis = Millis(100);
/// Waiting work is added up by due times of this precision, which bounds the number of sums.
const DUE_PRECISION_MS: u64 = 100;
/// Bounds of the delay after which a refused caller should retry.
const MIN_RETRY_AFTER: Millis = Millis::secs(1);
const MAX_RETRY_AFTER: Millis = Millis::secs(60);
/// Refusals noted for the log in a second; a tenant that floods may cause hundreds.
const MAX_NOTED_REFUSALS: u32 = 10;

/// Thousandths of a core, times milliseconds.
type Work = u64;

/// The work of all tenants that waits, and that drained lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    /// By `TenantNo::index`.
    tenants: Vec<TenantBacklog>,
    counted_at: Millis,
    /// The second in which refusals were last noted, and how many.
    noted: (u64, u32),
}

#[derive(Clone, Debug, Default)]
struct TenantBacklog {
    waiting: BTreeMap<WaitingClass, Work>,
    /// Since when some has been waiting.
    since: Option<Millis>,
    drained: [Drained; INTERVALS],
}

/// Waiting work that goes before the same jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingClass {
    priority: u8,
    excess: bool,
    /// In units of `DUE_PRECISION_MS`.
    due: u64,
}

impl WaitingClass {
    const fn new(priority: u8, excess: bool, due: Millis) -> Self {
        Self {
            priority,
            excess,
            due: due.0 / DUE_PRECISION_MS,
        }
    }
}

/// Work that drained in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Drained {
    /// Number of the interval.
    interval: u64,
    work: Work,
    ends: u32,
}

impl TenantBacklog {
    fn add_waiting(&mut self, class: WaitingClass, work: Work) {
        if work > 0 {
            let sum = self.waiting.entry(class).or_default();
            *sum = sum.saturating_add(work);
        }
    }

    /// Returns the work that waits ahead of a job. Work beyond the rate goes after all other work, and at the
    /// same priority the planner starts work that is due later after the job.
    fn ahead(&self, job: WaitingClass) -> Work {
        let ahead = self.waiting.range(..=job);
        let ahead = ahead.filter(|(class, _)| job.excess || !class.excess);
        ahead.map(|(_, work)| *work).sum()
    }

    fn add_drained(&mut self, work: Work, now: Millis) {
        let interval = now.0 / INTERVAL_MS;
        let at = usize::try_from(interval).unwrap_or_default() % INTERVALS;
        let drained = &mut self.drained[at];
        if drained.interval != interval {
            *drained = Drained {
                interval,
                ..Drained::default()
            };
        }
        drained.work = drained.work.saturating_add(work);
        drained.ends += 1;
    }

    /// Returns the work that drained per millisecond, and the number of ends from which this is known.
    fn drain_rate(&self, observed: Millis, now: Millis) -> (u64, u32) {
        let interval = now.0 / INTERVAL_MS;
        let is_recent =
            |drained: &&Drained| drained.interval + INTERVALS as u64 > interval && drained.ends > 0;
        let recent = self.drained.iter().filter(is_recent);
        let (work, ends) = recent.fold((0u64, 0u32), |(work, ends), drained| {
            (work.saturating_add(drained.work), ends + drained.ends)
        });
        let window = WINDOW.0 - INTERVAL_MS + now.0 % INTERVAL_MS;
        (work / window.min(observed.0).max(1), ends)
    }
}

/// What the decision on a job is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Set if the job exceeds the rate of its tenant.
    pub excess: bool,
    /// Work of the tenant that waits ahead of the job, in thousandths of a core times milliseconds.
    pub ahead: u64,
    /// Rate at which it is expected to drain, in thousandths of a core.
    pub rate: u64,
    /// Rate at which the tenant's work drained lately.
    pub measured: u64,
    /// Number of ends from which this is known.
    pub ends: u32,
    /// The tenant's share of the cell.
    pub share: u64,
    /// Estimated wait.
    pub wait: Millis,
    /// Estimated duration of the job once it starts.
    pub chain: Millis,
    /// Time after which its result is worthless.
    pub useful: Millis,
}

impl Cell {
    /// Refuses a job of a tenant that can't be done in useful time.
    pub(super) fn refuse_overload(
        &mut self,
        id: JobId,
        record: &JobRecord,
        tenant: Option<TenantNo>,
        now: Millis,
    ) -> Option<Refusal> {
        let tenant = tenant?;
        let is_judged = !record.spec.is_long_running() && record.spec.repeats == 0;
        if !is_judged || !self.is_recovered() || now.since(self.took_over_at) < MIN_OBSERVATION {
            return None;
        }
        self.count_backlog(now);
        let estimate = self.estimate_wait(record, tenant, now)?;
        let is_late = estimate.wait + estimate.chain > estimate.useful;
        if !is_late || !self.has_waiting(tenant) || self.has_room(record, tenant, now) {
            return None;
        }
        let over = (estimate.wait + estimate.chain).since(estimate.useful);
        let retry_after = Millis(over.0.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0));
        self.note_refusal(id, record, tenant, estimate, retry_after, now);
        Some(Refusal {
            retry_after,
            ground: RefusalGround::Backlog,
        })
    }

    /// Returns the estimated wait of a job; `None` if no work of its tenant waits ahead of it, or if
    /// there is no capacity to compare it with.
    fn estimate_wait(&self, record: &JobRecord, tenant: TenantNo, now: Millis) -> Option<Estimate> {
        let backlog = self.backlog.tenants.get(tenant.index())?;
        let excess = self.is_excess(Some(tenant), now);
        let ahead = backlog.ahead(WaitingClass::new(
            record.policy.priority,
            excess,
            now + record.objective(),
        ));
        let observed = now.since(self.took_over_at);
        let (measured, ends) = backlog.drain_rate(observed, now);
        let share = self.share_of_cell(tenant);
        let mut rate = measured.max(share);
        let since = backlog.since.unwrap_or(now);
        if ends < MIN_ENDS || now.since(since) < WINDOW {
            // Until the tenant has been kept waiting for a while, its drain shows what it sent rather than
            // what it could get.
            rate = rate.max(self.occupied_cores(tenant));
        }
        if ahead == 0 || rate == 0 {
            return None;
        }
        Some(Estimate {
            excess,
            ahead,
            rate,
            measured,
            ends,
            share,
            wait: Millis(ahead / rate),
            chain: record.spec.critical_path(),
            useful: Millis(record.objective().0.saturating_mul(OBSOLETE_FACTOR)),
        })
    }

    /// Returns a tenant's share of the cell by its weight, within its cap, in thousandths of a core. Tenants
    /// that the configuration no longer names count only while they have waiting work, as they submit none.
    fn share_of_cell(&self, tenant: TenantNo) -> u64 {
        let vms = self.vms.values().filter(|vm| vm.fenced);
        let cores: u32 = vms.fold(0, |sum: u32, vm| {
            sum.saturating_add(vm.info.capacity.milli_cores)
        });
        let counts = |no: TenantNo| {
            let waiting = self.backlog.tenants.get(no.index());
            no == tenant
                || self.tenants.is_named(no)
                || waiting.is_some_and(|waiting| !waiting.waiting.is_empty())
        };
        let counted = self.tenants.iter().filter(|(no, _)| counts(*no));
        let weights = counted.map(|(no, _)| self.share_weight(Some(no)));
        let share = self.share_weight(Some(tenant)) / weights.sum::<f64>();
        let share = whole(f64::from(cores) * share);
        match self.tenants.terms(tenant).cap.milli_cores {
            0 => share,
            cap => share.min(u64::from(cap)),
        }
    }

    fn occupied_cores(&self, tenant: TenantNo) -> u64 {
        let account = self.accounts.get(account_index(Some(tenant)));
        account.map_or(0, |account| u64::from(account.used.milli_cores))
    }

    /// Returns true if a task of a tenant waits to be started.
    fn has_waiting(&self, tenant: TenantNo) -> bool {
        self.open_steps.iter().any(|step_ref| {
            let job = self.jobs.get(step_ref.job);
            job.is_some_and(|job| job.tenant == Some(tenant) && job.end.is_none())
                && self
                    .step_state(*step_ref)
                    .is_some_and(crate::job::StepState::has_waiting)
        })
    }

    /// Returns true if all tasks with which a job begins could start at once.
    fn has_room(&self, record: &JobRecord, tenant: TenantNo, now: Millis) -> bool {
        let mut first = record
            .spec
            .steps
            .iter()
            .filter(|step| step.after.is_empty());
        first.all(|step| {
            let size = occupied_size(step);
            let mut missing = step.count;
            for (key, vm) in &self.vms {
                if missing > 0 && self.is_usable(vm, &record.policy.service, step, now) {
                    let free = self.unreserved_capacity(key, vm);
                    let slots = free.count_fitting(&size).min(step.tasks_per_vm());
                    missing = missing.saturating_sub(slots);
                }
            }
            missing == 0 && self.may_start_for(Some(tenant), &size, step.count)
        })
    }

    /// Counts the work that waits.
    fn count_backlog(&mut self, now: Millis) {
        let is_recent = now.since(self.backlog.counted_at) < COUNT_INTERVAL;
        if is_recent && self.backlog.tenants.len() == self.tenants.len() {
            return;
        }
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.counted_at = now;
        backlog
            .tenants
            .resize_with(self.tenants.len(), TenantBacklog::default);
        for tenant in &mut backlog.tenants {
            tenant.waiting.clear();
        }
        for key in self.jobs.keys() {
            self.add_job(&mut backlog, key, now);
        }
        for tenant in &mut backlog.tenants {
            let has_waiting = !tenant.waiting.is_empty();
            tenant.since = has_waiting.then(|| tenant.since.unwrap_or(now));
        }
        self.backlog = backlog;
    }

    /// Adds a job that was just accepted to the work that waits.
    pub(super) fn count_accepted(&mut self, key: JobKey, now: Millis) {
        if !self.backlog.tenants.is_empty() {
            let mut backlog = std::mem::take(&mut self.backlog);
            self.add_job(&mut backlog, key, now);
            self.backlog = backlog;
        }
    }

    /// Adds the waiting tasks of a job in all its steps, unless the job never ends by itself or is
    /// hopeless: such work goes last.
    fn add_job(&self, backlog: &mut Backlog, key: JobKey, now: Millis) {
        let job = &self.jobs[key];
        let tenant = job.tenant.map(TenantNo::index);
        let Some(tenant) = tenant.and_then(|at| backlog.tenants.get_mut(at)) else {
            return;
        };
        if job.end.is_some() || job.spec.is_long_running() {
            return;
        }
        for round in &job.rounds {
            let useful = Millis(job.objective.0.saturating_mul(OBSOLETE_FACTOR));
            if now > job.round_start(round.number) + useful {
                continue;
            }
            let due = job.round_start(round.number) + job.objective;
            let class = WaitingClass::new(job.policy.priority, job.excess, due);
            for (step, state) in job.spec.steps.iter().zip(&round.steps) {
                let waiting = state.tasks.iter();
                let waiting = waiting.filter(|task| task.phase == Phase::Waiting).count();
                let work = task_work(step).saturating_mul(waiting as u64);
                tenant.add_waiting(class, work);
            }
        }
    }

    /// Records that a task, or all tasks of its gang, are done.
    pub(super) fn note_drained(&mut self, name: TaskName, step: &Step, now: Millis) {
        let tenant = self.job_key(name.job).and_then(|key| self.jobs[key].tenant);
        let Some(tenant) = tenant else {
            return;
        };
        if self.backlog.tenants.len() <= tenant.index() {
            let len = tenant.index() + 1;
            self.backlog
                .tenants
                .resize_with(len, TenantBacklog::default);
        }
        let tasks = if step.gang { u64::from(step.count) } else { 1 };
        let work = task_work(step).saturating_mul(tasks);
        self.backlog.tenants[tenant.index()].add_drained(work, now);
    }

    fn note_refusal(
        &mut self,
        job: JobId,
        record: &JobRecord,
        tenant: TenantNo,
        estimate: Estimate,
        retry_after: Millis,
        now: Millis,
    ) {
        let second = now.0 / 1000;
        let noted = &mut self.backlog.noted;
        if noted.0 != second {
            *noted = (second, 0);
        }
        noted.1 += 1;
        if noted.1 > MAX_NOTED_REFUSALS {
            return;
        }
        self.events.push(CellEvent::JobRefused {
            job,
            tenant: self.tenants.terms(tenant).name.clone(),
            priority: record.policy.priority,
            estimate,
            retry_after,
        });
    }
}

fn task_work(step: &Step) -> Work {
    u64::from(occupied_size(step).milli_cores).saturating_mul(step.estimate.0)
}

/// Rounds a non-negative number of thousandths of a core down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "cells have far fewer cores, and no negative number of them"
)]
const fn whole(milli_cores: f64) -> u64 {
    milli_cores as u64
}
