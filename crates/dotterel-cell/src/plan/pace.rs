//! Which work gets the faster VMs.
//!
//! Work with little slack, long chains and gangs go to the faster VMs, the rest to slower ones. All of
//! this is a preference among VMs with free capacity: nothing waits for a fast VM.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::StepRef;
use crate::plan::order::OBSOLETE_FACTOR;
use crate::spec::Step;
use crate::speed::SpeedLevel;
use crate::vm::VmKey;

/// Weight of a VM that is slower, or faster, by a doubling: as much as the most capacity that can be
/// left over on a VM.
const WEIGHT_PER_DOUBLING: u64 = 2000;
/// Largest sum of the weights for speed and for neighbours; with the leftover capacity it doesn't exceed
/// the weight of reserved capacity.
pub(crate) const MAX_PREFERENCE_WEIGHT: u64 = 8000;
/// A VM that is slower by this factor, in hundredths of a doubling, is avoided by all work: it has
/// probably turned slow for some seconds.
const VERY_SLOW: i32 = -100;
/// Fastest level that still makes a difference, in hundredths of a doubling.
const FASTEST: i32 = 150;
/// A step is part of a long chain if the steps after it take this many times as long as itself.
const LONG_CHAIN_FACTOR: u64 = 2;
/// Patient work meets its objective even if its tasks take this many times as long as usual on a slow VM: one
/// task in ten takes twice as long as most.
const PATIENCE_FACTOR: f32 = 2.0;

/// How much a step gains from a fast VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// It has little slack, or a long chain of steps waits for it.
    Urgent,
    /// It is on time on a slow VM if its tasks take no longer than usual, so it prefers fast ones a little.
    Any,
    /// It has slack even on a slow VM, and leaves the fast ones to others.
    Patient,
}

impl Pace {
    /// Returns the weight of a VM of this speed; the VM with the least weight is preferred.
    pub(crate) fn weight(self, level: SpeedLevel) -> u64 {
        let level = i32::from(level.hundredths());
        let too_slow = (VERY_SLOW - level).max(0);
        let hundredths = match self {
            Self::Urgent => FASTEST - level.min(FASTEST),
            Self::Any => (FASTEST - level.min(FASTEST)) / 2 + 2 * too_slow,
            // Beyond the very slow VMs, the weight falls from the fastest to the slowest.
            Self::Patient => (level - VERY_SLOW).clamp(0, FASTEST - VERY_SLOW) + 2 * too_slow,
        };
        let weight = u64::from(hundredths.unsigned_abs()) * WEIGHT_PER_DOUBLING / 100;
        weight.min(MAX_PREFERENCE_WEIGHT)
    }
}

impl Cell {
    /// Returns how much a step gains from a fast VM; `None` while all VMs are alike.
    pub(crate) fn pace(&self, step_ref: StepRef, step: &Step, now: Millis) -> Option<Pace> {
        let job = self.jobs.get(step_ref.job)?;
        if !self.speeds.is_uneven() {
            return None;
        }
        if job.spec.is_long_running() {
            return Some(Pace::Any);
        }
        if step.best_effort {
            return Some(Pace::Patient);
        }
        let start = job.round_start(step_ref.round);
        if now > start + Millis(job.objective.0 * OBSOLETE_FACTOR) {
            return Some(Pace::Patient);
        }
        let chain = job.remaining_from(step_ref.step).since(step.estimate);
        if chain.0 > step.estimate.0 * LONG_CHAIN_FACTOR || !self.has_slack(step_ref, now) {
            return Some(Pace::Urgent);
        }
        let ratio = self.speeds.ratio(&job.policy.queue, step_ref.step);
        let on_slow_vm = ratio.unwrap_or(1.0) / self.speeds.slow_level().factor();
        let meets_objective = |factor| {
            now + scale(step.estimate, on_slow_vm * factor) + chain <= start + job.objective
        };
        Some(if meets_objective(PATIENCE_FACTOR) {
            Pace::Patient
        } else if meets_objective(1.0) {
            Pace::Any
        } else {
            Pace::Urgent
        })
    }

    /// Returns the class of the slowest VMs that a gang of `count` members needs, if it takes the fastest ones
    /// that have room for all of them, within a rack if `one_rack` is set. All are needed if that is still
    /// too few.
    pub(crate) fn slowest_class_needed(
        &self,
        slots: &[(VmKey, u32)],
        count: u32,
        one_rack: bool,
    ) -> i8 {
        if !self.speeds.is_uneven() {
            return i8::MIN;
        }
        let mut by_class: Vec<(i8, VmKey, u32)> = slots
            .iter()
            .map(|(key, members)| (self.speeds.level(*key).class(), *key, *members))
            .collect();
        by_class.sort_unstable_by_key(|(class, ..)| std::cmp::Reverse(*class));
        let mut racks: Vec<(&CompactString, u32)> = Vec::new();
        let mut sum = 0;
        for (class, key, members) in by_class {
            let room = if one_rack {
                let rack = &self.vms[key].info.rack;
                match racks.iter_mut().find(|(known, _)| *known == rack) {
                    Some((_, room)) => {
                        *room += members;
                        *room
                    }
                    None => {
                        racks.push((rack, members));
                        members
                    }
                }
            } else {
                sum += members;
                sum
            };
            if room >= count {
                return class;
            }
        }
        i8::MIN
    }

    /// Returns the speed class of a VM; zero while all VMs are alike.
    pub(crate) fn speed_class(&self, key: VmKey) -> i8 {
        if self.speeds.is_uneven() {
            self.speeds.level(key).class()
        } else {
            0
        }
    }

    /// Returns true if a VM belongs to a slower class.
    pub(crate) fn is_slower(&self, key: VmKey, class: i8) -> bool {
        self.speeds.level(key).class() < class
    }
}

/// Returns a duration times a factor.
pub(crate) fn scale(duration: Millis, factor: f32) -> Millis {
    Millis((duration.0 as f32 * factor) as u64)
}
