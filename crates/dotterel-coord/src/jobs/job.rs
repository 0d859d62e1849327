//! The in-memory state of one job at its shard's owner.

mod outcome;
mod stage;

use compact_str::CompactString;
use dotterel_kernel::{JobId, Kind, Millis, Reason, TaskId, VmId};
use dotterel_platform::Version;
use uuid::Uuid;

use super::Config;
use super::attempt::{Attempt, Durable};
use super::host::{AttemptState, HoldId, LaunchOutcome, TaskStart};
use super::place::{PlacementRequest, Reservation};
use super::record::{AttemptRecord, Phase, Progress, TaskPhase, TaskRecord};
use super::spec::JobSpec;
pub(super) use stage::{AttemptEnd, Stage, Task};

/// The maximum number of tasks of one job that are placed at once; doesn't apply to gangs.
const PLACEMENT_BATCH: usize = 64;

/// A job whose final state is not reached or not recorded yet.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) phase: Phase,
    pub(super) tasks: Vec<Task>,
    /// The version of the progress row.
    pub(super) row_version: Version,
    /// Whether the progress differs from the recorded one.
    pub(super) dirty: bool,
    /// Inbox rows to be deleted with the next write of the progress.
    pub(super) inbox_rows: Vec<(CompactString, Version)>,
    /// Ended attempts, to be reported to the host once their ends are recorded.
    pub(super) ended: Vec<TaskId>,
    /// The capacity held for the planned attempts.
    pub(super) reservation: Option<Reservation>,
    /// The identifier of the placement in flight.
    placement: Option<Uuid>,
    /// Attempts that were signalled to checkpoint; a cut of one isn't a failure.
    checkpointed: Vec<TaskId>,
}

impl Job {
    /// Returns a job from its recorded progress.
    ///
    /// An open attempt counts as running until the VM is polled, so that a new owner adopts it.
    pub(super) fn new(id: JobId, spec: JobSpec, progress: &Progress, row_version: Version) -> Self {
        let mut job = Self {
            id,
            spec,
            phase: progress.phase,
            tasks: progress.tasks.iter().map(Task::from).collect(),
            row_version,
            dirty: row_version == Version::ABSENT,
            inbox_rows: Vec::new(),
            ended: Vec::new(),
            reservation: None,
            placement: None,
            checkpointed: Vec::new(),
        };
        job.update_phase(Millis::ZERO);
        job
    }

    /// Returns the progress to be recorded.
    pub(super) fn progress(&self, now: Millis) -> Progress {
        Progress {
            phase: self.phase,
            at: now,
            tasks: self.tasks.iter().map(TaskRecord::from).collect(),
        }
    }

    /// Returns the attempts that are planned but not recorded yet.
    pub(super) fn planned(&self) -> Vec<TaskId> {
        let planned = |task: &Task| match &task.stage {
            Stage::Planned(attempt) => Some(attempt.record().task),
            _ => None,
        };
        self.tasks.iter().filter_map(planned).collect()
    }

    /// Returns the attempts that are running as far as is known, with their task indices.
    pub(super) fn running(&self) -> impl Iterator<Item = (u32, &AttemptRecord)> {
        self.numbered()
            .filter_map(|(index, task)| match &task.stage {
                Stage::Running(attempt) => Some((index, attempt)),
                _ => None,
            })
    }

    /// Returns the attempts that must be stopped, and marks their stops as requested.
    pub(super) fn take_stops(&mut self) -> Vec<(u32, AttemptRecord)> {
        let mut stops = Vec::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            if let Stage::Stopping { attempt, requested } = &mut task.stage
                && !*requested
            {
                *requested = true;
                stops.push((index, attempt.clone()));
            }
        }
        stops
    }

    /// Parks the job if it can't run, or makes it active again.
    pub(super) fn update_parked(&mut self, runnable: Result<(), Reason>) {
        let phase = match (self.phase, runnable) {
            (Phase::Active, Err(reason)) if self.is_idle() => Phase::Parked(reason),
            (Phase::Parked(_), Ok(())) => Phase::Active,
            (Phase::Parked(_), Err(reason)) => Phase::Parked(reason),
            (phase, _) => phase,
        };
        self.dirty |= phase != self.phase;
        self.phase = phase;
    }

    /// Returns a request for the tasks to be placed now, if there are any.
    pub(super) fn placement_request(
        &mut self,
        now: Millis,
        config: &Config,
    ) -> Option<PlacementRequest> {
        if self.phase != Phase::Active || self.placement.is_some() || self.reservation.is_some() {
            return None;
        }
        let ready = |task: &Task| matches!(task.stage, Stage::Idle { after } if after <= now);
        let all_or_none = self.spec.kind == Kind::Gang;
        if all_or_none && !self.tasks.iter().all(ready) {
            return None;
        }
        let ready = self.numbered().filter(|(_, task)| ready(task));
        let max_tasks = if all_or_none {
            usize::MAX
        } else {
            PLACEMENT_BATCH
        };
        let indices: Vec<_> = ready.map(|(index, _)| index).take(max_tasks).collect();
        if indices.is_empty() {
            return None;
        }
        let id = Uuid::now_v7();
        self.placement = Some(id);
        Some(PlacementRequest {
            id,
            job: self.id,
            service: self.spec.service.clone(),
            class: self.spec.class.clone(),
            origin: self.spec.origin.clone(),
            indices,
            size: self.spec.size,
            avoid: self.vms(),
            all_or_none,
            spread: self.spec.kind == Kind::Service,
            ttl: config.hold_ttl,
        })
    }

    /// Plans attempts on the reserved capacity; returns the reservation if it is no longer needed.
    pub(super) fn apply_placement(
        &mut self,
        request: &PlacementRequest,
        reservation: Option<Reservation>,
        now: Millis,
        config: &Config,
    ) -> Option<Reservation> {
        if self.placement != Some(request.id) {
            return reservation;
        }
        self.placement = None;
        if self.phase != Phase::Active {
            return reservation;
        }
        for index in &request.indices {
            self.tasks[*index as usize].set_idle(next_placement_time(now, config.backoff));
        }
        let reservation = reservation?;
        for (index, vm, hold) in &reservation.assignments {
            let attempt = Attempt::new(vm.clone(), *hold);
            self.tasks[*index as usize].stage = Stage::Planned(attempt);
        }
        self.reservation = Some(reservation);
        self.dirty = true;
        None
    }

    /// Marks the recorded attempts as launching, and returns their starts and the reservation.
    pub(super) fn take_starts(
        &mut self,
        recorded: &[TaskId],
    ) -> Option<(Reservation, Vec<TaskStart>)> {
        let mut starts = Vec::new();
        for index in 0..self.tasks.len() {
            if let Some(attempt) = self.tasks[index].mark_launching(recorded) {
                let (attempt, hold) = attempt.start();
                let number = u32::try_from(index).unwrap_or(u32::MAX);
                starts.push(self.start(number, attempt, hold));
            }
        }
        if starts.is_empty() {
            return None;
        }
        Some((self.reservation.take()?, starts))
    }

    /// Applies the outcome of a start.
    pub(super) fn apply_launch(
        &mut self,
        index: u32,
        task: TaskId,
        outcome: &LaunchOutcome,
        now: Millis,
        config: &Config,
    ) {
        let entry = &mut self.tasks[index as usize];
        let Some(attempt) = entry.recorded_attempt(task).cloned() else {
            return;
        };
        match outcome {
            // The next poll shows whether a start of unknown outcome has arrived.
            LaunchOutcome::Running | LaunchOutcome::Unknown => {
                entry.stage = Stage::Running(attempt);
                entry.is_new = true;
            }
            LaunchOutcome::NotRun => self.end_attempt(index, AttemptEnd::NotStarted, now, config),
        }
        self.update_phase(now);
    }

    /// Applies the known state of an attempt.
    pub(super) fn apply_state(
        &mut self,
        index: u32,
        task: TaskId,
        state: AttemptState,
        now: Millis,
        config: &Config,
    ) {
        let entry = &mut self.tasks[index as usize];
        if entry.recorded_attempt(task).is_none() {
            return;
        }
        let ttl_with_margin = self.spec.task_ttl + config.clock_margin;
        match state {
            AttemptState::Finished(status) => {
                self.end_attempt(index, AttemptEnd::Finished(status), now, config);
            }
            AttemptState::Cut => self.end_attempt(index, AttemptEnd::Cut, now, config),
            AttemptState::Barred => self.end_attempt(index, AttemptEnd::NotStarted, now, config),
            AttemptState::NoReply {
                last_renewal: Some(last_renewal),
            } if now > last_renewal + ttl_with_margin => {
                self.end_attempt(index, AttemptEnd::Cut, now, config);
            }
            AttemptState::Unseen => entry.mark_stopping(),
            AttemptState::Running => {
                entry.mark_seen();
                entry.retry_stop();
            }
            AttemptState::NoReply { .. } => entry.retry_stop(),
        }
        self.update_phase(now);
    }

    /// Cancels the job.
    pub(super) fn cancel(&mut self, now: Millis) -> Option<Reservation> {
        if !self.phase.is_final() && self.phase != Phase::Failing {
            self.phase = Phase::Cancelling;
        }
        self.dirty = true;
        self.update_phase(now);
        self.drop_planned(now)
    }

    /// Drops planned attempts unless the job is active; returns their reservation.
    pub(super) fn drop_planned(&mut self, now: Millis) -> Option<Reservation> {
        if self.phase == Phase::Active {
            return None;
        }
        for task in &mut self.tasks {
            if matches!(task.stage, Stage::Planned(_)) {
                task.set_idle(now);
            }
        }
        let reservation = self.reservation.take();
        self.update_phase(now);
        reservation
    }

    /// Marks the task's running attempt as about to checkpoint and stop.
    pub(super) fn checkpoint(&mut self, index: u32) -> Option<AttemptRecord> {
        let task = self.tasks.get(index as usize)?;
        let Stage::Running(attempt) = &task.stage else {
            return None;
        };
        self.checkpointed.push(attempt.task);
        Some(attempt.clone())
    }

    fn start(&self, index: u32, attempt: AttemptRecord, hold: HoldId) -> TaskStart {
        TaskStart {
            job: self.id,
            index,
            attempt,
            hold,
            service: self.spec.service.0.clone(),
            class: self.spec.class.clone(),
            size: self.spec.size,
            task_ttl: self.spec.task_ttl,
            timeout: self.spec.timeout,
            body: self.spec.body.clone(),
        }
    }

    fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.attempt().is_none())
    }

    fn vms(&self) -> Vec<VmId> {
        let attempts = self.tasks.iter().filter_map(Task::attempt);
        attempts.map(|attempt| attempt.vm.clone()).collect()
    }

    fn numbered(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }
}

/// Returns when a task that found no capacity is placed again.
///
/// The time is a multiple of the interval. All jobs therefore retry together, and the most urgent
/// one is placed first.
fn next_placement_time(now: Millis, interval: Millis) -> Millis {
    let interval = interval.0.max(1);
    Millis((now.0 / interval + 1) * interval)
}

impl From<&Task> for TaskRecord {
    fn from(task: &Task) -> Self {
        let phase = match (&task.stage, task.attempt()) {
            (Stage::Done(status), _) => TaskPhase::Done(*status),
            (_, Some(attempt)) => TaskPhase::Open(attempt.clone()),
            (_, None) => TaskPhase::Idle,
        };
        Self {
            failures: task.failures,
            early_losses: task.early_losses,
            phase,
        }
    }
}
