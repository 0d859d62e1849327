//! Reservation of capacity for gangs until they can start.
//!
//! A call for advice takes as long as many tasks run. Without a reservation, work that comes later
//! in the queue would fill a gang's capacity before its tickets arrive.

use std::cmp::Reverse;

use dotterel_kernel::{Millis, Size};
use slotmap::SecondaryMap;

use crate::cell::Cell;
use crate::job::{StepRef, StepState};
use crate::plan::fit::TICKET_MARGIN;
use crate::plan::occupied_size;
use crate::plan::preempt::Offer;
use crate::spec::Step;
use crate::vm::{Vm, VmKey, VmRun};

/// Number of gangs at the head of the queue that may preempt runs.
const MAX_PREEMPTING_GANGS: u32 = 12;
/// Number of gangs at the head of the queue that hold partial capacity until there is enough; more
/// would leave VMs idle.
const MAX_ACCUMULATING_GANGS: u32 = 2;
/// A reservation expires if the gang is not planned again within this time.
const RESERVATION_TTL: Millis = Millis(200);

/// A VM on which a gang could reserve capacity.
struct Candidate {
    offer: Offer,
    /// The gang has no reservation on it yet.
    is_new: bool,
    /// The gang has no valid ticket for it, and none is in flight.
    needs_ticket: bool,
    /// The gang has room for all its members on faster VMs.
    is_slow: bool,
}

impl Candidate {
    /// Returns a key that sorts the best candidates first: VMs already reserved, so that the choice
    /// stays stable, then those that need no preemption, then faster ones, then those with tickets.
    fn sort_key(&self) -> (bool, bool, bool, bool, Reverse<u32>, usize) {
        let victims = self.offer.victims.len();
        (
            self.is_new || self.is_slow,
            victims > 0,
            self.is_slow,
            self.needs_ticket,
            Reverse(self.offer.slots),
            victims,
        )
    }
}

impl Cell {
    /// Reserves capacity for a gang on allowed VMs, and renews its tickets once there is capacity
    /// for all members. Returns the number of members without capacity.
    ///
    /// `position` is the gang's place among those of its priority. The first ones may preempt less
    /// urgent runs, and the very first also hold partial capacity. The others only reserve capacity
    /// that is free for all members. None preempts unless `may_preempt` is set.
    pub(crate) fn reserve_gang(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        position: u32,
        may_preempt: bool,
        now: Millis,
    ) -> u32 {
        let preempt = may_preempt && position < MAX_PREEMPTING_GANGS;
        let mut candidates = self.reservation_candidates(step_ref, step, preempt, now);
        let slots = |candidate: &Candidate| candidate.offer.slots;
        let shortage = step
            .count
            .saturating_sub(candidates.iter().map(slots).sum::<u32>());
        let mut reserved = Vec::new();
        let mut renewals = Vec::new();
        let accumulates = shortage > 0 && position < MAX_ACCUMULATING_GANGS;
        if shortage == 0 || (accumulates && self.may_fit(step_ref, step, now)) {
            candidates.sort_by_key(Candidate::sort_key);
            let mut need = step.count;
            // More urgent work takes some of the capacity before the tickets arrive.
            let mut spare = step.count;
            for candidate in candidates {
                let Candidate {
                    offer,
                    needs_ticket,
                    ..
                } = candidate;
                if need == 0 && (spare == 0 || renewals.is_empty()) {
                    break;
                }
                if needs_ticket {
                    renewals.push(offer.vm);
                }
                if need == 0 {
                    spare = spare.saturating_sub(offer.slots);
                    continue;
                }
                let slots = offer.slots.min(need);
                need -= slots;
                reserved.push((offer.vm, slots));
                self.claim_offer(offer, step, slots, now);
            }
        }
        if let Some(state) = self.step_state_mut(step_ref) {
            state.reservation.slots = reserved;
        }
        if shortage == 0 {
            self.request_advice(step_ref, renewals, now);
        }
        shortage
    }

    /// Returns true if a gang fits once all runs that end by themselves have ended.
    fn may_fit(&self, step_ref: StepRef, step: &Step, now: Millis) -> bool {
        let avoid = self.avoided_by_gang(step_ref, step, now);
        let slots = self.eligible_slots(step_ref, step, &avoid).into_iter();
        let lasting_size = |vm: &Vm| {
            let lasts = |run: &&VmRun| self.step_of(run.task).is_some_and(|step| step.long_running);
            let runs = vm.runs.iter().filter(lasts);
            runs.fold(Size::ZERO, |sum, run| sum.plus(&run.size))
        };
        let fitting = slots.map(|(key, members)| {
            let vm = &self.vms[key];
            let capacity = vm.info.capacity.minus(&lasting_size(vm));
            members.min(capacity.count_fitting(&occupied_size(step)))
        });
        fitting.sum::<u32>() >= step.count
    }

    /// Returns the allowed VMs with capacity, including capacity that could be preempted if
    /// `preempt` is set.
    fn reservation_candidates(
        &self,
        step_ref: StepRef,
        step: &Step,
        preempt: bool,
        now: Millis,
    ) -> Vec<Candidate> {
        let (Some(job), Some(state)) = (self.jobs.get(step_ref.job), self.step_state(step_ref))
        else {
            return Vec::new();
        };
        let avoid = self.avoided_by_gang(step_ref, step, now);
        let vms = self.allowed_vms(step_ref, step, now).into_iter();
        let mut candidates: Vec<Candidate> = vms
            .filter(|(key, _)| !avoid.contains(key))
            .map(|(key, vm)| Candidate {
                offer: self.offer(key, vm, step_ref, step, job.policy.priority, now),
                is_new: !state
                    .reservation
                    .slots
                    .iter()
                    .any(|(chosen, _)| *chosen == key),
                needs_ticket: job.policy.advice.is_some() && !has_ticket(state, key, now),
                is_slow: false,
            })
            .filter(|candidate| candidate.offer.slots > 0)
            .filter(|candidate| preempt || candidate.offer.victims.is_empty())
            .collect();
        let rooms: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.offer.victims.is_empty())
            .map(|candidate| (candidate.offer.vm, candidate.offer.slots))
            .collect();
        let slots = candidates.iter();
        let slots: Vec<_> = slots
            .map(|candidate| (candidate.offer.vm, candidate.offer.slots))
            .collect();
        let one_rack = self.keeps_to_rack(step_ref, step, &slots, now);
        let slowest = self.slowest_class_needed(&rooms, step.count, one_rack);
        for candidate in &mut candidates {
            candidate.is_slow = self.is_slower(candidate.offer.vm, slowest);
        }
        if one_rack {
            let slots = candidates
                .iter()
                .filter(|candidate| !candidate.is_slow)
                .map(|candidate| (candidate.offer.vm, candidate.offer.slots));
            let rack = self.densest_rack(slots).map(|(rack, _)| rack);
            candidates
                .retain(|candidate| rack.as_ref() == Some(&self.vms[candidate.offer.vm].info.rack));
        }
        candidates
    }

    /// Holds capacity for tasks of a step during this planning pass.
    pub(crate) fn hold_capacity(&mut self, vm: VmKey, step: &Step, slots: u32) {
        add_capacity(&mut self.held, vm, &occupied_size(step), slots);
    }

    /// Collects the capacity reserved by gangs, so that steps earlier in the queue use other
    /// capacity if they can.
    pub(crate) fn collect_reserved(&mut self, now: Millis) {
        let mut reserved = std::mem::take(&mut self.reserved);
        reserved.clear();
        for step_ref in &self.open_steps {
            let (Some(job), Some(state)) =
                (self.jobs.get(step_ref.job), self.step_state(*step_ref))
            else {
                continue;
            };
            let step = &job.spec.steps[usize::from(step_ref.step)];
            if !step.gang || now.since(state.planned_at) > RESERVATION_TTL {
                continue;
            }
            let size = occupied_size(step);
            for (vm, slots) in &state.reservation.slots {
                add_capacity(&mut reserved, *vm, &size, *slots);
            }
        }
        self.reserved = reserved;
    }

    /// Returns the free capacity on a VM that no gang has reserved either.
    pub(crate) fn unreserved_capacity(&self, key: VmKey, vm: &Vm) -> Size {
        let free = self.free_capacity(key, vm);
        match self.reserved.get(key) {
            Some(reserved) => free.minus(reserved),
            None => free,
        }
    }
}

/// Adds the capacity of `slots` tasks to a VM's total.
fn add_capacity(totals: &mut SecondaryMap<VmKey, Size>, vm: VmKey, size: &Size, slots: u32) {
    let mut sum = totals.get(vm).copied().unwrap_or(Size::ZERO);
    for _ in 0..slots {
        sum = sum.plus(size);
    }
    totals.insert(vm, sum);
}

/// Returns true if a step has a valid ticket for a VM, or one is in flight.
fn has_ticket(state: &StepState, vm: VmKey, now: Millis) -> bool {
    let advice = &state.advice;
    let in_flight = advice.in_flight > 0 && advice.in_flight_vms.contains(&vm);
    let current = advice.allowed.iter().find(|entry| entry.vm == vm);
    in_flight || current.is_some_and(|entry| entry.expires_at > now + TICKET_MARGIN)
}
