//! A task has one run at a time.
//!
//! A task names its current run. Others of it may be going on besides: those that an earlier leader has started
//! without the knowledge of this one, which a VM lists while the task waits or is placed elsewhere. They are
//! being stopped, and the task starts again only once none of them is left: their VMs have listed the ends,
//! have acknowledged the stops and no longer list them, have restarted, or have let the leases expire.

use slotmap::SlotMap;

use super::Cell;
use super::replace::copies_allowed;
use crate::job::{Phase, StepRef, Task};
use crate::spec::TaskName;
use crate::vm::{Vm, VmKey};

impl Cell {
    /// Notes a run on a VM that isn't the current one of its task. Copies of a task may run in parallel.
    pub(super) fn note_other_run(&mut self, vm: VmKey, name: TaskName, run: u32) {
        if self.step_of(name).is_none_or(copies_allowed) {
            return;
        }
        let Some(task) = self.task_mut(name) else {
            return;
        };
        let mut others = std::mem::take(&mut task.other_runs);
        others.retain(|(vm, run)| is_on_vm(&self.vms, *vm, name, *run));
        others.push((vm, run));
        if let Some(task) = self.task_mut(name) {
            task.other_runs = others;
        }
    }

    /// Returns true if a run of the task that isn't the current one may be going on.
    pub(super) fn has_other_run(&self, name: TaskName, task: &Task) -> bool {
        let current = match task.phase {
            Phase::Placed(vm) => Some((vm, task.last_run)),
            Phase::Waiting | Phase::Done => None,
        };
        let mut others = task.other_runs.iter();
        others.any(|other| Some(*other) != current && is_on_vm(&self.vms, other.0, name, other.1))
    }

    /// Returns the indices of a step's tasks that may be started: they wait, no run of them is going on, and
    /// none can have ended unnoticed.
    pub(crate) fn startable_tasks(&self, step_ref: StepRef) -> Vec<u32> {
        let job = self.jobs.get(step_ref.job);
        let (Some(job), Some(state)) = (job, self.step_state(step_ref)) else {
            return Vec::new();
        };
        let confirmed_at = self.confirmed_at();
        let tasks = (0u32..).zip(&state.tasks);
        let startable = tasks.filter(|(index, task)| {
            let name = TaskName {
                job: job.id,
                round: step_ref.round,
                step: step_ref.step,
                index: *index,
            };
            task.is_startable(confirmed_at) && !self.has_other_run(name, task)
        });
        startable.map(|(index, _)| index).collect()
    }
}

/// Returns true if a VM may be executing a run.
fn is_on_vm(vms: &SlotMap<VmKey, Vm>, vm: VmKey, name: TaskName, run: u32) -> bool {
    vms.get(vm).is_some_and(|vm| vm.find(name, run).is_some())
}
