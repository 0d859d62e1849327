//! Replacement of runs that stall or are on a VM that doesn't reply.
//!
//! A run is stopped before its task starts elsewhere, unless copies of the task may run in parallel.
//! Then the task starts elsewhere at once, the first copy that is done counts, and the others are
//! stopped.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{FormerRun, JobKey, Phase, Release};
use crate::spec::{JobId, Step, TaskName};
use crate::vm::{RunPhase, Vm, VmKey, VmRun};

/// Time without progress after which a run counts as stalled: half of its estimated duration,
/// within these limits. Progress is reported at least once a second, and a step of one percent takes
/// a twelfth of the estimate on a VM that is eight times too slow.
const MIN_STALL_TIME: Millis = Millis(900);
const MAX_STALL_TIME: Millis = Millis(2500);
/// A VM that has not replied for longer doesn't show whether its runs stall.
const MAX_STALL_REPLY_AGE: Millis = Millis(2500);
/// Copies of tasks are started elsewhere once a VM has not replied for this long. A single lost poll
/// shows after 1.5 s, and the next one is answered within 0.2 s.
const SILENT_AFTER: Millis = Millis(2000);

/// Why a run is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failing {
    Stalled,
    Silent,
}

impl Cell {
    /// Replaces runs that won't end in time.
    pub(super) fn replace_failing_runs(&mut self, now: Millis) {
        let mut failing = Vec::new();
        for (key, vm) in &self.vms {
            let running = |vm_run: &&VmRun| vm_run.phase == RunPhase::Running;
            for vm_run in vm.runs.iter().filter(running) {
                let step = self.step_of(vm_run.task);
                let Some(step) = step.filter(|step| !step.long_running && !step.best_effort) else {
                    continue;
                };
                if let Some(reason) = judge(vm, vm_run, step, now) {
                    let (task, run) = (vm_run.task, vm_run.run);
                    failing.push((key, task, run, reason, copies_allowed(step), step.gang));
                }
            }
        }
        for (vm, task, run, reason, copies_allowed, gang) in failing {
            if copies_allowed {
                self.start_copy(vm, task, run, now);
            }
            if reason == Failing::Stalled {
                if !gang {
                    self.vms[vm].health.run_stalled(now);
                    self.avoid(vm, task);
                }
                self.order_stop(vm, task, run, "stalled", now);
                self.stop_gang_run(task, run, now);
            }
        }
    }

    /// Lets a task start elsewhere while its current run goes on.
    pub(crate) fn start_copy(&mut self, vm: VmKey, name: TaskName, run: u32, now: Millis) {
        let Some(task) = self.task_mut(name) else {
            return;
        };
        if task.phase != Phase::Placed(vm) || task.last_run != run {
            return;
        }
        task.phase = Phase::Waiting;
        let former = FormerRun {
            release: Release::Copied,
            vm,
            run,
            released_at: now,
        };
        self.note_release(name, former);
        self.avoid(vm, name);
        self.requeue(name);
    }

    pub(crate) fn avoid(&mut self, vm: VmKey, name: TaskName) {
        if let Some(task) = self.task_mut(name)
            && !task.avoided_vms.contains(&vm)
        {
            task.avoided_vms.push(vm);
        }
    }

    /// Stops the other runs of a task that is done. For a gang, these are the other runs of all members.
    pub(super) fn stop_other_runs(
        &mut self,
        name: TaskName,
        done_run: u32,
        gang: bool,
        now: Millis,
    ) {
        for (vm, task, run) in self.runs_of_job(name.job) {
            let same_step = (task.round, task.step) == (name.round, name.step);
            let is_other = if gang {
                same_step && run != done_run
            } else {
                task == name
            };
            if is_other {
                self.order_stop(vm, task, run, "another run is done", now);
            }
        }
    }

    /// Returns all runs of a job whose tasks may have copies. Tasks name only their latest run.
    pub(super) fn runs_with_copies(&self, key: JobKey) -> Vec<(VmKey, TaskName, u32)> {
        let job = &self.jobs[key];
        if job.spec.steps.iter().any(copies_allowed) {
            self.runs_of_job(job.id)
        } else {
            Vec::new()
        }
    }

    fn runs_of_job(&self, id: JobId) -> Vec<(VmKey, TaskName, u32)> {
        let runs = self.vms.iter().flat_map(|(key, vm)| {
            let runs = vm.runs.iter().filter(move |run| run.task.job == id);
            runs.map(move |vm_run| (key, vm_run.task, vm_run.run))
        });
        runs.collect()
    }
}

/// Returns why a run should be replaced, if it should.
fn judge(vm: &Vm, vm_run: &VmRun, step: &Step, now: Millis) -> Option<Failing> {
    let reply_age = now.since(vm.answered_at);
    if reply_age >= SILENT_AFTER && copies_allowed(step) {
        return Some(Failing::Silent);
    }
    // A gang member that has finished its part waits for the others.
    if vm_run.percent >= 100 || reply_age >= MAX_STALL_REPLY_AGE {
        return None;
    }
    let unchanged = vm.answered_at.since(vm_run.progressed_at);
    (unchanged >= stall_time(step.estimate)).then_some(Failing::Stalled)
}

/// Returns true if copies of a step's tasks may run in parallel.
pub(crate) const fn copies_allowed(step: &Step) -> bool {
    step.speculative && !step.gang && !step.long_running
}

/// Returns the time without progress after which a run counts as stalled. One percent of the work
/// can itself take long, and estimates are often far off, so the time scales with the estimate.
fn stall_time(estimate: Millis) -> Millis {
    let max = MAX_STALL_TIME.0.max(estimate.0 / 5);
    Millis((estimate.0 / 2).clamp(MIN_STALL_TIME.0, max))
}
