//! Tenants and what their runs occupy.
//!
//! The accounts are recomputed at the start of each planning pass, linear in runs, so that they can't
//! drift away from the runs; within the pass only starts change them. A cell without tenants has none.

use dotterel_kernel::{Millis, Size};

use super::Cell;
use super::caps::limit;
use super::late_starts::LATE_START_RETENTION;
use super::replace::copies_allowed;
use crate::job::{Job, Phase};
use crate::plan::occupied_size;
use crate::spec::JobId;
use crate::tenant::{TenantNo, TenantTerms, times};

/// Jobs that a tenant may submit at once after a pause, in seconds of its rate.
const BURST_SECS: f64 = 2.0;
/// Keeps a tenant that submits at exactly its rate within it.
const ROUNDING: f64 = 1e-6;

/// What a tenant occupies, as of the current planning pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Account {
    /// Runs, and starts that may still be carried out.
    pub(crate) used: Size,
    /// Tasks that may have runs of an earlier term which no VM has listed yet.
    pub(crate) unlisted: Size,
    /// Tasks for which capacity is held in this planning pass.
    pub(crate) pledged: Size,
}

/// Returns the position of a tenant's account; the first one is that of all jobs without a tenant.
pub(crate) fn account_index(tenant: Option<TenantNo>) -> usize {
    tenant.map_or(0, |tenant| 1 + tenant.index())
}

/// The jobs that a tenant has submitted lately, as far as its rate hasn't made up for them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SubmittedJobs {
    count: f64,
    updated_at: Millis,
}

impl Cell {
    /// Applies the tenants of a new configuration.
    pub fn set_tenants(&mut self, tenants: Vec<TenantTerms>, now: Millis) {
        let former = self.tenants.iter().map(|(no, terms)| (no, terms.cap));
        let former: Vec<(TenantNo, Size)> = former.collect();
        self.tenants.update(tenants);
        let terms = &self.tenants;
        let is_lowered = |no: TenantNo, cap: &Size| !limit(cap).fits(&limit(&terms.terms(no).cap));
        let lowered = former.iter().filter(|(no, cap)| is_lowered(*no, cap));
        let lowered: Vec<TenantNo> = lowered.map(|(no, _)| *no).collect();
        self.apply_lowered_caps(&lowered, now);
        self.plan_needed = true;
    }

    /// Returns the name of the tenant of a known job; empty for a job without one.
    #[must_use]
    pub fn tenant_of(&self, id: JobId) -> Option<&str> {
        let job = self.job(id)?;
        Some(self.tenant_name(job.tenant))
    }

    /// Returns the name of a job's tenant; empty for none.
    pub(crate) fn tenant_name(&self, tenant: Option<TenantNo>) -> &str {
        tenant.map_or("", |tenant| self.tenants.terms(tenant).name.as_str())
    }

    /// Returns true if another job of a tenant would exceed the tenant's rate.
    pub(super) fn is_excess(&self, tenant: Option<TenantNo>, now: Millis) -> bool {
        let Some((tenant, rate)) = self.job_rate(tenant) else {
            return false;
        };
        let burst = (rate * BURST_SECS).max(1.0);
        self.submitted_lately(tenant, rate, now) + 1.0 > burst + ROUNDING
    }

    /// Counts an accepted job towards the rate of its tenant.
    pub(super) fn count_submitted(&mut self, tenant: Option<TenantNo>, now: Millis) {
        let Some((tenant, rate)) = self.job_rate(tenant) else {
            return;
        };
        let count = 1.0 + self.submitted_lately(tenant, rate, now);
        if self.submitted.len() <= tenant.index() {
            let default = SubmittedJobs::default();
            self.submitted.resize(tenant.index() + 1, default);
        }
        self.submitted[tenant.index()] = SubmittedJobs {
            count,
            updated_at: now,
        };
    }

    /// Returns a tenant that has a rate, and its jobs per second.
    fn job_rate(&self, tenant: Option<TenantNo>) -> Option<(TenantNo, f64)> {
        let tenant = tenant?;
        let rate = self.tenants.terms(tenant).weight;
        (rate > 0.0 && rate.is_finite()).then_some((tenant, rate))
    }

    fn submitted_lately(&self, tenant: TenantNo, rate: f64, now: Millis) -> f64 {
        let known = self.submitted.get(tenant.index());
        let SubmittedJobs { count, updated_at } = known.copied().unwrap_or_default();
        (count - rate * now.since(updated_at).duration().as_secs_f64()).max(0.0)
    }

    /// Returns what each tenant occupies.
    #[must_use]
    pub fn tenant_usage(&self, now: Millis) -> Vec<(&TenantTerms, Size)> {
        let accounts = self.count_occupied(now);
        let tenants = self.tenants.iter();
        let usage = tenants.map(|(no, terms)| (terms, accounts[account_index(Some(no))].used));
        usage.collect()
    }

    /// Recomputes the accounts for a planning pass.
    pub(crate) fn update_accounts(&mut self, now: Millis) {
        if self.tenants.is_empty() {
            return;
        }
        self.accounts = self.count_occupied(now);
        if !self.is_recovered() {
            self.count_unlisted(now);
        }
    }

    /// Adds a run that starts in this planning pass to the account of its tenant.
    pub(crate) fn charge_start(&mut self, tenant: Option<TenantNo>, size: &Size) {
        if let Some(account) = self.accounts.get_mut(account_index(tenant)) {
            account.used = account.used.plus(size);
        }
    }

    pub(super) fn count_occupied(&self, now: Millis) -> Vec<Account> {
        let mut accounts = vec![Account::default(); 1 + self.tenants.len()];
        for vm in self.vms.values() {
            let runs = vm.runs.iter().map(|vm_run| (vm_run.tenant, &vm_run.size));
            let late = vm.late_starts.iter();
            let late = late.filter(|late| now.since(late.released_at) <= LATE_START_RETENTION);
            let late = late.map(|late| (late.tenant, &late.size));
            for (tenant, size) in runs.chain(late) {
                let used = &mut accounts[account_index(tenant)].used;
                *used = used.plus(size);
            }
        }
        accounts
    }

    /// Counts the tasks of restored jobs that may have runs which no VM has listed yet, in all steps: the
    /// predecessor may have opened a step before the end of the one before it was durable.
    fn count_unlisted(&mut self, now: Millis) {
        let restored = self
            .jobs
            .values()
            .filter(|job| job.restored && job.end.is_none());
        for job in restored {
            let unlisted = &mut self.accounts[account_index(job.tenant)].unlisted;
            *unlisted = unlisted.plus(&unlisted_size(job, now));
        }
        let Some(limit) = self.awaited_capacity() else {
            return;
        };
        for account in &mut self.accounts {
            account.unlisted = smaller(&account.unlisted, &limit);
        }
    }

    /// Returns the capacity of the VMs that have not listed their runs since the takeover. A VM that has
    /// left the registry counts as the largest one in it; `None` if there is none to compare with.
    fn awaited_capacity(&self) -> Option<Size> {
        let capacities = self.vms.values().map(|vm| &vm.info.capacity);
        let largest = capacities.fold(Size::ZERO, |max, capacity| larger(&max, capacity));
        let mut sum = Size::ZERO;
        for vm in self.vms.values().filter(|vm| vm.awaited) {
            let is_known = vm.info.capacity != Size::ZERO;
            let capacity = if is_known { vm.info.capacity } else { largest };
            if capacity == Size::ZERO {
                return None;
            }
            // Runs may occupy more than the capacity of a VM that has shrunk.
            sum = sum.plus(&larger(&capacity, &vm.used));
        }
        Some(sum)
    }
}

/// Returns the smaller amount of each resource that tasks need.
fn smaller(one: &Size, other: &Size) -> Size {
    Size {
        milli_cores: one.milli_cores.min(other.milli_cores),
        memory_mb: one.memory_mb.min(other.memory_mb),
        accelerators: one.accelerators.min(other.accelerators),
        ..*one
    }
}

/// Returns the larger amount of each resource that tasks need.
fn larger(one: &Size, other: &Size) -> Size {
    Size {
        milli_cores: one.milli_cores.max(other.milli_cores),
        memory_mb: one.memory_mb.max(other.memory_mb),
        accelerators: one.accelerators.max(other.accelerators),
        ..*one
    }
}

/// Returns what the unlisted runs of a restored job may occupy, including those of rounds that only the
/// predecessor has started.
fn unlisted_size(job: &Job, now: Millis) -> Size {
    let mut sum = Size::ZERO;
    let unstarted = job.unstarted_rounds(now);
    for step in job.spec.steps.iter().filter(|_| unstarted > 0) {
        let runs = step.count * (1 + u32::from(copies_allowed(step)));
        let size = occupied_size(step);
        sum = sum.plus(&times(&size, runs.saturating_mul(unstarted)));
    }
    for round in &job.rounds {
        for (step, state) in job.spec.steps.iter().zip(&round.steps) {
            let size = occupied_size(step);
            // Of a task that may have copies, only one run may have been listed so far.
            let copies = u32::from(copies_allowed(step));
            let runs = state.tasks.iter().map(|task| match task.phase {
                Phase::Waiting => 1 + copies,
                Phase::Placed(_) => copies,
                Phase::Done => 0,
            });
            sum = sum.plus(&times(&size, runs.sum()));
        }
    }
    sum
}
