//! Notes why tasks start again, for the log.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{FormerRun, JobKey, Phase, Release};
use crate::spec::TaskName;
use crate::vm::VmKey;

impl Cell {
    /// Notes why a task may start again, and which run it has had.
    pub(super) fn note_release(&mut self, name: TaskName, former: FormerRun) {
        let Some(task) = self.task_mut(name) else {
            return;
        };
        let is_older = |known: FormerRun| known.run > former.run;
        // The VM knows nothing of a withdrawn start, so the run before it is still the former one.
        let keeps_known = former.release == Release::Withdrawn || task.former.is_some_and(is_older);
        if task.former.is_none() || !keeps_known {
            task.former = Some(former);
        }
    }

    /// Forgets the former run of a task whose current run has started.
    pub(super) fn forget_former_run(&mut self, name: TaskName, run: u32) {
        if let Some(task) = self.task_mut(name)
            && task.last_run == run
        {
            task.former = None;
        }
    }

    /// Notes that earlier terms may have started the waiting tasks of a round.
    pub(super) fn note_earlier_term(&mut self, key: JobKey, round: u32, now: Millis) {
        let round = self.jobs[key].round_mut(round);
        let steps = round.into_iter().flat_map(|round| &mut round.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            if task.phase == Phase::Waiting && task.former.is_none() {
                task.former = Some(FormerRun {
                    release: Release::EarlierTerm,
                    vm: VmKey::default(),
                    run: 0,
                    released_at: now,
                });
            }
        }
    }

    /// Returns the id of a VM, also of one that was removed unless its slot was used twice since.
    #[must_use]
    pub fn vm_id(&self, key: VmKey) -> Option<&str> {
        let known = self.vms.get(key).map(|vm| &vm.info.id);
        known.or_else(|| self.removed_vms.get(key)).map(|id| &**id)
    }
}
