//! The in-memory state of one task of a job.

use dotterel_kernel::{Millis, TaskId};

use super::{Attempt, AttemptRecord, Durable, TaskPhase, TaskRecord};
use crate::jobs::attempt::Planned;

/// One task of a job.
#[derive(Debug)]
pub(in crate::jobs) struct Task {
    pub(in crate::jobs) failures: u32,
    /// The number of attempts in a row that were lost with their VM before they were seen running.
    pub(in crate::jobs) early_losses: u32,
    /// The running attempt has not been seen running since its start.
    pub(in crate::jobs) is_new: bool,
    pub(in crate::jobs) stage: Stage,
}

/// The stage of a task between placement and end.
#[derive(Debug)]
pub(in crate::jobs) enum Stage {
    /// The task has no attempt and may be placed after this time.
    Idle { after: Millis },
    /// Capacity is held for the attempt, which is not recorded yet.
    Planned(Attempt<Planned>),
    /// The attempt is recorded and its start is in flight.
    Launching(AttemptRecord),
    /// The attempt is running, as far as is known.
    Running(AttemptRecord),
    /// The attempt may be running and must be proven over before the task is placed again.
    Stopping {
        attempt: AttemptRecord,
        requested: bool,
    },
    /// The task ran to its end with this HTTP status.
    Done(u16),
}

/// The proven end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::jobs) enum AttemptEnd {
    /// It ran to its end with this HTTP status.
    Finished(u16),
    /// It started and was stopped.
    Cut,
    /// It never started.
    NotStarted,
}

impl Task {
    /// Returns the attempt that is planned or may be running.
    pub(in crate::jobs) fn attempt(&self) -> Option<&AttemptRecord> {
        match &self.stage {
            Stage::Planned(attempt) => Some(attempt.record()),
            Stage::Launching(attempt) | Stage::Running(attempt) => Some(attempt),
            Stage::Stopping { attempt, .. } => Some(attempt),
            Stage::Idle { .. } | Stage::Done(_) => None,
        }
    }

    /// Returns the attempt if it is recorded and has this identifier.
    pub(super) fn recorded_attempt(&self, task: TaskId) -> Option<&AttemptRecord> {
        let planned = matches!(self.stage, Stage::Planned(_));
        self.attempt().filter(|a| a.task == task && !planned)
    }

    /// Marks a planned attempt as launching if it is among the recorded ones, and returns it.
    pub(super) fn mark_launching(&mut self, recorded: &[TaskId]) -> Option<Attempt<Durable>> {
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

    pub(super) fn set_idle(&mut self, after: Millis) {
        self.stage = Stage::Idle { after };
    }

    /// Records that the attempt has been seen running.
    pub(super) fn mark_seen(&mut self) {
        if matches!(self.stage, Stage::Running(_)) {
            self.is_new = false;
            self.early_losses = 0;
        }
    }

    /// Counts the loss of the running attempt if it had only just started, and returns how many
    /// such losses there were in a row.
    pub(super) fn count_early_loss(&mut self) -> u32 {
        if matches!(self.stage, Stage::Running(_)) && self.is_new {
            self.early_losses += 1;
        }
        self.early_losses
    }

    /// Marks a recorded attempt as one that must be stopped.
    pub(super) fn mark_stopping(&mut self) {
        let (Stage::Launching(attempt) | Stage::Running(attempt)) = &self.stage else {
            return self.retry_stop();
        };
        let attempt = attempt.clone();
        let requested = false;
        self.stage = Stage::Stopping { attempt, requested };
    }

    /// Requests the stop again if the attempt is being stopped.
    pub(super) fn retry_stop(&mut self) {
        if let Stage::Stopping { requested, .. } = &mut self.stage {
            *requested = false;
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
            early_losses: record.early_losses,
            is_new: false,
            stage,
        }
    }
}
