//! VMs on which a task has failed or stalled.
//!
//! The task prefers other VMs, as the failure may be the VM's fault. That is no reason to wait for good: the VM
//! may be sound again, and it may be the only one that fits. If no other VM may be used at all, it starts
//! again at once.

use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::{StepRef, Task};
use crate::plan::gang::members_per_vm;
use crate::plan::occupied_size;
use crate::spec::Step;
use crate::vm::VmKey;

/// Time for which a task stays off a VM that has failed it even if no other VM fits. Attempts are few, and
/// work that could run may not wait for 3 s.
const MIN_AVOIDANCE: Millis = Millis::secs(2);
/// The same while other VMs fit, but are occupied by other work.
const MAX_AVOIDANCE: Millis = Millis::secs(10);

impl Cell {
    /// Returns the VMs that a task stays off for now.
    pub(crate) fn avoided_by_task(
        &self,
        step_ref: StepRef,
        step: &Step,
        task: &Task,
        now: Millis,
    ) -> Vec<VmKey> {
        let vms = task.avoided_vms.clone();
        self.avoided_now(step_ref, step, 1, vms, released_at(task), now)
    }

    /// Returns the VMs that a gang stays off for now: those on which a member has failed.
    pub(crate) fn avoided_by_gang(
        &self,
        step_ref: StepRef,
        step: &Step,
        now: Millis,
    ) -> Vec<VmKey> {
        let Some(state) = self.step_state(step_ref) else {
            return Vec::new();
        };
        let tasks = state.tasks.iter();
        let vms = tasks.flat_map(|task| task.avoided_vms.iter().copied());
        let since = state.tasks.iter().map(released_at).max();
        let since = since.unwrap_or_default();
        self.avoided_now(step_ref, step, step.count, vms.collect(), since, now)
    }

    /// Returns the VMs that a step of a service may use, once they respond and are empty, and how many of its
    /// tasks fit on each. Leaves out VMs in `avoided` and those that the advice service has not approved.
    pub(crate) fn eligible_slots(
        &self,
        step_ref: StepRef,
        step: &Step,
        avoided: &[VmKey],
    ) -> Vec<(VmKey, u32)> {
        let (Some(job), Some(state)) = (self.jobs.get(step_ref.job), self.step_state(step_ref))
        else {
            return Vec::new();
        };
        let size = occupied_size(step);
        let is_refused = |key: VmKey| {
            job.policy.advice.is_some()
                && state.advice.requested.binary_search(&key).is_ok()
                && !state.advice.allowed.iter().any(|entry| entry.vm == key)
        };
        let eligible = self.vms.iter().filter(|(key, vm)| {
            vm.is_eligible(&job.policy.service, step) && !avoided.contains(key) && !is_refused(*key)
        });
        eligible
            .map(|(key, vm)| (key, members_per_vm(vm, &size, step)))
            .collect()
    }

    /// Returns true if half of the processors of a service's VMs are in use.
    pub(crate) fn is_half_used(&self, service: &str) -> bool {
        let (mut used, mut total) = (0, 0);
        for vm in self.vms.values() {
            if vm.listed && vm.info.service == service {
                used += u64::from(vm.used.milli_cores);
                total += u64::from(vm.info.capacity.milli_cores);
            }
        }
        used * 2 >= total
    }

    /// Returns true if `avoid` contains every VM that may run a step now, including those not asked about
    /// yet, whether it has capacity or not.
    fn all_avoided(&self, step_ref: StepRef, step: &Step, avoid: &[VmKey], now: Millis) -> bool {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return false;
        };
        let advice = self.step_state(step_ref).map(|state| &state.advice);
        self.vms.iter().all(|(key, vm)| {
            let is_candidate = match advice.filter(|_| job.policy.advice.is_some()) {
                Some(advice) => {
                    advice.requested.binary_search(&key).is_err()
                        || advice.allowed.iter().any(|entry| entry.vm == key)
                }
                None => true,
            };
            !is_candidate
                || avoid.contains(&key)
                || !self.is_usable(vm, &job.policy.service, step, now)
        })
    }

    /// Returns `vms` if `count` tasks, which have been free to start since `since`, still stay off them.
    fn avoided_now(
        &self,
        step_ref: StepRef,
        step: &Step,
        count: u32,
        vms: Vec<VmKey>,
        since: Millis,
        now: Millis,
    ) -> Vec<VmKey> {
        if vms.is_empty() {
            return vms;
        }
        let waited = now.since(since);
        let is_avoiding = if self.all_avoided(step_ref, step, &vms, now) {
            false
        } else if waited < MIN_AVOIDANCE {
            true
        } else if waited < MAX_AVOIDANCE {
            let slots = self.eligible_slots(step_ref, step, &vms);
            let others: u32 = slots.iter().map(|(_, members)| *members).sum();
            let job = self.jobs.get(step_ref.job);
            others >= count && job.is_some_and(|job| self.is_half_used(&job.policy.service))
        } else {
            false
        };
        if is_avoiding { vms } else { Vec::new() }
    }
}

/// Returns when a waiting task became free to start again.
fn released_at(task: &Task) -> Millis {
    task.former
        .map_or(Millis::ZERO, |former| former.released_at)
}
