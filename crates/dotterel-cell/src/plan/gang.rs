//! Tasks that only work together.
//!
//! Answers the pattern "members of two gangs hold each other's room": either all members are
//! placed in one pass, on VMs that have answered this scheduler, or none is.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use crate::cell::Cell;
use crate::job::{Phase, Reserve, StepRef};
use crate::plan::advice::to_f32;
use crate::plan::room_for;
use crate::spec::Step;
use crate::vm::{Vm, VmKey};

/// A gang has a choice when its allowed VMs, were they empty, would hold it so many times.
const CHOICE: u32 = 3;
/// Room asked for when the choice was too narrow, in multiples of what is lacking.
const SPARE: f32 = 3.0;
/// VMs asked about beyond what the share of allowed ones makes necessary on average.
const MARGIN: f32 = 1.2;
/// A gang that could not start is looked at again after this time, or when advice comes: a look
/// goes through all VMs that it may use.
const LOOK_EVERY: Millis = Millis(40);

/// So many gangs without room make less urgent work wait, if it can.
const SHORT_GANGS: u32 = 3;

/// Counts the gangs that wait, those of each priority for themselves.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Place {
    priority: u8,
    gangs: u32,
    /// Gangs of a priority that lack room.
    short: u32,
    short_of: u8,
}

impl Place {
    /// Returns true when several gangs that are more urgent than a priority wait for room.
    pub(crate) const fn are_short(&self, priority: u8) -> bool {
        self.short >= SHORT_GANGS && self.short_of < priority
    }

    /// Returns how many gangs of a priority came before; priorities come in order.
    fn next(&mut self, priority: u8) -> u32 {
        if priority != self.priority {
            self.priority = priority;
            self.gangs = 0;
        }
        self.gangs += 1;
        self.gangs - 1
    }
}

impl Cell {
    /// Starts a gang, or sets room aside for it, or asks where it may run.
    pub(crate) fn plan_gang(&mut self, at: StepRef, step: &Step, place: &mut Place, now: Millis) {
        let (Some(job), Some(run)) = (self.jobs.get(at.job), self.step_run(at)) else {
            return;
        };
        let rank = place.next(job.policy.priority);
        if run.reserve.lack > 0 {
            place.short += 1;
            place.short_of = job.policy.priority;
        }
        if now.since(run.looked) < LOOK_EVERY {
            let slots = run.reserve.slots.clone();
            for (vm, count) in slots {
                self.hold(vm, step, count);
            }
            return;
        }
        if let Some(run) = self.step_run_mut(at) {
            run.looked = now;
        }
        let left = self.place_gang(at, step, now);
        if left == 0 {
            if let Some(run) = self.step_run_mut(at) {
                run.reserve = Reserve::default();
                run.looked = Millis::ZERO;
            }
            return;
        }
        let lack = self.reserve_gang(at, step, rank, now);
        if let Some(run) = self.step_run_mut(at) {
            run.reserve.lack = lack;
        }
        if lack > 0 {
            self.ask_gang(at, step, lack, now);
        }
    }

    /// Asks about as many VMs as a gang needs to have a choice, `lack` of whose members found no
    /// room; further ones only while nodes have nothing else to ask.
    ///
    /// Answers the pattern "gangs that wait keep all nodes busy with calls": the fixed part of a
    /// call is most of it, so few calls name many VMs.
    pub(crate) fn ask_gang(&mut self, at: StepRef, step: &Step, lack: u32, now: Millis) {
        let (Some(job), Some(run)) = (self.jobs.get(at.job), self.step_run(at)) else {
            return;
        };
        if job.policy.advice.is_none() || !self.may_ask(at, now) {
            return;
        }
        let size = room_for(step);
        let avoid = self.avoided_by_gang(at, step, now);
        let known = self.allowed_vms(at, step, now).into_iter();
        let known: u32 = known
            .filter(|(key, _)| !avoid.contains(key))
            .map(|(_, vm)| members(vm, &size, step))
            .sum();
        let share = self.good_share(&job.policy.queue);
        let choice = step.count.saturating_mul(CHOICE);
        let chosen = known >= choice;
        if chosen && !self.advisers_idle(now) {
            return;
        }
        let mut fresh = Vec::new();
        for (key, vm) in &self.vms {
            let asked = run.advice.asked.binary_search(&key).is_ok();
            if asked || avoid.contains(&key) || !self.usable(vm, &job.policy.service, step, now) {
                continue;
            }
            let slots = self.offer(key, vm, step, job.policy.priority, now).slots;
            fresh.push((slots, members(vm, &size, step), key));
        }
        fresh.sort_by_key(|(slots, ..)| std::cmp::Reverse(*slots));
        let mut sum = 0.0;
        let mut named = Vec::new();
        for (slots, most, key) in fresh {
            let enough = if chosen {
                slots == 0 || sum >= to_f32(lack) * SPARE
            } else {
                sum >= to_f32(choice - known) * MARGIN
            };
            if enough {
                break;
            }
            sum += to_f32(if chosen { slots } else { most }) * share;
            named.push(key);
        }
        self.ask_about(at, named, now);
    }

    /// Starts all members or none; returns how many wait.
    fn place_gang(&mut self, at: StepRef, step: &Step, now: Millis) -> u32 {
        let Some(run) = self.step_run(at) else {
            return 0;
        };
        let whole = run.tasks.iter().all(|task| task.phase == Phase::Waiting);
        if !whole {
            // The members of the last run have not all ended yet.
            return 0;
        }
        let mut slots = self.gang_slots(at, step, now);
        let count = step.count;
        if step.one_rack {
            let rack = self.densest_rack(slots.iter().map(|(key, room, _)| (*key, *room)));
            slots.retain(|(key, ..)| rack.as_ref() == Some(&self.vms[*key].info.rack));
        }
        if slots.iter().map(|(_, room, _)| *room).sum::<u32>() < count {
            return count;
        }
        // The fewest VMs, so that one failing VM breaks few gangs.
        slots.sort_by_key(|(_, room, _)| std::cmp::Reverse(*room));
        let next = self.step_run(at).map_or(1, |run| {
            run.tasks.iter().map(|task| task.run).max().unwrap_or(0)
        });
        if let Some(run) = self.step_run_mut(at) {
            for task in &mut run.tasks {
                task.run = next;
            }
        }
        let mut index = 0;
        for (vm, room, ticket) in slots {
            for _ in 0..room {
                if index == count {
                    return 0;
                }
                self.start(at, index, vm, ticket.clone(), now);
                index += 1;
            }
        }
        0
    }

    /// Returns the VMs that a gang doesn't want: those on which a member has failed, unless there
    /// are no others.
    pub(crate) fn avoided_by_gang(&self, at: StepRef, step: &Step, now: Millis) -> Vec<VmKey> {
        let Some(run) = self.step_run(at) else {
            return Vec::new();
        };
        let all = run.tasks.iter().flat_map(|task| task.avoid.iter().copied());
        let mut avoid: Vec<VmKey> = all.collect();
        if !avoid.is_empty() && self.only_avoided(at, step, &avoid, now) {
            avoid.clear();
        }
        avoid
    }

    /// Returns the VMs with room, and how many members each takes.
    fn gang_slots(
        &self,
        at: StepRef,
        step: &Step,
        now: Millis,
    ) -> Vec<(VmKey, u32, CompactString)> {
        let size = room_for(step);
        let avoid = self.avoided_by_gang(at, step, now);
        let mut slots = Vec::new();
        for (key, ticket) in self.candidates(at, step, now) {
            if avoid.contains(&key) {
                continue;
            }
            let room = self.room(key, &self.vms[key]).count_fitting(&size);
            let room = room.min(step.most_per_vm()).min(step.count);
            if room > 0 {
                slots.push((key, room, ticket));
            }
        }
        slots
    }

    /// Returns the rack with room for most members.
    pub(crate) fn densest_rack(
        &self,
        slots: impl Iterator<Item = (VmKey, u32)>,
    ) -> Option<CompactString> {
        let mut racks: Vec<(&CompactString, u32)> = Vec::new();
        for (key, room) in slots {
            let rack = &self.vms[key].info.rack;
            match racks.iter_mut().find(|(known, _)| *known == rack) {
                Some((_, sum)) => *sum += room,
                None => racks.push((rack, room)),
            }
        }
        let densest = racks.into_iter().max_by_key(|(_, sum)| *sum);
        densest.map(|(rack, _)| rack.clone())
    }
}

/// Returns how many members of a gang an empty VM holds.
fn members(vm: &Vm, size: &Size, step: &Step) -> u32 {
    vm.info.capacity.count_fitting(size).min(step.most_per_vm())
}
