//! One task of a job in the memory of its shard's owner.

use dotterel_kernel::{Millis, TaskId};

use super::{Attempt, AttemptRecord, Durable, TaskPhase, TaskRecord};
use crate::jobs::attempt::Planned;

/// A task of a job.
#[derive(Debug)]
pub(in crate::jobs) struct Task {
    pub(in crate::jobs) failures: u32,
    pub(in crate::jobs) stage: Stage,
}

/// Where a task stands.
#[derive(Debug)]
pub(in crate::jobs) enum Stage {
    /// It does not run and may be placed after this time.
    Idle { after: Millis },
    /// Capacity is held for it; its record comes next.
    Planned(Attempt<Planned>),
    /// Its attempt is recorded and its start is under way.
    Launching(AttemptRecord),
    /// It runs, as far as is known.
    Running(AttemptRecord),
    /// It may run, and must be proved not to before anything else.
    Doubt { attempt: AttemptRecord, asked: bool },
    /// It ran to its end with this status.
    Done(u16),
}

/// How an attempt is proved to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum Over {
    /// It ran to its end with this status.
    Ended(u16),
    /// It started and was stopped.
    Cut,
    /// It never started.
    Never,
}

impl Task {
    /// Returns the attempt that is or may be under way.
    pub(in crate::jobs) fn attempt(&self) -> Option<&AttemptRecord> {
        match &self.stage {
            Stage::Planned(attempt) => Some(attempt.record()),
            Stage::Launching(attempt) | Stage::Running(attempt) => Some(attempt),
            Stage::Doubt { attempt, .. } => Some(attempt),
            Stage::Idle { .. } | Stage::Done(_) => None,
        }
    }

    /// Returns the recorded attempt, if it is this one.
    pub(super) fn open(&self, task: TaskId) -> Option<&AttemptRecord> {
        let planned = matches!(self.stage, Stage::Planned(_));
        self.attempt().filter(|a| a.task == task && !planned)
    }

    /// Moves a planned attempt on if its record is among these.
    pub(super) fn launch(&mut self, recorded: &[TaskId]) -> Option<Attempt<Durable>> {
        let planned = match &self.stage {
            Stage::Planned(attempt) if recorded.contains(&attempt.record().task) => {
                attempt.record().clone()
            }
            _ => return None,
        };
        match std::mem::replace(&mut self.stage, Stage::Launching(planned)) {
            Stage::Planned(attempt) => Some(attempt.recorded()),
            _ => None,
        }
    }

    pub(super) fn rest(&mut self, after: Millis) {
        self.stage = Stage::Idle { after };
    }

    /// Makes a recorded attempt one that has to be stopped.
    pub(super) fn doubt(&mut self) {
        let (Stage::Launching(attempt) | Stage::Running(attempt)) = &self.stage else {
            return self.ask_again();
        };
        let attempt = attempt.clone();
        let asked = false;
        self.stage = Stage::Doubt { attempt, asked };
    }

    pub(super) fn ask_again(&mut self) {
        if let Stage::Doubt { asked, .. } = &mut self.stage {
            *asked = false;
        }
    }
}

impl From<&TaskRecord> for Task {
    fn from(record: &TaskRecord) -> Self {
        let stage = match &record.phase {
            TaskPhase::Idle => Stage::Idle {
                after: Millis::ZERO,
            },
            TaskPhase::Open(attempt) => Stage::Running(attempt.clone()),
            TaskPhase::Done(status) => Stage::Done(*status),
        };
        Self {
            failures: record.failures,
            stage,
        }
    }
}
