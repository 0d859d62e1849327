//! Room made by stopping less urgent work that can resume.
//!
//! Answers the pattern "large jobs come at once while the VMs are full of drawings": work of a
//! lower priority that saves its state is stopped where that makes room for the head of the queue,
//! and the room is held for it until its stops are answered. Work that would be lost is left alone.

use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::StepRef;
use crate::plan::room_for;
use crate::spec::{Step, TaskName};
use crate::vm::{RunPhase, Vm, VmKey};

/// Steps for which room is made or held in one pass; more leave VMs idle (29 instead of 4 cost a
/// twentieth of the worth at 350 VMs).
pub(crate) const MAX_PREEMPTING_STEPS: u32 = 4;
/// A step waits this long for runs to end by themselves before others are stopped for it.
const PREEMPTION_DELAY: Millis = Millis(100);
/// A run isn't stopped before it has run so long, or work would be moved about without progress.
const MIN_RUN_TIME: Millis = Millis(1000);

/// Room on one VM for tasks of a step.
pub(crate) struct Offer {
    pub(crate) vm: VmKey,
    /// Tasks for which there is room, once runs that are being stopped and the victims are gone.
    pub(crate) slots: u32,
    /// Runs to stop for it.
    pub(crate) victims: Vec<(TaskName, u32)>,
}

impl Cell {
    /// Makes and holds room for the waiting tasks of a step; returns false when it can't.
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
            .map_or(Millis::ZERO, |run| now.since(run.opened_at));
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
            self.claim_offer(offer, step, slots);
        }
        true
    }

    /// Holds room that was offered and stops what stands in its way.
    pub(crate) fn claim_offer(&mut self, offer: Offer, step: &Step, slots: u32) {
        self.hold_room(offer.vm, step, slots);
        for (task, run) in offer.victims {
            self.order_stop(offer.vm, task, run, "preempted");
        }
    }

    fn offers(&self, step_ref: StepRef, step: &Step, priority: u8, now: Millis) -> Vec<Offer> {
        let vms = self.allowed_vms(step_ref, step, now).into_iter();
        vms.map(|(key, vm)| self.offer(key, vm, step, priority, now))
            .filter(|offer| offer.slots > 0)
            .collect()
    }

    /// Returns the room that a VM has, or could have, for tasks of a step.
    pub(crate) fn offer(
        &self,
        key: VmKey,
        vm: &Vm,
        step: &Step,
        priority: u8,
        now: Millis,
    ) -> Offer {
        let size = room_for(step);
        let mut room = self.free_room(key, vm);
        let stopping = vm
            .runs
            .iter()
            .filter(|vm_run| matches!(vm_run.phase, RunPhase::Stopping { .. }));
        for vm_run in stopping {
            room = room.plus(&vm_run.size);
        }
        let max_slots = step.tasks_per_vm();
        let mut slots = room.count(&size).min(max_slots);
        let mut victims = Vec::new();
        if slots < max_slots {
            let mut preemptible: Vec<_> = vm
                .runs
                .iter()
                .filter(|vm_run| {
                    vm_run.phase == RunPhase::Running
                        && vm_run.checkpoint
                        && vm_run.priority > priority
                        && now.since(vm_run.confirmed_at) >= MIN_RUN_TIME
                })
                .collect();
            preemptible.sort_by_key(|vm_run| std::cmp::Reverse(vm_run.priority));
            let mut chosen = Vec::new();
            for vm_run in preemptible {
                room = room.plus(&vm_run.size);
                chosen.push((vm_run.task, vm_run.run));
                let fitting = room.count(&size).min(max_slots);
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

    /// Returns the usable VMs that the advice service allows, whether or not tickets still hold.
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
        let Some(run) = self.step_state(step_ref) else {
            return Vec::new();
        };
        let allowed = run.advice.allowed.iter();
        allowed
            .filter_map(|entry| {
                let vm = self.vms.get(entry.vm)?;
                (vm.info.incarnation == entry.born && is_usable(vm)).then_some((entry.vm, vm))
            })
            .collect()
    }
}
