//! Gang scheduling: tasks that only work together.
//!
//! Either all members are placed in one pass, on VMs that have replied to this scheduler, or none
//! is. Otherwise two gangs could each hold the capacity that the other one needs.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use crate::cell::Cell;
use crate::job::{Sparse, StepRef};
use crate::plan::advice::to_f32;
use crate::plan::occupied_size;
use crate::spec::Step;
use crate::vm::{Caution, Vm, VmKey};

/// A gang has enough choice if its allowed VMs, when empty, could hold it this many times.
const CHOICE_FACTOR: u32 = 3;
/// The same in a crowded cell, where most of the capacity of allowed VMs is occupied by work that can't be
/// preempted.
const CROWDED_CHOICE_FACTOR: u32 = 6;
/// A cell is crowded while less than one part in this many of its processors is free.
const CROWDED_DIVISOR: u64 = 3;
/// Capacity asked about when the allowed VMs lack capacity, as a multiple of the shortage.
const SHORTAGE_FACTOR: f32 = 3.0;
/// Factor on the number of VMs that are needed on average at the current approval rate.
const APPROVAL_MARGIN: f32 = 1.2;
/// A gang that could not start is planned again after this time, or when advice arrives. Planning a
/// gang goes through all VMs that it may use.
const GANG_RETRY_INTERVAL: Millis = Millis(40);

/// With this many gangs short of capacity, less urgent work waits if it has slack.
const MIN_LACKING_GANGS: u32 = 3;

/// Counts the waiting gangs of each priority during a planning pass.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GangQueue {
    priority: u8,
    seen: u32,
    /// Gangs that lack capacity.
    lacking: u32,
    lacking_priority: u8,
    /// Runs may be preempted in this pass.
    may_preempt: bool,
}

impl GangQueue {
    pub(crate) fn new(may_preempt: bool) -> Self {
        Self {
            may_preempt,
            ..Self::default()
        }
    }

    /// Returns true if several gangs more urgent than `priority` lack capacity.
    pub(crate) const fn blocks_below(&self, priority: u8) -> bool {
        self.lacking >= MIN_LACKING_GANGS && self.lacking_priority < priority
    }

    /// Returns how many gangs of this priority came before; priorities arrive in order.
    fn next_position(&mut self, priority: u8) -> u32 {
        if priority != self.priority {
            self.priority = priority;
            self.seen = 0;
        }
        self.seen += 1;
        self.seen - 1
    }
}

impl Cell {
    /// Returns true if little of the cell's capacity is free.
    fn is_crowded(&self) -> bool {
        let (mut free, mut total) = (0, 0);
        for vm in self.vms.values().filter(|vm| vm.fenced) {
            free += u64::from(vm.free().milli_cores);
            total += u64::from(vm.info.capacity.milli_cores);
        }
        free * CROWDED_DIVISOR < total
    }

    /// Starts a gang, reserves capacity for it, or requests advice.
    pub(crate) fn plan_gang(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        gangs: &mut GangQueue,
        now: Millis,
    ) {
        let (Some(job), Some(state)) = (self.jobs.get(step_ref.job), self.step_state(step_ref))
        else {
            return;
        };
        let Some(caution) = self.gang_caution(step_ref, now) else {
            return;
        };
        if !self.risk.allows(caution) {
            return;
        }
        // Gangs beyond the rate of their tenant neither preempt runs nor hold partial capacity.
        let position = if job.excess {
            u32::MAX
        } else {
            gangs.next_position(job.policy.priority)
        };
        if state.reservation.shortage > 0 && !job.excess {
            gangs.lacking += 1;
            gangs.lacking_priority = job.policy.priority;
        }
        if now.since(state.planned_at) < GANG_RETRY_INTERVAL {
            let slots = state.reservation.slots.clone();
            for (vm, count) in slots {
                self.hold_capacity(vm, step, count);
            }
            self.pledge_gang(step_ref, step);
            return;
        }
        if let Some(state) = self.step_state_mut(step_ref) {
            state.planned_at = now;
        }
        let unplaced = self.place_gang(step_ref, step, caution, now);
        if unplaced == 0 {
            self.risk.take(caution);
            if caution == Caution::Guarded {
                self.guarded_rate.record();
            }
            if let Some(state) = self.step_state_mut(step_ref) {
                state.reservation = Sparse::default();
                state.planned_at = Millis::ZERO;
            }
            return;
        }
        if caution > Caution::None {
            // A reservation would not keep the VMs free of runs that have just started.
            self.risk.take_attempt();
            self.request_more_advice(step_ref, step, step.count, now);
            return;
        }
        let shortage = self.reserve_gang(step_ref, step, position, gangs.may_preempt, now);
        if let Some(state) = self.step_state_mut(step_ref) {
            state.reservation.shortage = shortage;
        }
        self.pledge_gang(step_ref, step);
        if shortage > 0 {
            self.request_gang_advice(step_ref, step, shortage, now);
        }
    }

    /// Sets aside headroom for a gang that has capacity reserved, so that its tenant's later steps don't
    /// take the headroom while the capacity is idle.
    fn pledge_gang(&mut self, step_ref: StepRef, step: &Step) {
        let state = self.step_state(step_ref);
        if state.is_some_and(|state| !state.reservation.slots.is_empty()) {
            self.pledge(step_ref, step, step.count);
        }
    }

    /// Requests advice about as many VMs as a gang needs to have enough choice; `shortage` is the
    /// number of members without capacity. Beyond that, requests are only made while advisers are
    /// idle.
    ///
    /// Most of a call's cost is fixed, so a few calls that name many VMs keep waiting gangs from
    /// occupying all nodes.
    pub(crate) fn request_gang_advice(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        shortage: u32,
        now: Millis,
    ) {
        let (Some(job), Some(state)) = (self.jobs.get(step_ref.job), self.step_state(step_ref))
        else {
            return;
        };
        if job.policy.advice.is_none() || !self.may_request_advice(step_ref, now) {
            return;
        }
        let size = occupied_size(step);
        let avoid = self.avoided_by_gang(step_ref, step, now);
        let known = self.allowed_vms(step_ref, step, now).into_iter();
        let known: u32 = known
            .filter(|(key, _)| !avoid.contains(key))
            .map(|(_, vm)| members_per_vm(vm, &size, step))
            .sum();
        let rate = self.approval_rate(&job.policy.queue);
        let factor = if self.is_crowded() {
            CROWDED_CHOICE_FACTOR
        } else {
            CHOICE_FACTOR
        };
        let wanted = step.count.saturating_mul(factor);
        let has_choice = known >= wanted;
        if has_choice && !self.advisers_idle(now) {
            return;
        }
        let mut unknown = Vec::new();
        for (key, vm) in &self.vms {
            let requested = state.advice.requested.binary_search(&key).is_ok();
            if requested
                || avoid.contains(&key)
                || !self.is_usable(vm, &job.policy.service, step, now)
            {
                continue;
            }
            let offer = self.offer(key, vm, step_ref, step, job.policy.priority, now);
            let slots = offer.slots;
            unknown.push((slots, members_per_vm(vm, &size, step), key));
        }
        unknown.sort_by_key(|(slots, _, key)| {
            let class = self.speed_class(*key);
            (
                *slots == 0,
                std::cmp::Reverse(class),
                std::cmp::Reverse(*slots),
            )
        });
        let mut sum = 0.0;
        let mut chosen = Vec::new();
        for (slots, max_members, key) in unknown {
            let enough = if has_choice {
                slots == 0 || sum >= to_f32(shortage) * SHORTAGE_FACTOR
            } else {
                sum >= to_f32(wanted - known) * APPROVAL_MARGIN
            };
            if enough {
                break;
            }
            sum += to_f32(if has_choice { slots } else { max_members }) * rate;
            chosen.push(key);
        }
        self.request_advice(step_ref, chosen, now);
    }

    /// Starts all members or none; returns how many still wait.
    fn place_gang(&mut self, step_ref: StepRef, step: &Step, caution: Caution, now: Millis) -> u32 {
        let Some(state) = self.step_state(step_ref) else {
            return 0;
        };
        if self.startable_tasks(step_ref).len() < state.tasks.len() {
            // The previous run has members that have not ended yet, or may have ended unnoticed.
            return 0;
        }
        let mut slots = self.gang_slots(step_ref, step, caution, now);
        let count = step.count;
        let rooms: Vec<_> = slots.iter().map(|(key, room, _)| (*key, *room)).collect();
        let one_rack = self.keeps_to_rack(step_ref, step, &rooms, now);
        let slowest = self.slowest_class_needed(&rooms, count, one_rack);
        slots.retain(|(key, ..)| !self.is_slower(*key, slowest));
        if one_rack {
            let densest = self.densest_rack(slots.iter().map(|(key, members, _)| (*key, *members)));
            let rack = densest.map(|(rack, _)| rack);
            slots.retain(|(key, ..)| rack.as_ref() == Some(&self.vms[*key].info.rack));
        }
        if slots.iter().map(|(_, members, _)| *members).sum::<u32>() < count {
            return count;
        }
        // Use as few VMs as possible, so that a failing VM breaks few gangs.
        slots.sort_by_key(|(key, members, _)| {
            (
                now < self.vms[*key].risked_until,
                std::cmp::Reverse(*members),
            )
        });
        if step.one_rack && !one_rack {
            self.note_racks(step_ref, step, &slots, now);
        }
        let highest_run = self.step_state(step_ref).map_or(1, |state| {
            state
                .tasks
                .iter()
                .map(|task| task.highest_run)
                .max()
                .unwrap_or(0)
        });
        if let Some(state) = self.step_state_mut(step_ref) {
            for task in &mut state.tasks {
                task.highest_run = highest_run;
            }
        }
        let mut index = 0;
        for (vm, members, ticket) in slots {
            for _ in 0..members {
                if index == count {
                    return 0;
                }
                if caution == Caution::None {
                    self.start_task(step_ref, index, vm, ticket.clone(), now);
                } else {
                    self.start_cautiously(step_ref, index, vm, ticket.clone(), caution, now);
                }
                index += 1;
            }
        }
        0
    }

    /// Returns the VMs with capacity, the number of members that fit on each, and their tickets.
    fn gang_slots(
        &self,
        step_ref: StepRef,
        step: &Step,
        caution: Caution,
        now: Millis,
    ) -> Vec<(VmKey, u32, CompactString)> {
        let avoid = self.avoided_by_gang(step_ref, step, now);
        let tasks = self.step_state(step_ref).map(|state| &state.tasks);
        let lost_at = tasks.and_then(|tasks| tasks.iter().map(|task| task.lost_at).max());
        let wanted = self.wanted_vm(step_ref, lost_at.unwrap_or_default(), now);
        let mut slots = Vec::new();
        for (key, ticket) in self.startable_vms(step_ref, step, now) {
            if avoid.contains(&key) {
                continue;
            }
            let vm = &self.vms[key];
            if !Self::may_risk(vm, caution, wanted, now) {
                continue;
            }
            let capacity = self.free_capacity(key, vm);
            let members = self.count_slots(step_ref, step, vm, &capacity);
            if members > 0 {
                slots.push((key, members, ticket));
            }
        }
        slots
    }
}

/// Returns the number of members that an empty VM holds.
pub(crate) fn members_per_vm(vm: &Vm, size: &Size, step: &Step) -> u32 {
    vm.info
        .capacity
        .count_fitting(size)
        .min(step.tasks_per_vm())
}
