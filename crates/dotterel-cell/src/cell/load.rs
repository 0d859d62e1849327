//! Load figures of a cell, for the log.

use dotterel_kernel::Size;

use super::Cell;
use crate::job::Phase;
use crate::vm::RunPhase;

/// Number of priority classes reported; lower priorities share the last one.
const PRIORITY_CLASSES: usize = 4;

/// Capacity and demand of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of VMs that reply.
    pub vms: usize,
    /// Their total capacity.
    pub capacity: Size,
    /// Their free capacity.
    pub free: Size,
    /// Runs that occupy capacity, including those being stopped.
    pub runs: usize,
    /// Runs being stopped.
    pub stopping: usize,
    /// Cores occupied by runs, by priority.
    pub used_cores: [u32; PRIORITY_CLASSES],
    /// Waiting tasks, by priority.
    pub waiting: [usize; PRIORITY_CLASSES],
}

impl Cell {
    /// Returns the number of steps that may have waiting tasks.
    #[must_use]
    pub const fn waiting_steps(&self) -> usize {
        self.open_steps.len()
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        let mut milli_cores = [0u64; PRIORITY_CLASSES];
        for vm in self.vms.values().filter(|vm| vm.fenced) {
            load.vms += 1;
            load.capacity = load.capacity.plus(&vm.info.capacity);
            load.free = load.free.plus(&vm.free());
            load.runs += vm.runs.len();
            for vm_run in &vm.runs {
                milli_cores[usize::from(vm_run.priority).min(PRIORITY_CLASSES - 1)] +=
                    u64::from(vm_run.size.milli_cores);
            }
            let stopping =
                |vm_run: &&crate::vm::VmRun| matches!(vm_run.phase, RunPhase::Stopping { .. });
            load.stopping += vm.runs.iter().filter(stopping).count();
        }
        load.used_cores =
            milli_cores.map(|milli_cores| u32::try_from(milli_cores / 1000).unwrap_or(u32::MAX));
        for step_ref in &self.open_steps {
            let (Some(job), Some(state)) =
                (self.jobs.get(step_ref.job), self.step_state(*step_ref))
            else {
                continue;
            };
            let waiting = state
                .tasks
                .iter()
                .filter(|task| task.phase == Phase::Waiting);
            let class = usize::from(job.policy.priority).min(PRIORITY_CLASSES - 1);
            load.waiting[class] += waiting.count();
        }
        load
    }
}
