//! Which runs show how fast their VMs are.

use dotterel_kernel::Millis;

use super::Cell;
use crate::plan::pace::scale;
use crate::spec::{Step, TaskName};
use crate::speed::{MAX_MARKS, RunProgress, SpeedLevel};
use crate::vm::{RunPhase, VmKey, VmRun};

impl Cell {
    /// Returns the speed of a VM relative to the median VM of its service.
    #[must_use]
    pub fn speed(&self, vm: VmKey) -> SpeedLevel {
        self.speeds.level(vm)
    }

    /// Records the duration of a run that is done, if it shows how fast its VM is.
    pub(super) fn note_duration(&mut self, vm: VmKey, vm_run: &VmRun, now: Millis) {
        if !vm_run.timed || vm_run.phase != RunPhase::Running {
            return;
        }
        let name = vm_run.task;
        let Some(job) = self.job_key(name.job).map(|key| &self.jobs[key]) else {
            return;
        };
        let step = job.spec.steps.get(usize::from(name.step));
        let comparable = |step: &&_| Self::is_comparable(step);
        let Some(step) = step.filter(comparable) else {
            return;
        };
        let duration = now.since(vm_run.confirmed_at);
        let estimate = step.estimate;
        let service = &self.vms[vm].info.service;
        let kind = (job.policy.queue.as_str(), name.step);
        let residual = self
            .speeds
            .residual(vm, service, kind, (duration, estimate));
        // What the neighbours explain shows nothing about the VM, nor about the queue.
        let own = scale(duration, (-self.known_slowdown(vm, vm_run)).exp2());
        self.speeds.record(vm, service, kind, (own, estimate), now);
        if let Some(residual) = residual.filter(|_| self.limits.keep_apart) {
            self.observe_neighbours(vm, vm_run, residual, now);
        }
    }

    /// Returns the usual duration of a task on an ordinary VM.
    pub(super) fn usual_duration(&self, name: TaskName, step: &Step) -> Millis {
        let job = self.job_key(name.job).map(|key| &self.jobs[key]);
        let ratio = job.and_then(|job| self.speeds.ratio(&job.policy.queue, name.step));
        scale(step.estimate, ratio.unwrap_or(1.0))
    }

    /// Returns true if the durations of a step's tasks depend on their own VMs only. The pace of a gang
    /// is that of its slowest member.
    pub(crate) const fn is_comparable(step: &Step) -> bool {
        !step.gang && !step.long_running && !step.best_effort
    }

    /// Looks at the progress of runs, and ages what is known about the VMs.
    pub(super) fn refresh_speeds(&mut self, now: Millis) {
        for (key, vm) in &self.vms {
            if vm.runs.is_empty() || !self.speeds.is_look_due(key, vm.answered_at) {
                continue;
            }
            let timed = vm.runs.iter().filter(|vm_run| {
                let is_running = vm_run.timed && vm_run.phase == RunPhase::Running;
                is_running && self.step_of(vm_run.task).is_some_and(Self::is_comparable)
            });
            let progress = timed.map(|vm_run| RunProgress {
                task: vm_run.task,
                run: vm_run.run,
                percent: vm_run.percent,
                started: vm_run.confirmed_at,
            });
            let progress: Vec<RunProgress> = progress.take(MAX_MARKS).collect();
            self.speeds.note_progress(key, progress, vm.answered_at);
        }
        let vms = self.vms.iter();
        self.speeds
            .refresh(vms.map(|(key, vm)| (key, vm.info.service.as_str())), now);
    }
}
