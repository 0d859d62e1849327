//! Processing of ended runs.

use dotterel_kernel::Millis;

use super::Cell;
use super::replace::copies_allowed;
use crate::job::{JobKey, JobState, Phase};
use crate::spec::TaskName;
use crate::vm::{ReportedEnd, RunOutcome, VmKey};

impl Cell {
    /// Applies an end reported by a VM.
    pub(crate) fn apply_end(&mut self, vm: VmKey, end: &ReportedEnd, now: Millis) {
        let had_run = self.vms[vm].remove(end.task, end.run).is_some();
        self.plan_needed = true;
        self.forget_loss(end.task, end.run, now);
        let Some(key) = self.job_key(end.task.job) else {
            self.note_uncounted_end(vm, end, "job not known");
            return;
        };
        if self.jobs[key].end.is_some() {
            return;
        }
        let Some(task) = self.task_mut(end.task) else {
            self.note_uncounted_end(vm, end, "round not in progress");
            return;
        };
        let is_current = task.last_run == end.run && task.phase == Phase::Placed(vm);
        // A late end is from a run of an earlier term, or one that was released while the VM was
        // unresponsive. A failure always counts as an attempt; other ends count only if the task
        // has not been restarted since.
        let already_counted = task.failed_runs.contains(&end.run);
        let is_done = task.phase == Phase::Done;
        let is_late = !had_run && task.phase == Phase::Waiting;
        let spec = self.jobs[key].spec.clone();
        let Some(step) = spec.steps.get(usize::from(end.task.step)) else {
            return;
        };
        // The first copy that is done counts.
        let counts_as_copy = copies_allowed(step) && end.outcome == RunOutcome::Done;
        let is_failure = end.outcome == RunOutcome::Failed;
        if already_counted || is_done || !(is_current || is_late || is_failure || counts_as_copy) {
            if !is_done && end.outcome == RunOutcome::Done {
                self.note_uncounted_end(vm, end, "not the current run");
            }
            return;
        }
        let Some(task) = self.task_mut(end.task) else {
            return;
        };
        task.last_run = task.last_run.max(end.run);
        if step.checkpoint && !end.saved.is_empty() && (is_current || is_late) {
            self.save_state(key, end.task, &end.saved, step.gang);
            self.mark_changed(key, now);
        }
        self.jobs[key].started = true;
        match end.outcome {
            RunOutcome::Done if !step.long_running => {
                self.vms[vm].health.run_succeeded();
                self.task_done(key, end.task, step.gang, now);
                if copies_allowed(step) {
                    self.stop_copies(end.task);
                }
            }
            RunOutcome::Failed if !step.long_running => {
                self.vms[vm].health.run_failed(end.task, now);
                self.task_failed(vm, key, end, step.gang, now);
            }
            _ => self.task_interrupted(vm, end.task, is_current),
        }
        if step.gang && end.outcome != RunOutcome::Done && (is_current || is_late) {
            self.stop_gang_run(end.task, end.run);
        }
    }

    /// Records the state from which a task, or its gang, resumes.
    pub(super) fn save_state(&mut self, key: JobKey, name: TaskName, saved: &str, gang: bool) {
        let Some(round) = self.jobs[key].round_mut(name.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(name.step)];
        for (index, task) in step.tasks.iter_mut().enumerate() {
            // All members of a gang resume from the same state.
            if gang || index == name.index as usize {
                task.saved = saved.into();
            }
        }
    }

    fn task_interrupted(&mut self, vm: VmKey, name: TaskName, is_current: bool) {
        if let Some(task) = self.task_mut(name)
            && is_current
            && task.phase == Phase::Placed(vm)
        {
            task.phase = Phase::Waiting;
        }
        self.requeue(name);
    }

    pub(crate) fn task_done(&mut self, key: JobKey, name: TaskName, gang: bool, now: Millis) {
        let Some(round) = self.jobs[key].round_mut(name.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(name.step)];
        if gang {
            // The end of one member completes the gang; the ends of the others follow.
            for task in &mut step.tasks {
                task.phase = Phase::Done;
            }
            step.unfinished = 0;
        } else {
            let task = &mut step.tasks[name.index as usize];
            if task.phase != Phase::Done {
                task.phase = Phase::Done;
                step.unfinished -= 1;
            }
        }
        let step_done = step.unfinished == 0;
        let round_done = round.is_done();
        self.mark_changed(key, now);
        if round_done {
            self.jobs[key]
                .rounds
                .retain(|round| round.number != name.round);
            let job = &self.jobs[key];
            if job.rounds.is_empty() && job.next_round >= job.spec.repeats.max(1) {
                self.end_job(key, JobState::Completed, now);
            }
        } else if step_done {
            self.enqueue_open_steps(key, now);
        }
    }

    fn task_failed(&mut self, vm: VmKey, key: JobKey, end: &ReportedEnd, gang: bool, now: Millis) {
        let attempts = usize::from(self.jobs[key].policy.max_attempts.max(1));
        let Some(round) = self.jobs[key].round_mut(end.task.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(end.task.step)];
        let task = &mut step.tasks[end.task.index as usize];
        task.failed_runs.push(end.run);
        if task.phase == Phase::Placed(vm) && task.last_run == end.run {
            task.phase = Phase::Waiting;
        }
        if !task.avoided_vms.contains(&vm) {
            task.avoided_vms.push(vm);
        }
        let mut failures = task.failed_runs.len();
        if gang {
            if !step.failed_runs.contains(&end.run) {
                step.failed_runs.push(end.run);
            }
            failures = step.failed_runs.len();
        }
        self.mark_changed(key, now);
        if failures >= attempts {
            self.end_job(key, JobState::Failed, now);
        } else if self
            .task_mut(end.task)
            .is_some_and(|task| task.phase == Phase::Waiting)
        {
            self.requeue(end.task);
        }
    }
}
