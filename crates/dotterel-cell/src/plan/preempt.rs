//! Preemption of less urgent runs that can resume.
//!
//! When large jobs arrive while the VMs are full, runs of a lower priority that save their state
//! are stopped to free capacity for the head of the queue. The capacity is held until the stops are
//! acknowledged. Runs that would lose their work are not preempted.
//!
//! A stop takes time during which the capacity is of no use, and the run resumes with a delay. So runs that
//! end soon are left alone, resumed runs go on for longer before they are stopped again, and the runs being
//! stopped at a time occupy a bounded part of the cell.

use dotterel_kernel::{Millis, Size};

use crate::cell::Cell;
use crate::job::StepRef;
use crate::spec::{Step, TaskName};
use crate::vm::{RunPhase, Vm, VmKey, VmRun};

/// Steps that may preempt or hold capacity in one pass; more leave VMs idle. A limit of
/// 29 lost a twentieth of the value of the work at 350 VMs.
pub(crate) const MAX_PREEMPTING_STEPS: u32 = 4;
/// How long a step waits for runs to end before others are preempted for it.
const PREEMPTION_DELAY: Millis = Millis(100);
/// Runs younger than this are not preempted; otherwise work would be moved around without progress.
const MIN_RUN_TIME: Millis = Millis(1000);
/// The same for runs that have resumed: they were stopped before, or have lost their VM.
const MIN_RESUMED_TIME: Millis = Millis(3000);
/// Preempted runs being stopped occupy at most one part in this many of the cell's processors; with stops of
/// nearly a second, an overloaded cell had a sixth of its runs being stopped.
const MAX_STOPPING_DIVISOR: u64 = 10;

/// Capacity on one VM for tasks of a step.
pub(crate) struct Offer {
    pub(crate) vm: VmKey,
    /// Tasks that fit once the victims and the runs already being stopped have ended.
    pub(crate) slots: u32,
    /// Runs to preempt.
    pub(crate) victims: Vec<(TaskName, u32)>,
}

impl Cell {
    /// Preempts for the waiting tasks of a step and holds the capacity; returns false if the step
    /// has to wait first.
    pub(crate) fn preempt_for(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        unplaced: u32,
        now: Millis,
    ) -> bool {
        let Some(priority) = self.jobs.get(step_ref.job).map(|job| job.policy.priority) else {
            return false;
        };
        let waited = self
            .step_state(step_ref)
            .map_or(Millis::ZERO, |state| now.since(state.opened_at));
        if waited < PREEMPTION_DELAY {
            return false;
        }
        let mut offers = self.offers(step_ref, step, priority, now);
        offers.sort_by_key(|offer| (offer.victims.len(), std::cmp::Reverse(offer.slots)));
        let mut need = unplaced;
        for offer in offers {
            if need == 0 {
                break;
            }
            let slots = offer.slots.min(need);
            need -= slots;
            self.claim_offer(offer, step, slots, now);
        }
        self.pledge(step_ref, step, unplaced - need);
        true
    }

    /// Holds the offered capacity and preempts the victims.
    pub(crate) fn claim_offer(&mut self, offer: Offer, step: &Step, slots: u32, now: Millis) {
        self.hold_capacity(offer.vm, step, slots);
        for (task, run) in offer.victims {
            self.order_stop(offer.vm, task, run, "preempted", now);
        }
    }

    fn offers(&self, step_ref: StepRef, step: &Step, priority: u8, now: Millis) -> Vec<Offer> {
        let vms = self.allowed_vms(step_ref, step, now).into_iter();
        vms.map(|(key, vm)| self.offer(key, vm, step_ref, step, priority, now))
            .filter(|offer| offer.slots > 0)
            .collect()
    }

    /// Returns the capacity that a VM has for tasks of a step, or could have after preemption.
    pub(crate) fn offer(
        &self,
        key: VmKey,
        vm: &Vm,
        step_ref: StepRef,
        step: &Step,
        priority: u8,
        now: Millis,
    ) -> Offer {
        // What stays on the VM is subtracted from its capacity, as its runs may occupy more than that
        // since the capacity has shrunk.
        let mut occupied = vm.used;
        let stopping = vm
            .runs
            .iter()
            .filter(|vm_run| matches!(vm_run.phase, RunPhase::Stopping { .. }));
        for vm_run in stopping {
            occupied = occupied.minus(&vm_run.size);
        }
        let slots_in = |capacity: &Size| self.count_slots_after_stops(step_ref, step, vm, capacity);
        let slots_beside = |occupied: &Size| {
            let free = vm.info.capacity.minus(occupied);
            slots_in(&free.minus(&self.held_capacity(key)))
        };
        let max_slots = slots_in(&vm.info.capacity);
        let mut slots = slots_beside(&occupied);
        let mut victims = Vec::new();
        if slots < max_slots {
            let mut preemptible: Vec<_> = vm
                .runs
                .iter()
                .filter(|vm_run| vm_run.priority > priority && self.is_preemptible(vm_run, now))
                .collect();
            // The least urgent first, and few large ones rather than many small ones.
            preemptible.sort_by_key(|vm_run| {
                std::cmp::Reverse((vm_run.priority, vm_run.size.milli_cores))
            });
            let mut chosen = Vec::new();
            for vm_run in preemptible {
                occupied = occupied.minus(&vm_run.size);
                chosen.push((vm_run.task, vm_run.run));
                let fitting = slots_beside(&occupied);
                if fitting > slots {
                    slots = fitting;
                    victims.append(&mut chosen);
                }
                if slots >= max_slots {
                    break;
                }
            }
        }
        Offer {
            vm: key,
            slots,
            victims,
        }
    }

    /// Returns true if a run may be stopped for more urgent work.
    fn is_preemptible(&self, vm_run: &VmRun, now: Millis) -> bool {
        let min_time = if vm_run.resumed {
            MIN_RESUMED_TIME
        } else {
            MIN_RUN_TIME
        };
        vm_run.phase == RunPhase::Running
            && vm_run.checkpoint
            && now.since(vm_run.confirmed_at) >= min_time
            && !self.ends_soon(vm_run, now)
    }

    /// Returns true if a run usually ends within the time that stopping it may take.
    fn ends_soon(&self, vm_run: &VmRun, now: Millis) -> bool {
        let left = vm_run.usual.0 * u64::from(100 - vm_run.percent.min(100)) / 100;
        let left = Millis(left).since(now.since(vm_run.progressed_at));
        vm_run.usual > Millis::ZERO && left <= self.limits().stop_timeout
    }

    /// Returns true if so many runs are being stopped that no more should be preempted.
    pub(crate) fn has_many_stops(&self) -> bool {
        let (mut stopping, mut total) = (0, 0);
        for vm in self.vms.values() {
            total += u64::from(vm.info.capacity.milli_cores);
            let stopped = vm.runs.iter().filter(|vm_run| {
                vm_run.checkpoint && matches!(vm_run.phase, RunPhase::Stopping { .. })
            });
            stopping += stopped
                .map(|vm_run| u64::from(vm_run.size.milli_cores))
                .sum::<u64>();
        }
        stopping * MAX_STOPPING_DIVISOR > total
    }

    /// Returns the usable VMs that the advice service allows, whether or not their tickets are
    /// still valid.
    pub(crate) fn allowed_vms(
        &self,
        step_ref: StepRef,
        step: &Step,
        now: Millis,
    ) -> Vec<(VmKey, &Vm)> {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return Vec::new();
        };
        let service = job.policy.service.as_str();
        let is_usable = |vm: &Vm| self.is_usable(vm, service, step, now);
        if job.policy.advice.is_none() {
            return self.vms.iter().filter(|(_, vm)| is_usable(vm)).collect();
        }
        let Some(state) = self.step_state(step_ref) else {
            return Vec::new();
        };
        let allowed = state.advice.allowed.iter();
        allowed
            .filter_map(|entry| {
                let vm = self.vms.get(entry.vm)?;
                (vm.info.incarnation == entry.incarnation && is_usable(vm))
                    .then_some((entry.vm, vm))
            })
            .collect()
    }
}
