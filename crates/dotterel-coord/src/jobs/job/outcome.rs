//! State changes of a job when its attempts end.

use dotterel_kernel::{Kind, Millis};

use super::{AttemptEnd, Job, Phase, Stage, Task};
use crate::jobs::Config;

/// The lowest HTTP status that counts as a failure.
const MIN_FAILURE_STATUS: u16 = 400;

/// Attempts of a task in a row that may be lost with their VMs just after their start. A VM that crashes
/// by itself hardly does so three times just after the start of the same task.
const MAX_EARLY_LOSSES: u32 = 3;

impl Job {
    /// Applies the proven end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        index: u32,
        end: AttemptEnd,
        now: Millis,
        config: &Config,
    ) {
        let entry = &mut self.tasks[index as usize];
        let Some(task) = entry.attempt().map(|attempt| attempt.task) else {
            return;
        };
        let checkpointed = self.checkpointed.contains(&task);
        self.checkpointed.retain(|other| *other != task);
        self.ended.push(task);
        self.dirty = true;
        let service = self.spec.kind == Kind::Service;
        match end {
            AttemptEnd::Finished(status) if status < MIN_FAILURE_STATUS && !service => {
                entry.stage = Stage::Done(status);
            }
            AttemptEnd::Finished(status) => {
                entry.failures += u32::from(status >= MIN_FAILURE_STATUS);
                entry.set_idle(now + config.backoff);
                if !service && (entry.failures >= self.spec.max_failures || !self.spec.repeatable) {
                    self.fail();
                }
            }
            AttemptEnd::Cut => {
                let crashes_vms = entry.count_early_loss() >= MAX_EARLY_LOSSES && !service;
                entry.set_idle(now + config.backoff);
                if crashes_vms {
                    log::warn!(job:% = self.id, index; "job fails, task crashes its VMs");
                }
                if crashes_vms || (!self.spec.repeatable && !checkpointed) {
                    self.fail();
                }
            }
            AttemptEnd::NotStarted => entry.set_idle(now + config.backoff),
        }
    }

    fn fail(&mut self) {
        if self.phase == Phase::Active {
            self.phase = Phase::Failing;
        }
    }

    /// Updates the phase to match the tasks.
    pub(super) fn update_phase(&mut self, now: Millis) {
        let done = |task: &Task| matches!(task.stage, Stage::Done(_));
        if self.phase == Phase::Active && self.tasks.iter().all(done) {
            self.phase = Phase::Finished;
        }
        if self.phase == Phase::Active && self.spec.kind == Kind::Gang {
            self.restart_gang(now);
        }
        if matches!(self.phase, Phase::Cancelling | Phase::Failing) {
            self.stop_tasks(now);
        }
        self.dirty |= self.phase.is_final();
    }

    /// Stops the remaining tasks of a gang that has lost one, so that the whole gang restarts.
    fn restart_gang(&mut self, now: Millis) {
        let idle = |task: &Task| matches!(task.stage, Stage::Idle { .. });
        if !self.tasks.iter().any(idle) {
            return;
        }
        for task in &mut self.tasks {
            match task.stage {
                Stage::Done(_) => task.set_idle(now),
                Stage::Running(_) => task.mark_stopping(),
                _ => {}
            }
        }
    }

    /// Stops all tasks, and sets the final phase once none is running.
    fn stop_tasks(&mut self, now: Millis) {
        for task in &mut self.tasks {
            match task.stage {
                Stage::Running(_) => task.mark_stopping(),
                Stage::Planned(_) => task.set_idle(now),
                _ => {}
            }
        }
        if self.is_idle() {
            self.phase = match self.phase {
                Phase::Failing => Phase::Failed,
                _ => Phase::Cancelled,
            };
        }
    }
}
