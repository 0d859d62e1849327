//! Which runs are beside which, and what their durations show about it.

use dotterel_kernel::Millis;

use super::Cell;
use crate::interference::{KindName, KindSet, Observation};
use crate::job::StepRef;
use crate::spec::{JobId, Step, TaskName};
use crate::vm::{RunPhase, VmKey, VmRun};

impl Cell {
    /// Returns the kinds of tasks that are kept apart, the slowed one first.
    pub fn kept_apart(&self) -> impl Iterator<Item = (&KindName, &KindName)> {
        self.interference.kept_apart()
    }

    /// Records which runs are beside the last one that was added to a VM.
    pub(crate) fn note_neighbours(&mut self, key: VmKey, now: Millis) {
        if !self.limits.keep_apart {
            return;
        }
        let vm = &self.vms[key];
        let Some(name) = vm.runs.last().map(|vm_run| vm_run.task) else {
            return;
        };
        let Some(job) = self.job_key(name.job).map(|key| &self.jobs[key]) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(name.step)) else {
            return;
        };
        let queue = &job.policy.queue;
        let kind = self
            .interference
            .find_or_add(&step.image, queue, name.step, now);
        if let Some(added) = self.vms[key].runs.last_mut() {
            added.neighbours.kind = kind;
        }
        self.update_kinds_on(key, now);
        if let Some(added) = self.vms[key].runs.last_mut() {
            added.neighbours = self.interference.neighbours(kind, key);
        }
    }

    /// Records the kinds on a VM, after a change of its runs.
    pub(super) fn update_kinds_on(&mut self, key: VmKey, now: Millis) {
        if !self.limits.keep_apart {
            return;
        }
        let runs = self.vms[key].runs.iter();
        let occupying = runs.filter(|vm_run| vm_run.phase != RunPhase::Ended);
        let kinds = occupying.filter_map(|vm_run| vm_run.neighbours.kind);
        self.interference.set_on_vm(key, kinds, now);
    }

    /// Records the kinds on each VM, and ages what is known about them.
    pub(super) fn refresh_interference(&mut self, now: Millis) {
        if !self.limits.keep_apart {
            return;
        }
        let keys: Vec<VmKey> = self.vms.keys().collect();
        for key in keys {
            self.update_kinds_on(key, now);
        }
        self.interference.refresh(now);
    }

    /// Returns the kinds that a task of a step should not run beside. Work with little slack is kept from
    /// those that slow it, but doesn't spare others.
    pub(crate) fn kinds_to_avoid(
        &self,
        step_ref: StepRef,
        step: &Step,
        now: Millis,
    ) -> Option<KindSet> {
        if !self.interference.keeps_apart() {
            return None;
        }
        let queue = &self.jobs.get(step_ref.job)?.policy.queue;
        let kind = self.interference.find(&step.image, queue, step_ref.step)?;
        let (slowed_by, slows) = self.interference.apart(kind);
        Some(if self.has_slack(step_ref, now) {
            slowed_by.or(slows)
        } else {
            slowed_by
        })
    }

    /// Returns the logarithm of the factor by which the runs beside a run are known to have slowed it.
    pub(super) fn known_slowdown(&self, vm: VmKey, vm_run: &VmRun) -> f32 {
        self.interference.known_slowdown(&vm_run.neighbours, vm)
    }

    /// Learns from a run that is done, which has been removed from its VM. `residual` is the logarithm of
    /// its duration relative to the usual one on that VM.
    pub(super) fn observe_neighbours(
        &mut self,
        vm: VmKey,
        vm_run: &VmRun,
        residual: f32,
        now: Millis,
    ) {
        let Some(step) = self.step_of(vm_run.task) else {
            return;
        };
        if !is_sampled(vm_run.task, step.count) {
            return;
        }
        let observation = Observation {
            neighbours: &vm_run.neighbours,
            residual,
            vm,
        };
        self.interference.observe(&observation, now);
    }
}

/// Returns true if a task represents its step: the input of a job may make all its tasks slow, so only one
/// of them counts. Which one doesn't depend on when the tasks end.
fn is_sampled(name: TaskName, count: u32) -> bool {
    let JobId(id) = name.job;
    let chosen = id.wrapping_add(u64::from(name.round)) % u64::from(count.max(1));
    u64::from(name.index) == chosen
}
