//! Caps of tenants: which starts they allow.
//!
//! A tenant without headroom must not delay others, so its steps are skipped before advice is requested
//! or anything is preempted or reserved for them.

use std::fmt;

use dotterel_kernel::{Millis, Size};

use super::tenants::{Account, account_index};
use super::{Cell, CellEvent};
use crate::job::{Job, Sparse, StepRef, StepState};
use crate::plan::occupied_size;
use crate::spec::{JobSpec, Step};
use crate::tenant::{TenantNo, times};
use crate::vm::StartAnswer;

/// A step that its tenant's cap never lets start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverCap {
    /// Index of the step.
    pub step: u16,
    /// What a task of the step needs, or all members of its gang.
    pub needed: Size,
    /// The cap; zero in a resource is no limit.
    pub cap: Size,
}

impl fmt::Display for OverCap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limits = [
            ("milli_cores", self.needed.milli_cores, self.cap.milli_cores),
            ("memory_mb", self.needed.memory_mb, self.cap.memory_mb),
            (
                "accelerators",
                self.needed.accelerators,
                self.cap.accelerators,
            ),
        ];
        let exceeded = limits
            .into_iter()
            .find(|(_, needed, cap)| *cap > 0 && needed > cap);
        let (name, needed, cap) = exceeded.unwrap_or(("size", 0, 0));
        let step = self.step;
        write!(
            f,
            "step {step} needs {name} {needed} at once, and the tenant's cap is {cap}"
        )
    }
}

impl Cell {
    /// Returns true if `count` tasks of a size may start for a tenant, as of the last planning pass.
    #[must_use]
    pub fn may_start_for(&self, tenant: Option<TenantNo>, size: &Size, count: u32) -> bool {
        tenant.is_none_or(|tenant| {
            let account = self.account(tenant);
            let taken = account.used.plus(&account.unlisted).plus(&account.pledged);
            if self.tenants.is_cap_lost(tenant) {
                count == 1 && taken == Size::ZERO
            } else {
                self.headroom(tenant, &taken, size) >= count
            }
        })
    }

    /// Returns how many tasks of a step its tenant's cap allows to start, which is zero for a gang that
    /// doesn't fit as a whole.
    pub(crate) fn startable_count(&self, step_ref: StepRef, step: &Step) -> u32 {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return 0;
        };
        let Some(tenant) = job.tenant else {
            return u32::MAX;
        };
        let account = self.account(tenant);
        let mut taken = account.used.plus(&account.pledged);
        if !job.restored {
            // Restored jobs start only after recovery. Their own tasks are among these, and advice may be
            // requested for them before.
            taken = taken.plus(&account.unlisted);
        }
        if self.tenants.is_cap_lost(tenant) {
            // A tenant that was removed from the configuration before a takeover: one task or gang at a time
            // lets its jobs finish without exceeding its last cap by more than that.
            let at_once = if step.gang { step.count } else { 1 };
            return if taken == Size::ZERO { at_once } else { 0 };
        }
        let count = self.headroom(tenant, &taken, &occupied_size(step));
        if step.gang && count < step.count {
            0
        } else {
            count
        }
    }

    fn account(&self, tenant: TenantNo) -> Account {
        let account = self.accounts.get(account_index(Some(tenant)));
        account.copied().unwrap_or_default()
    }

    /// Returns how many tasks of a size fit the cap of a tenant beside `taken`.
    fn headroom(&self, tenant: TenantNo, taken: &Size, size: &Size) -> u32 {
        let cap = &self.tenants.terms(tenant).cap;
        let fitting = |cap: u32, taken: u32, unit: u32| {
            let limited = cap > 0 && unit > 0;
            limited.then(|| cap.saturating_sub(taken) / unit)
        };
        let counts = [
            fitting(cap.milli_cores, taken.milli_cores, size.milli_cores),
            fitting(cap.memory_mb, taken.memory_mb, size.memory_mb),
            fitting(cap.accelerators, taken.accelerators, size.accelerators),
        ];
        counts.into_iter().flatten().min().unwrap_or(u32::MAX)
    }

    /// Returns true if the tenant of a step has no headroom for it, and drops the step's reservation.
    pub(crate) fn is_capped(&mut self, step_ref: StepRef, step: &Step) -> bool {
        if self.accounts.is_empty() || self.startable_count(step_ref, step) > 0 {
            return false;
        }
        if step.gang
            && let Some(state) = self.step_state_mut(step_ref)
        {
            state.reservation = Sparse::default();
        }
        true
    }

    /// Sets aside headroom for tasks of a step for which capacity is held in this planning pass.
    /// Otherwise runs would be stopped for several steps of which only one fits the cap.
    pub(crate) fn pledge(&mut self, step_ref: StepRef, step: &Step, count: u32) {
        let tenant = self.jobs.get(step_ref.job).and_then(|job| job.tenant);
        if let Some(account) = self.accounts.get_mut(account_index(tenant)) {
            let size = times(&occupied_size(step), count);
            account.pledged = account.pledged.plus(&size);
        }
    }

    /// Sets aside headroom for a step that waits at its tenant's cap, so that later steps of the tenant don't
    /// use what becomes free. A gang would otherwise never find headroom for all members at once.
    pub(crate) fn keep_headroom(&mut self, step_ref: StepRef, step: &Step) {
        let tenant = self.jobs.get(step_ref.job).and_then(|job| job.tenant);
        let cap = tenant.map(|tenant| limit(&self.tenants.terms(tenant).cap));
        if !cap.is_some_and(|cap| least_start(step).fits(&cap)) {
            return;
        }
        let waiting = self.startable_tasks(step_ref).len();
        self.pledge(step_ref, step, u32::try_from(waiting).unwrap_or(u32::MAX));
    }

    /// Returns the first step of a job that its tenant's cap never lets start.
    pub(super) fn over_cap(&self, tenant: Option<TenantNo>, spec: &JobSpec) -> Option<OverCap> {
        let cap = self.tenants.terms(tenant?).cap;
        (0u16..).zip(&spec.steps).find_map(|(step, spec)| {
            let needed = least_start(spec);
            (!needed.fits(&limit(&cap))).then_some(OverCap { step, needed, cap })
        })
    }

    /// Applies lowered caps: starts that were not sent yet are withdrawn until the rest fits, and jobs that
    /// can't run any more are noted.
    pub(super) fn apply_lowered_caps(&mut self, lowered: &[TenantNo], now: Millis) {
        if lowered.is_empty() {
            return;
        }
        let accounts = self.count_occupied(now);
        for tenant in lowered {
            self.withdraw_over_cap(*tenant, accounts[account_index(Some(*tenant))].used, now);
            self.note_jobs_over_cap(*tenant);
        }
    }

    fn withdraw_over_cap(&mut self, tenant: TenantNo, mut used: Size, now: Millis) {
        let cap = limit(&self.tenants.terms(tenant).cap);
        let mut unsent = Vec::new();
        for (key, vm) in &self.vms {
            let runs = vm.runs.iter().filter(|vm_run| vm_run.is_unsent());
            for vm_run in runs.filter(|vm_run| vm_run.tenant == Some(tenant)) {
                // Other members of a gang may have started, and would be stopped.
                if !self.step_of(vm_run.task).is_some_and(|step| step.gang) {
                    unsent.push((key, vm_run.task, vm_run.run, vm_run.size));
                }
            }
        }
        while !used.fits(&cap)
            && let Some((vm, task, run, size)) = unsent.pop()
        {
            used = used.minus(&size);
            self.start_answered(vm, task, run, StartAnswer::Withheld, now);
        }
    }

    fn note_jobs_over_cap(&mut self, tenant: TenantNo) {
        let jobs = self.jobs.values();
        let open = jobs.filter(|job| job.end.is_none() && job.tenant == Some(tenant));
        let mut over = open.filter_map(|job| {
            let over = self.over_cap(job.tenant, &job.spec)?;
            is_unfinished(job, over.step).then_some((job.id, over))
        });
        if let Some((job, first)) = over.next() {
            let jobs = 1 + over.count();
            self.events.push(CellEvent::JobsOverCap {
                tenant: self.tenants.terms(tenant).name.clone(),
                jobs,
                job,
                over: first,
            });
        }
    }
}

/// Returns what has to be free at once for a step to start anything.
fn least_start(step: &Step) -> Size {
    let size = occupied_size(step);
    if step.gang {
        times(&size, step.count)
    } else {
        size
    }
}

fn is_unfinished(job: &Job, step: u16) -> bool {
    let is_open = |state: &StepState| state.unfinished > 0;
    let mut rounds = job.rounds.iter();
    job.next_round < job.spec.repeats.max(1)
        || rounds.any(|round| round.steps.get(usize::from(step)).is_some_and(is_open))
}

/// Returns the most that a cap allows; zero in a resource is no limit.
pub(super) const fn limit(cap: &Size) -> Size {
    const fn or_max(limit: u32) -> u32 {
        if limit == 0 { u32::MAX } else { limit }
    }
    Size {
        milli_cores: or_max(cap.milli_cores),
        memory_mb: or_max(cap.memory_mb),
        accelerators: or_max(cap.accelerators),
        slots: or_max(cap.slots),
        connections: or_max(cap.connections),
    }
}
