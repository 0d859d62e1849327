//! One job in the memory of its shard's owner.

mod outcome;
mod stage;

use compact_str::CompactString;
use dotterel_kernel::{JobId, Kind, Millis, Reason, TaskId, VmId};
use dotterel_platform::Version;
use uuid::Uuid;

use super::Config;
use super::attempt::{Attempt, Durable};
use super::host::{AttemptState, HoldId, LaunchOutcome, TaskStart};
use super::place::{Need, Plan};
use super::record::{AttemptRecord, Phase, Progress, TaskPhase, TaskRecord};
use super::spec::JobSpec;
pub(super) use stage::{Over, Stage, Task};

/// The most tasks of one job that are placed at once, unless they must start together.
const PLACE_BATCH: usize = 64;

/// A job that is not over, or whose end is not recorded yet.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) phase: Phase,
    pub(super) tasks: Vec<Task>,
    /// The version of the row that records the progress.
    pub(super) row: Version,
    /// True when the progress differs from its record.
    pub(super) dirty: bool,
    /// Inbox rows that the next record answers.
    pub(super) answered: Vec<(CompactString, Version)>,
    /// Attempts that are over, to be told to the host once that is recorded.
    pub(super) ended: Vec<TaskId>,
    /// The capacity held for the planned attempts.
    pub(super) plan: Option<Plan>,
    /// The placement that is under way.
    placing: Option<Uuid>,
    /// Tasks whose next cut is a checkpoint and no failure.
    saved: Vec<TaskId>,
}

impl Job {
    /// Returns a job as its record tells.
    ///
    /// An open attempt counts as running until the VM has been asked, so that a new owner goes on
    /// with it.
    pub(super) fn new(id: JobId, spec: JobSpec, progress: &Progress, row: Version) -> Self {
        let mut job = Self {
            id,
            spec,
            phase: progress.phase,
            tasks: progress.tasks.iter().map(Task::from).collect(),
            row,
            dirty: row == Version::ABSENT,
            answered: Vec::new(),
            ended: Vec::new(),
            plan: None,
            placing: None,
            saved: Vec::new(),
        };
        job.settle(Millis::ZERO);
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

    /// Returns the attempts that wait for their record.
    pub(super) fn planned(&self) -> Vec<TaskId> {
        let planned = |task: &Task| match &task.stage {
            Stage::Planned(attempt) => Some(attempt.record().task),
            _ => None,
        };
        self.tasks.iter().filter_map(planned).collect()
    }

    /// Returns the attempts that run as far as is known, by number.
    pub(super) fn running(&self) -> impl Iterator<Item = (u32, &AttemptRecord)> {
        self.numbered()
            .filter_map(|(index, task)| match &task.stage {
                Stage::Running(attempt) => Some((index, attempt)),
                _ => None,
            })
    }

    /// Returns the attempts that are to be stopped and marks them as asked for.
    pub(super) fn take_doubts(&mut self) -> Vec<(u32, AttemptRecord)> {
        let mut doubts = Vec::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            if let Stage::Doubt { attempt, asked } = &mut task.stage
                && !*asked
            {
                *asked = true;
                doubts.push((index, attempt.clone()));
            }
        }
        doubts
    }

    /// Parks the job or makes it active again.
    pub(super) fn judge(&mut self, runnable: Result<(), Reason>) {
        let phase = match (self.phase, runnable) {
            (Phase::Active, Err(reason)) if self.at_rest() => Phase::Parked(reason),
            (Phase::Parked(_), Ok(())) => Phase::Active,
            (Phase::Parked(_), Err(reason)) => Phase::Parked(reason),
            (phase, _) => phase,
        };
        self.dirty |= phase != self.phase;
        self.phase = phase;
    }

    /// Returns what is to be placed now.
    pub(super) fn need(&mut self, now: Millis, config: &Config) -> Option<Need> {
        if self.phase != Phase::Active || self.placing.is_some() || self.plan.is_some() {
            return None;
        }
        let ready = |task: &Task| matches!(task.stage, Stage::Idle { after } if after <= now);
        let whole = self.spec.kind == Kind::Gang;
        if whole && !self.tasks.iter().all(ready) {
            return None;
        }
        let ready = self.numbered().filter(|(_, task)| ready(task));
        let most = if whole { usize::MAX } else { PLACE_BATCH };
        let indices: Vec<_> = ready.map(|(index, _)| index).take(most).collect();
        if indices.is_empty() {
            return None;
        }
        let id = Uuid::now_v7();
        self.placing = Some(id);
        Some(Need {
            id,
            job: self.id,
            service: self.spec.service.clone(),
            class: self.spec.class.clone(),
            origin: self.spec.origin.clone(),
            indices,
            size: self.spec.size,
            avoid: self.vms(),
            whole,
            spread: self.spec.kind == Kind::Service,
            ttl: config.hold_ttl,
        })
    }

    /// Takes held capacity over; returns a plan that is no longer wanted.
    pub(super) fn placed(
        &mut self,
        need: &Need,
        plan: Option<Plan>,
        now: Millis,
        config: &Config,
    ) -> Option<Plan> {
        if self.placing != Some(need.id) {
            return plan;
        }
        self.placing = None;
        if self.phase != Phase::Active {
            return plan;
        }
        for index in &need.indices {
            self.tasks[*index as usize].rest(next_try(now, config.backoff));
        }
        let plan = plan?;
        for (index, vm, hold) in &plan.spots {
            let attempt = Attempt::new(vm.clone(), *hold);
            self.tasks[*index as usize].stage = Stage::Planned(attempt);
        }
        self.plan = Some(plan);
        self.dirty = true;
        None
    }

    /// Moves the recorded attempts on and returns their starts with the plan that holds for them.
    pub(super) fn committed(&mut self, recorded: &[TaskId]) -> Option<(Plan, Vec<TaskStart>)> {
        let mut starts = Vec::new();
        for index in 0..self.tasks.len() {
            if let Some(attempt) = self.tasks[index].launch(recorded) {
                let (attempt, hold) = attempt.start();
                let number = u32::try_from(index).unwrap_or(u32::MAX);
                starts.push(self.start(number, attempt, hold));
            }
        }
        if starts.is_empty() {
            return None;
        }
        Some((self.plan.take()?, starts))
    }

    /// Applies the outcome of a start.
    pub(super) fn launched(
        &mut self,
        index: u32,
        task: TaskId,
        outcome: &LaunchOutcome,
        now: Millis,
        config: &Config,
    ) {
        let entry = &mut self.tasks[index as usize];
        let Some(attempt) = entry.open(task).cloned() else {
            return;
        };
        match outcome {
            // The next survey tells whether an unknown start has arrived.
            LaunchOutcome::Running | LaunchOutcome::Unknown => {
                entry.stage = Stage::Running(attempt);
            }
            LaunchOutcome::NotRun => self.over(index, Over::Never, now, config),
        }
        self.settle(now);
    }

    /// Applies what is known of an attempt.
    pub(super) fn stood(
        &mut self,
        index: u32,
        task: TaskId,
        standing: AttemptState,
        now: Millis,
        config: &Config,
    ) {
        let entry = &mut self.tasks[index as usize];
        if entry.open(task).is_none() {
            return;
        }
        let lapse = self.spec.task_ttl + config.clock_margin;
        match standing {
            AttemptState::Finished(status) => self.over(index, Over::Ended(status), now, config),
            AttemptState::Cut => self.over(index, Over::Cut, now, config),
            AttemptState::Barred => self.over(index, Over::Never, now, config),
            AttemptState::NoReply {
                last_renewal: Some(time),
            } if now > time + lapse => self.over(index, Over::Cut, now, config),
            AttemptState::Unseen => entry.doubt(),
            AttemptState::Running | AttemptState::NoReply { .. } => entry.ask_again(),
        }
        self.settle(now);
    }

    /// Cancels the job.
    pub(super) fn cancel(&mut self, now: Millis) -> Option<Plan> {
        if !self.phase.is_final() && self.phase != Phase::Failing {
            self.phase = Phase::Cancelling;
        }
        self.dirty = true;
        self.settle(now);
        self.unplan(now)
    }

    /// Gives up planned attempts that no record names; returns their capacity.
    pub(super) fn unplan(&mut self, now: Millis) -> Option<Plan> {
        if self.phase == Phase::Active {
            return None;
        }
        for task in &mut self.tasks {
            if matches!(task.stage, Stage::Planned(_)) {
                task.rest(now);
            }
        }
        let plan = self.plan.take();
        self.settle(now);
        plan
    }

    /// Notes that the attempt is going to save its state and end.
    pub(super) fn checkpoint(&mut self, index: u32) -> Option<AttemptRecord> {
        let task = self.tasks.get(index as usize)?;
        let Stage::Running(attempt) = &task.stage else {
            return None;
        };
        self.saved.push(attempt.task);
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

    fn at_rest(&self) -> bool {
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

/// Returns when work without room is placed again: at the same moments for all jobs, so that their
/// urgency decides.
fn next_try(now: Millis, pause: Millis) -> Millis {
    let pause = pause.0.max(1);
    Millis((now.0 / pause + 1) * pause)
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
            phase,
        }
    }
}
