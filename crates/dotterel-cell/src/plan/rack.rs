//! Gangs that work faster within one rack.
//!
//! The members of such a gang take longer on several racks, by a factor that the platform states. While no
//! rack has room for all of them, the gang waits for one as long as it would lose on several, and less if
//! much of the capacity is idle. If no rack is large enough it doesn't wait at all.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::{Cell, CellEvent};
use crate::job::StepRef;
use crate::spec::Step;
use crate::vm::VmKey;

/// Longest wait for a rack while less than half of the service's processors are in use. Work that could run
/// may not wait for 3 s then.
const MAX_IDLE_WAIT: Millis = Millis::secs(2);

impl Cell {
    /// Returns true if a gang has to start within one rack: among `slots`, which are VMs and the members that
    /// fit on each, one rack has room for all members, or it is worth to wait for that.
    pub(crate) fn keeps_to_rack(
        &self,
        step_ref: StepRef,
        step: &Step,
        slots: &[(VmKey, u32)],
        now: Millis,
    ) -> bool {
        if !step.one_rack {
            return false;
        }
        let densest = self.densest_rack(slots.iter().copied());
        densest.is_some_and(|(_, members)| members >= step.count)
            || self.awaits_rack(step_ref, step, now)
    }

    /// Returns the rack with capacity for the most members, and their number.
    pub(crate) fn densest_rack(
        &self,
        slots: impl Iterator<Item = (VmKey, u32)>,
    ) -> Option<(CompactString, u32)> {
        let mut racks: Vec<(&CompactString, u32)> = Vec::new();
        for (key, members) in slots {
            let rack = &self.vms[key].info.rack;
            match racks.iter_mut().find(|(known, _)| *known == rack) {
                Some((_, sum)) => *sum += members,
                None => racks.push((rack, members)),
            }
        }
        let densest = racks.into_iter().max_by_key(|(_, sum)| *sum);
        densest.map(|(rack, members)| (rack.clone(), members))
    }

    /// Tells the log on how many racks a gang starts, if it fills `slots` from the first one.
    pub(crate) fn note_racks(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        slots: &[(VmKey, u32, CompactString)],
        now: Millis,
    ) {
        let (Some(task), Some(state)) = (self.task_name(step_ref, 0), self.step_state(step_ref))
        else {
            return;
        };
        let mut missing = step.count;
        let filled = slots.iter().take_while(|(_, members, _)| {
            let is_needed = missing > 0;
            missing = missing.saturating_sub(*members);
            is_needed
        });
        let mut racks: Vec<&str> = filled
            .map(|(key, ..)| self.vms[*key].info.rack.as_str())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        let event = CellEvent::GangAcrossRacks {
            task,
            racks: racks.len(),
            waited: now.since(state.opened_at),
        };
        self.note_event(event);
    }

    /// Returns true if a gang gains more by a rack than it has waited for one.
    fn awaits_rack(&self, step_ref: StepRef, step: &Step, now: Millis) -> bool {
        let (Some(job), Some(state)) = (self.jobs.get(step_ref.job), self.step_state(step_ref))
        else {
            return false;
        };
        let excess = u64::from(self.limits().cross_rack_pct.saturating_sub(100));
        let gain = Millis(step.estimate.0.saturating_mul(excess) / 100);
        let waited = now.since(state.opened_at);
        if waited >= gain {
            return false;
        }
        (waited < MAX_IDLE_WAIT || self.is_half_used(&job.policy.service))
            && self.has_large_rack(step_ref, step, now)
    }

    /// Returns true if the VMs of a rack that may run a gang could hold all members if they were empty. VMs
    /// that don't respond for now count.
    fn has_large_rack(&self, step_ref: StepRef, step: &Step, now: Millis) -> bool {
        let avoid = self.avoided_by_gang(step_ref, step, now);
        let slots = self.eligible_slots(step_ref, step, &avoid).into_iter();
        self.densest_rack(slots)
            .is_some_and(|(_, members)| members >= step.count)
    }
}
