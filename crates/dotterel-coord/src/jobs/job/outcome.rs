//! What the ends of attempts mean for their job.

use dotterel_kernel::{Kind, Millis};

use super::{Job, Over, Phase, Stage, Task};
use crate::jobs::Config;

/// The lowest HTTP status that counts as a failure.
const FAILURE: u16 = 400;

impl Job {
    /// Applies the proven end of an attempt.
    pub(super) fn over(&mut self, index: u32, over: Over, now: Millis, config: &Config) {
        let entry = &mut self.tasks[index as usize];
        let Some(task) = entry.attempt().map(|attempt| attempt.task) else {
            return;
        };
        let saved = self.saved.contains(&task);
        self.saved.retain(|other| *other != task);
        self.ended.push(task);
        self.dirty = true;
        let service = self.spec.kind == Kind::Service;
        match over {
            Over::Ended(status) if status < FAILURE && !service => {
                entry.stage = Stage::Done(status);
            }
            Over::Ended(status) => {
                entry.failures += u32::from(status >= FAILURE);
                entry.rest(now + config.backoff);
                if !service && (entry.failures >= self.spec.max_failures || !self.spec.repeatable) {
                    self.fail();
                }
            }
            Over::Cut => {
                entry.rest(now + config.backoff);
                if !self.spec.repeatable && !saved {
                    self.fail();
                }
            }
            Over::Never => entry.rest(now + config.backoff),
        }
    }

    fn fail(&mut self) {
        if self.phase == Phase::Active {
            self.phase = Phase::Failing;
        }
    }

    /// Brings the phase in line with the tasks.
    pub(super) fn settle(&mut self, now: Millis) {
        let done = |task: &Task| matches!(task.stage, Stage::Done(_));
        if self.phase == Phase::Active && self.tasks.iter().all(done) {
            self.phase = Phase::Finished;
        }
        if self.phase == Phase::Active && self.spec.kind == Kind::Gang {
            self.break_up(now);
        }
        if matches!(self.phase, Phase::Cancelling | Phase::Failing) {
            self.wind_up(now);
        }
        self.dirty |= self.phase.is_final();
    }

    /// Ends what is left of a gang that has lost a task, so that all of it starts again.
    fn break_up(&mut self, now: Millis) {
        let idle = |task: &Task| matches!(task.stage, Stage::Idle { .. });
        if !self.tasks.iter().any(idle) {
            return;
        }
        for task in &mut self.tasks {
            match task.stage {
                Stage::Done(_) => task.rest(now),
                Stage::Running(_) => task.doubt(),
                _ => {}
            }
        }
    }

    fn wind_up(&mut self, now: Millis) {
        for task in &mut self.tasks {
            match task.stage {
                Stage::Running(_) => task.doubt(),
                Stage::Planned(_) => task.rest(now),
                _ => {}
            }
        }
        if self.at_rest() {
            self.phase = match self.phase {
                Phase::Failing => Phase::Failed,
                _ => Phase::Cancelled,
            };
        }
    }
}
