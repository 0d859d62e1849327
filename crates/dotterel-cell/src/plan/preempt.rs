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
pub(crate) const MAX_MAKERS: u32 = 4;
/// A step waits this long for runs to end by themselves before others are stopped for it.
const PATIENCE: Millis = Millis(100);
/// A run isn't stopped before it has run so long, or work would be moved about without progress.
const MIN_RUN: Millis = Millis(1000);

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
    pub(crate) fn make_room(&mut self, at: StepRef, step: &Step, left: u32, now: Millis) -> bool {
        let Some(priority) = self.jobs.get(at.job).map(|job| job.policy.priority) else {
            return false;
        };
        let waited = self
            .step_run(at)
            .map_or(Millis::ZERO, |run| now.since(run.opened));
        if waited < PATIENCE {
            return false;
        }
        let mut offers = self.offers(at, step, priority, now);
        offers.sort_by_key(|offer| (offer.victims.len(), std::cmp::Reverse(offer.slots)));
        let mut need = left;
        for offer in offers {
            if need == 0 {
                break;
            }
            let slots = offer.slots.min(need);
            need -= slots;
            self.take_offer(offer, step, slots);
        }
        true
    }

    /// Holds room that was offered and stops what stands in its way.
    pub(crate) fn take_offer(&mut self, offer: Offer, step: &Step, slots: u32) {
        self.hold(offer.vm, step, slots);
        for (task, run) in offer.victims {
            self.order_stop(offer.vm, task, run, "preempted");
        }
    }

    fn offers(&self, at: StepRef, step: &Step, priority: u8, now: Millis) -> Vec<Offer> {
        let vms = self.allowed_vms(at, step, now).into_iter();
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
        let mut room = self.room(key, vm);
        let coming = vm
            .runs
            .iter()
            .filter(|on| matches!(on.phase, RunPhase::Stopping { .. }));
        for on in coming {
            room = room.plus(&on.size);
        }
        let most = step.most_per_vm();
        let mut slots = room.count_fitting(&size).min(most);
        let mut victims = Vec::new();
        if slots < most {
            let mut weaker: Vec<_> = vm
                .runs
                .iter()
                .filter(|on| {
                    on.phase == RunPhase::Running
                        && on.checkpoint
                        && on.priority > priority
                        && now.since(on.confirmed) >= MIN_RUN
                })
                .collect();
            weaker.sort_by_key(|on| std::cmp::Reverse(on.priority));
            let mut taken = Vec::new();
            for on in weaker {
                room = room.plus(&on.size);
                taken.push((on.task, on.run));
                let now_fit = room.count_fitting(&size).min(most);
                if now_fit > slots {
                    slots = now_fit;
                    victims.append(&mut taken);
                }
                if slots >= most {
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
    pub(crate) fn allowed_vms(&self, at: StepRef, step: &Step, now: Millis) -> Vec<(VmKey, &Vm)> {
        let Some(job) = self.jobs.get(at.job) else {
            return Vec::new();
        };
        let service = job.policy.service.as_str();
        let usable = |vm: &Vm| self.usable(vm, service, step, now);
        if job.policy.advice.is_none() {
            return self.vms.iter().filter(|(_, vm)| usable(vm)).collect();
        }
        let Some(run) = self.step_run(at) else {
            return Vec::new();
        };
        let allowed = run.advice.allowed.iter();
        allowed
            .filter_map(|entry| {
                let vm = self.vms.get(entry.vm)?;
                (vm.info.born == entry.born && usable(vm)).then_some((entry.vm, vm))
            })
            .collect()
    }
}
