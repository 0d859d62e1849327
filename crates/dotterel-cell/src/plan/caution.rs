//! Placement of tasks that may crash their VMs.
//!
//! A suspect runs alone, so that a crash costs no other work and leaves no doubt about its cause.
//! Suspects wait while too many VMs are down after such starts.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::Cell;
use crate::job::{Job, StepRef, Task};
use crate::plan::fit::leftover;
use crate::plan::occupied_size;
use crate::record::Suspicion;
use crate::spec::{Step, TaskName};
use crate::vm::{Caution, Vm, VmKey};

/// One in this many VMs may be down after starts of suspects, or be in use for one.
const SUSPECT_VM_DIVISOR: usize = 6;
/// The same while half of the capacity is free; there is no limit while three quarters are.
const IDLE_SUSPECT_VM_DIVISOR: usize = 3;
/// Tasks that may find no VM in a planning pass before the others have to wait. Each asks for advice,
/// which then is not available to other work.
const MAX_FAILED_ATTEMPTS: u32 = 12;
/// Time for which a suspect waits for a VM without other runs.
const EMPTY_VM_PATIENCE: Millis = Millis::secs(8);
/// Exposure of a run whose job would miss its objective: half of a VM.
const URGENT_EXPOSURE: u64 = 500;
/// Weight of a thousandth of a VM that is occupied by runs which a crash would lose: more than any
/// leftover capacity.
const EXPOSURE_WEIGHT: u64 = 10_000;

/// How many VMs may be risked for tasks that may crash them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RiskBudget {
    /// Isolated runs that may start in this planning pass.
    isolated: usize,
    /// Tasks that may still be tried in this planning pass without finding a VM.
    attempts: u32,
}

impl Cell {
    /// Determines how many VMs may be risked in this planning pass.
    pub(crate) fn update_risk_budget(&mut self, now: Millis) {
        let (mut listed, mut risked) = (0, 0);
        let (mut cores, mut free) = (0u64, 0u64);
        for vm in self.vms.values().filter(|vm| vm.listed) {
            listed += 1;
            let is_down = vm.is_suspected && vm.silent_since.is_some();
            let is_isolated = vm.runs.iter().any(|run| run.caution >= Caution::Isolated);
            risked += usize::from(is_down || (is_isolated && now < vm.exclusive_until));
            cores += u64::from(vm.info.capacity.milli_cores);
            free += u64::from(vm.free().milli_cores);
        }
        let suspect_divisor = if free * 4 > cores * 3 {
            1
        } else if free * 2 > cores {
            IDLE_SUSPECT_VM_DIVISOR
        } else {
            SUSPECT_VM_DIVISOR
        };
        self.risk = RiskBudget {
            isolated: (listed / suspect_divisor).max(1).saturating_sub(risked),
            attempts: MAX_FAILED_ATTEMPTS,
        };
    }

    /// Returns how the tasks of a step that are no suspects have to be started; `None` if they have to
    /// wait.
    pub(crate) fn step_caution(&self, step_ref: StepRef) -> Option<Caution> {
        let job = self.jobs.get(step_ref.job)?;
        // The work of the other tasks is lost if the suspect makes the job fail.
        if has_sole_suspect(job) {
            return None;
        }
        Some(Caution::None)
    }

    /// Returns the strictest caution that a member of a gang needs; `None` if the gang has to wait.
    pub(crate) fn gang_caution(&self, step_ref: StepRef) -> Option<Caution> {
        let tasks = &self.step_state(step_ref)?.tasks;
        let mut suspects = tasks.iter().filter(|task| task.is_suspect()).peekable();
        if suspects.peek().is_none() {
            return self.step_caution(step_ref);
        }
        suspects.try_fold(Caution::None, |strictest, task| {
            Some(strictest.max(suspect_caution(task)?))
        })
    }

    /// Returns true if a run that needs caution may start on a VM.
    pub(crate) fn may_risk(&self, vm: &Vm, caution: Caution, lost_at: Millis, now: Millis) -> bool {
        match caution {
            Caution::None => true,
            Caution::Isolated | Caution::Solitary => {
                let patient = now.since(lost_at) < EMPTY_VM_PATIENCE;
                vm.runs.is_empty() || (!patient && !vm.has_young_runs(now))
            }
        }
    }

    /// Returns what a crash of a VM would cost, in thousandths of a VM occupied by runs.
    fn exposure(&self, vm: &Vm, now: Millis) -> u64 {
        let capacity = u64::from(vm.info.capacity.milli_cores.max(1));
        let runs = vm.runs.iter().map(|run| {
            let share = u64::from(run.size.milli_cores) * 1000 / capacity;
            if self.can_start_over(run.task, now) {
                share
            } else {
                URGENT_EXPOSURE + share * 2
            }
        });
        runs.sum()
    }

    /// Returns true if a task could start over after its VM's lease and still meet its objective.
    fn can_start_over(&self, name: TaskName, now: Millis) -> bool {
        let Some(job) = self.job_key(name.job).map(|key| &self.jobs[key]) else {
            return true;
        };
        let due = job.round_start(name.round) + job.objective;
        due > now + self.limits().lease_ttl + job.remaining_from(name.step)
    }

    /// Returns the VM on which a crash would lose the least, and its ticket.
    pub(crate) fn least_exposed_vm(
        &self,
        step_ref: StepRef,
        step: &Step,
        index: u32,
        caution: Caution,
        now: Millis,
    ) -> Option<(VmKey, CompactString)> {
        let lost_at = self.step_state(step_ref)?.tasks[index as usize].lost_at;
        let size = occupied_size(step);
        let mut best: Option<(u64, VmKey, CompactString)> = None;
        for (key, ticket) in self.startable_vms(step_ref, step, now) {
            let vm = &self.vms[key];
            let available = self.free_capacity(key, vm);
            let has_slot = self.count_slots(step_ref, step, vm, &available) > 0;
            if !has_slot || !self.may_risk(vm, caution, lost_at, now) {
                continue;
            }
            let weight = self.exposure(vm, now) * EXPOSURE_WEIGHT
                + leftover(&available.minus(&size), &vm.info.capacity);
            if best.as_ref().is_none_or(|(least, ..)| weight < *least) {
                best = Some((weight, key, ticket));
            }
        }
        best.map(|(_, key, ticket)| (key, ticket))
    }
}

fn has_sole_suspect(job: &Job) -> bool {
    let steps = job.rounds.iter().flat_map(|round| &round.steps);
    let mut tasks = steps.flat_map(|step| &step.tasks);
    tasks.any(|task| task.is_suspected_of(Suspicion::Sole))
}

/// Returns how a suspect has to be started; `None` if it has to wait.
pub(crate) fn suspect_caution(task: &Task) -> Option<Caution> {
    if task.awaits_verdict() {
        None
    } else if task.is_suspected_of(Suspicion::Shared) {
        Some(Caution::Isolated)
    } else {
        Some(Caution::Solitary)
    }
}

impl RiskBudget {
    /// Returns true if another VM may be risked.
    pub(crate) const fn allows(&self, caution: Caution) -> bool {
        match caution {
            Caution::None => true,
            Caution::Isolated | Caution::Solitary => self.isolated > 0 && self.attempts > 0,
        }
    }

    /// Counts a task that found no VM.
    pub(crate) fn take_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Takes a VM from the budget.
    pub(crate) fn take(&mut self, caution: Caution) {
        if caution >= Caution::Isolated {
            self.isolated = self.isolated.saturating_sub(1);
        }
    }
}
