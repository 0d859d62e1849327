//! How full a cell is, for the log.

use dotterel_kernel::Size;

use super::Cell;
use crate::job::Phase;
use crate::vm::RunPhase;

/// Classes of priority that are told apart; lower ones share the last.
const PRIORITY_CLASSES: usize = 4;

/// A cell's room and what waits for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// VMs that answer.
    pub vms: usize,
    /// What they hold in all.
    pub capacity: Size,
    /// What is free on them.
    pub free: Size,
    /// Runs that take room.
    pub runs: usize,
    /// Those of them that are being stopped.
    pub stopping: usize,
    /// Cores that runs take, by priority.
    pub used_cores: [u32; PRIORITY_CLASSES],
    /// Tasks that wait, by priority.
    pub waiting: [usize; PRIORITY_CLASSES],
}

impl Cell {
    /// Returns how full the cell is.
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
