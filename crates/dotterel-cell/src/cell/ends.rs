//! Processing of ended runs.

use std::sync::Arc;

use dotterel_kernel::Millis;

use super::Cell;
use super::replace::copies_allowed;
use crate::job::{FormerRun, JobKey, JobState, Phase, Release};
use crate::spec::{JobSpec, TaskName};
use crate::vm::{ReportedEnd, RunOutcome, VmKey};

/// Why an end has no effect, in this term or a later one. Only such ends are acknowledged without having
/// been counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoEffect {
    /// Jobs are stored before their first start, so its end has been, and is no longer retained.
    JobForgotten,
    /// The job has ended. The end is acknowledged once that is durable.
    JobEnded,
    /// The round is done.
    RoundDone,
    /// The job has no such task.
    UnknownTask,
    /// The task is done.
    TaskDone,
    /// The same failure has been reported before.
    CountedBefore,
    /// A later run is current, and this one has shown nothing about its task.
    Superseded,
}

impl NoEffect {
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::JobForgotten => "job not known",
            Self::JobEnded => "job has ended",
            Self::RoundDone => "round is done",
            Self::UnknownTask => "no such task",
            Self::TaskDone => "task is done",
            Self::CountedBefore => "counted before",
            Self::Superseded => "not the current run",
        }
    }

    /// Returns true if the log should tell about the end.
    const fn is_notable(self, outcome: RunOutcome) -> bool {
        match self {
            Self::JobForgotten | Self::RoundDone | Self::UnknownTask => true,
            Self::Superseded => matches!(outcome, RunOutcome::Done),
            Self::JobEnded | Self::TaskDone | Self::CountedBefore => false,
        }
    }
}

/// An end that has an effect on its task.
struct CountedEnd {
    job: JobKey,
    spec: Arc<JobSpec>,
    /// It ends the current run.
    is_current: bool,
    /// The task waits, and this end is from a run of an earlier term, or one that was released while its
    /// VM was unresponsive.
    is_late: bool,
}

impl Cell {
    /// Applies an end reported by a VM.
    pub(crate) fn apply_end(&mut self, vm: VmKey, end: &ReportedEnd, now: Millis) {
        let removed = self.vms[vm].remove(end.task, end.run);
        let had_run = removed.is_some();
        self.update_kinds_on(vm, now);
        if let Some(vm_run) = removed.filter(|_| end.outcome == RunOutcome::Done) {
            self.note_duration(vm, &vm_run, now);
        }
        self.plan_needed = true;
        self.forget_loss(end.task, end.run, now);
        self.start_known_round(end.task, now);
        match self.judge_end(vm, end, had_run) {
            Ok(counted) => self.count_end(vm, end, &counted, now),
            Err(why) if why.is_notable(end.outcome) => self.note_uncounted_end(vm, end, why),
            Err(_) => {}
        }
    }

    /// Decides whether an end counts: the end of the current run does, and so does each run that is done
    /// or has failed, however old it is.
    fn judge_end(
        &self,
        vm: VmKey,
        end: &ReportedEnd,
        had_run: bool,
    ) -> Result<CountedEnd, NoEffect> {
        let name = end.task;
        let key = self.job_key(name.job).ok_or(NoEffect::JobForgotten)?;
        let job = &self.jobs[key];
        if job.end.is_some() {
            return Err(NoEffect::JobEnded);
        }
        let round = job
            .round(name.round)
            .ok_or(if name.round < job.next_round {
                NoEffect::RoundDone
            } else {
                NoEffect::UnknownTask
            })?;
        let at = usize::from(name.step);
        let found = job.spec.steps.get(at).zip(round.steps.get(at));
        let (step, state) = found.ok_or(NoEffect::UnknownTask)?;
        let task = state.tasks.get(name.index as usize);
        let task = task.ok_or(NoEffect::UnknownTask)?;
        if task.phase == Phase::Done {
            return Err(NoEffect::TaskDone);
        }
        if task.failed_runs.contains(&end.run) {
            return Err(NoEffect::CountedBefore);
        }
        let is_current = task.last_run == end.run && task.phase == Phase::Placed(vm);
        let is_late = !had_run && task.phase == Phase::Waiting;
        let is_final = matches!(end.outcome, RunOutcome::Done | RunOutcome::Failed);
        if !is_current && !is_late && (step.long_running || !is_final) {
            return Err(NoEffect::Superseded);
        }
        Ok(CountedEnd {
            job: key,
            spec: Arc::clone(&job.spec),
            is_current,
            is_late,
        })
    }

    fn count_end(&mut self, vm: VmKey, end: &ReportedEnd, counted: &CountedEnd, now: Millis) {
        let key = counted.job;
        let step = &counted.spec.steps[usize::from(end.task.step)];
        let is_latest = counted.is_current || counted.is_late;
        if let Some(task) = self.task_mut(end.task) {
            task.highest_run = task.highest_run.max(end.run);
        }
        if step.checkpoint && !end.saved.is_empty() && is_latest {
            self.save_state(key, end.task, &end.saved, step.gang);
            self.mark_changed(key, now);
        }
        self.jobs[key].started = true;
        match end.outcome {
            RunOutcome::Done if !step.long_running => {
                self.vms[vm].health.run_succeeded();
                self.note_drained(end.task, step, now);
                self.task_done(key, end.task, step.gang, now);
                if !counted.is_current || copies_allowed(step) {
                    self.stop_other_runs(end.task, end.run, step.gang, now);
                }
            }
            RunOutcome::Failed if !step.long_running => {
                self.vms[vm].health.run_failed(end.task, now);
                self.task_failed(vm, key, end, step.gang, now);
            }
            _ => self.task_interrupted(vm, end.task, counted.is_current),
        }
        if step.gang && end.outcome != RunOutcome::Done && is_latest {
            self.stop_gang_run(end.task, end.run, now);
        }
        if is_latest {
            let former = FormerRun {
                release: Release::Ended(end.outcome),
                vm,
                run: end.run,
                released_at: now,
            };
            self.note_release(end.task, former);
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
            self.jobs[key].finish_round(name.round);
            self.start_due_rounds(key, now);
            let job = &self.jobs[key];
            if job.rounds.is_empty() && job.next_round >= job.spec.repeats.max(1) {
                self.end_job(key, JobState::Completed, now);
            }
        } else if step_done {
            self.enqueue_open_steps(key, name.round, now);
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
