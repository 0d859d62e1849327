//! Selection of a VM for a task.
//!
//! Uses best fit: the VM with the least capacity left is chosen, so that others stay free
//! for wide tasks.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use crate::cell::Cell;
use crate::job::StepRef;
use crate::plan::caution::EXPOSURE_WEIGHT;
use crate::plan::occupied_size;
use crate::plan::pace::MAX_PREFERENCE_WEIGHT;
use crate::spec::{Step, TaskName};
use crate::vm::{MAX_REPLY_AGE, RunPhase, Vm, VmKey};

/// A ticket with less time left than this might expire in transit.
pub(crate) const TICKET_MARGIN: Millis = Millis(120);
/// Penalty for capacity reserved by a gang: more than any leftover capacity, less than another
/// rack.
const RESERVED_WEIGHT: u64 = 10_000;
/// Penalty for a VM that is risked for tasks that may crash it: the same as for reserved capacity.
const RISKED_WEIGHT: u64 = 10_000;
/// Penalty for a VM that is behind with its orders: the same as for reserved capacity.
const LATE_VM_WEIGHT: u64 = 10_000;
/// Penalty for a VM outside the rack that holds the data: more than any leftover capacity.
const OTHER_RACK_WEIGHT: u64 = 1_000_000;
/// Penalty for a VM on which the task has failed: more than for another rack.
const FAILED_VM_WEIGHT: u64 = 2_000_000;
/// Penalty for a VM whose runs slow the task, or are slowed by it: more than any leftover capacity.
const APART_WEIGHT: u64 = 3000;

impl Cell {
    /// Finds the VMs that are behind with their orders.
    pub(crate) fn collect_late_vms(&mut self, now: Millis) {
        let late = self.vms.iter().filter(|(_, vm)| vm.has_delayed_starts(now));
        self.late_vms = late.map(|(key, _)| (key, ())).collect();
    }

    /// Returns true if a VM may run tasks of a step, regardless of capacity.
    pub(crate) fn is_usable(&self, vm: &Vm, service: &str, step: &Step, now: Millis) -> bool {
        vm.may_run(service, step)
            && now >= vm.not_before
            && now >= vm.exclusive_until
            && now.since(vm.answered_at) <= MAX_REPLY_AGE
            && vm.accepts_task(now)
    }

    /// Returns the capacity on a VM that is neither occupied nor held for more urgent work.
    pub(crate) fn free_capacity(&self, key: VmKey, vm: &Vm) -> Size {
        vm.free().minus(&self.held_capacity(key))
    }

    /// Returns the capacity on a VM that is held for more urgent work.
    pub(crate) fn held_capacity(&self, key: VmKey) -> Size {
        self.held.get(key).copied().unwrap_or(Size::ZERO)
    }

    /// Returns how many more tasks of a step fit into `capacity` of a VM, within the step's limit
    /// per VM.
    pub(crate) fn count_slots(
        &self,
        step_ref: StepRef,
        step: &Step,
        vm: &Vm,
        capacity: &Size,
    ) -> u32 {
        // A VM that has shrunk below what its runs occupy gets no others, whichever capacity they need.
        if !vm.used.fits(&vm.info.capacity) {
            return 0;
        }
        let runs = self.step_runs(step_ref, step, vm, |_| true);
        slots_beside(step, runs, capacity)
    }

    /// Returns the same for when the runs that are being stopped have ended and their capacity is
    /// part of `capacity`.
    pub(crate) fn count_slots_after_stops(
        &self,
        step_ref: StepRef,
        step: &Step,
        vm: &Vm,
        capacity: &Size,
    ) -> u32 {
        let is_staying = |phase| !matches!(phase, RunPhase::Stopping { .. });
        let runs = self.step_runs(step_ref, step, vm, is_staying);
        slots_beside(step, runs, capacity)
    }

    /// Counts the runs of a step on a VM if the step has a limit per VM.
    fn step_runs(
        &self,
        step_ref: StepRef,
        step: &Step,
        vm: &Vm,
        is_counted: impl Fn(RunPhase) -> bool,
    ) -> u32 {
        let job = self.jobs.get(step_ref.job);
        let Some(job) = job.filter(|_| step.max_per_vm > 0) else {
            return 0;
        };
        let name = TaskName {
            job: job.id,
            round: step_ref.round,
            step: step_ref.step,
            index: 0,
        };
        vm.count_step_runs(name, is_counted)
    }

    /// Returns the VMs on which a step may start now, regardless of capacity, with their tickets.
    pub(crate) fn startable_vms(
        &self,
        step_ref: StepRef,
        step: &Step,
        now: Millis,
    ) -> Vec<(VmKey, CompactString)> {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return Vec::new();
        };
        let service = job.policy.service.as_str();
        let mut found = Vec::new();
        if job.policy.advice.is_some() {
            let Some(state) = self.step_state(step_ref) else {
                return found;
            };
            for allowed in &state.advice.allowed {
                let Some(vm) = self.vms.get(allowed.vm) else {
                    continue;
                };
                let valid = allowed.expires_at > now + TICKET_MARGIN
                    && vm.info.incarnation == allowed.incarnation;
                if valid && self.is_usable(vm, service, step, now) {
                    found.push((allowed.vm, allowed.ticket.clone()));
                }
            }
        } else {
            for (key, vm) in &self.vms {
                if self.is_usable(vm, service, step, now) {
                    found.push((key, CompactString::default()));
                }
            }
        }
        found
    }

    /// Returns the VM with the least capacity left after placing a task, and its ticket.
    pub(crate) fn best_vm(
        &self,
        step_ref: StepRef,
        step: &Step,
        index: u32,
        now: Millis,
    ) -> Option<(VmKey, CompactString)> {
        let task = &self.step_state(step_ref)?.tasks[index as usize];
        let size = occupied_size(step);
        let avoided = self.avoided_by_task(step_ref, step, task, now);
        let name = self.task_name(step_ref, index)?;
        let spread = self.is_spread(step_ref, now);
        let pace = self.pace(step_ref, step, now);
        let to_avoid = self.kinds_to_avoid(step_ref, step, now);
        let mut best: Option<(u64, VmKey, CompactString)> = None;
        for (key, ticket) in self.startable_vms(step_ref, step, now) {
            let vm = &self.vms[key];
            let available = self.free_capacity(key, vm);
            let has_slot = self.count_slots(step_ref, step, vm, &available) > 0;
            // A copy is of no use beside the run that it replaces.
            let has_run = !task.avoided_vms.is_empty() && vm.has_run_of(name);
            if !has_slot || avoided.contains(&key) || has_run {
                continue;
            }
            let mut weight = leftover(&available.minus(&size), &vm.info.capacity);
            let mut preference = pace.map_or(0, |pace| pace.weight(self.speeds.level(key)));
            if to_avoid.is_some_and(|kinds| !self.interference.on_vm(key).is_disjoint(kinds)) {
                preference += APART_WEIGHT;
            }
            weight += preference.min(MAX_PREFERENCE_WEIGHT);
            if spread {
                weight += self.exposure(vm, now) * EXPOSURE_WEIGHT;
            }
            if !step.rack.is_empty() && step.rack != vm.info.rack {
                weight += OTHER_RACK_WEIGHT;
            }
            if task.avoided_vms.contains(&key) {
                weight += FAILED_VM_WEIGHT;
            }
            if !size.fits(&self.unreserved_capacity(key, vm)) {
                weight += RESERVED_WEIGHT;
            }
            if now < vm.risked_until {
                weight += RISKED_WEIGHT;
            }
            if self.late_vms.contains_key(key) {
                weight += LATE_VM_WEIGHT;
            }
            if best.as_ref().is_none_or(|(least, ..)| weight < *least) {
                best = Some((weight, key, ticket));
            }
        }
        best.map(|(_, key, ticket)| (key, ticket))
    }
}

/// Returns how many tasks of a step fit into `capacity` of a VM that has `runs` of them.
fn slots_beside(step: &Step, runs: u32, capacity: &Size) -> u32 {
    capacity
        .count_fitting(&occupied_size(step))
        .min(step.tasks_per_vm().saturating_sub(runs))
        .min(step.count)
}

/// Returns the remaining capacity in thousandths of the VM, summed over CPU and memory.
pub(crate) fn leftover(rest: &Size, capacity: &Size) -> u64 {
    let share = |part: u32, whole: u32| u64::from(part) * 1000 / u64::from(whole.max(1));
    share(rest.milli_cores, capacity.milli_cores) + share(rest.memory_mb, capacity.memory_mb)
}
