//! How full a cell is, for the log.

use dotterel_kernel::Size;

use super::Cell;
use crate::job::Phase;
use crate::vm::RunPhase;

/// Classes of priority that are told apart; lower ones share the last.
const CLASSES: usize = 4;

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
    pub used_cores: [u32; CLASSES],
    /// Tasks that wait, by priority.
    pub waiting: [usize; CLASSES],
}

impl Cell {
    /// Returns how full the cell is.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        let mut milli = [0u64; CLASSES];
        for vm in self.vms.values().filter(|vm| vm.fenced) {
            load.vms += 1;
            load.capacity = load.capacity.plus(&vm.info.capacity);
            load.free = load.free.plus(&vm.free());
            load.runs += vm.runs.len();
            for on in &vm.runs {
                milli[usize::from(on.priority).min(CLASSES - 1)] += u64::from(on.size.milli_cores);
            }
            let stopping = |on: &&crate::vm::RunOn| matches!(on.phase, RunPhase::Stopping { .. });
            load.stopping += vm.runs.iter().filter(stopping).count();
        }
        load.used_cores = milli.map(|milli| u32::try_from(milli / 1000).unwrap_or(u32::MAX));
        for at in &self.open {
            let (Some(job), Some(run)) = (self.jobs.get(at.job), self.step_run(*at)) else {
                continue;
            };
            let waiting = run.tasks.iter().filter(|task| task.phase == Phase::Waiting);
            let class = usize::from(job.policy.priority).min(CLASSES - 1);
            load.waiting[class] += waiting.count();
        }
        load
    }
}
