//! Tasks that only work together.
//!
//! Answers the pattern "members of two gangs hold each other's room": either all members are
//! placed in one pass, on VMs that have answered this scheduler, or none is.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::{Phase, StepRef};
use crate::plan::room_for;
use crate::spec::Step;
use crate::vm::VmKey;

impl Cell {
    /// Starts all members or none; returns how many wait.
    pub(crate) fn place_gang(&mut self, at: StepRef, step: &Step, now: Millis) -> u32 {
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
            slots = self.densest_rack(slots);
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

    /// Returns the VMs with room, and how many members each takes.
    pub(crate) fn gang_slots(
        &self,
        at: StepRef,
        step: &Step,
        now: Millis,
    ) -> Vec<(VmKey, u32, CompactString)> {
        let size = room_for(step);
        let avoid = self.step_run(at).map(|run| {
            let all = run.tasks.iter().flat_map(|task| task.avoid.iter().copied());
            all.collect::<Vec<VmKey>>()
        });
        let mut avoid = avoid.unwrap_or_default();
        if !avoid.is_empty() && self.only_avoided(at, step, &avoid, now) {
            avoid.clear();
        }
        let mut slots = Vec::new();
        for (key, ticket) in self.candidates(at, step, now) {
            if avoid.contains(&key) {
                continue;
            }
            let mut room = self.room(key, &self.vms[key]).count(&size).min(step.count);
            if step.per_vm > 0 {
                room = room.min(step.per_vm);
            }
            if room > 0 {
                slots.push((key, room, ticket));
            }
        }
        slots
    }

    fn densest_rack(
        &self,
        slots: Vec<(VmKey, u32, CompactString)>,
    ) -> Vec<(VmKey, u32, CompactString)> {
        let mut racks: Vec<(CompactString, u32)> = Vec::new();
        for (key, room, _) in &slots {
            let rack = &self.vms[*key].info.rack;
            match racks.iter_mut().find(|(known, _)| known == rack) {
                Some((_, sum)) => *sum += room,
                None => racks.push((rack.clone(), *room)),
            }
        }
        let Some((rack, _)) = racks.into_iter().max_by_key(|(_, sum)| *sum) else {
            return slots;
        };
        let inside = |key: &VmKey| self.vms[*key].info.rack == rack;
        slots.into_iter().filter(|(key, ..)| inside(key)).collect()
    }
}
