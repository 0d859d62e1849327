//! A simulated task on a worker.

use std::sync::{Arc, Mutex};

use dotterel_kernel::{JobId, Millis, Size};
use dotterel_platform::{RunningTask, StartRequest, TaskResponse, TaskSignal};

use crate::event_log::{CutCause, RunInfo};
use crate::fault_injector::lock;
use crate::workload::SimulatedTask;

/// Factor by which throttling prolongs a task.
const THROTTLE_FACTOR: u64 = 4;

/// Time from a task's start until its measured usage is reported.
const USAGE_DELAY: Millis = Millis(2000);

/// Remaining run times of checkpointed tasks, by job and index; shared between workers.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints(Arc<Mutex<Vec<SavedTask>>>);

/// The key and the remaining run time of a checkpointed task.
type SavedTask = ((JobId, u32), Millis);

impl Checkpoints {
    fn save(&self, key: (JobId, u32), remaining: Millis) {
        let mut saved = lock(&self.0);
        match saved.binary_search_by_key(&key, |entry| entry.0) {
            Ok(index) => saved[index].1 = remaining,
            Err(index) => saved.insert(index, (key, remaining)),
        }
    }

    fn take(&self, key: (JobId, u32)) -> Option<Millis> {
        let mut saved = lock(&self.0);
        let index = saved.binary_search_by_key(&key, |entry| entry.0).ok()?;
        Some(saved.remove(index).1)
    }
}

/// How a task ends.
#[derive(Clone, Debug)]
pub(super) enum TaskEnd {
    Finished(TaskResponse),
    Cut(CutCause),
}

/// A running task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) info: RunInfo,
    pub(super) lease_expires: Millis,
    started: Millis,
    /// When the task exceeds its timeout.
    deadline: Millis,
    /// When the task completes at its current speed.
    completes: Millis,
    is_throttled: bool,
    answer: TaskResponse,
    usage: Size,
}

impl Task {
    pub(super) fn new(
        start: &StartRequest,
        simulated: SimulatedTask,
        now: Millis,
        checkpoints: &Checkpoints,
    ) -> Self {
        let info = run_info(start, simulated.index);
        let remaining = checkpoint_key(&info).and_then(|key| checkpoints.take(key));
        Self {
            info,
            lease_expires: now + start.task_ttl,
            started: now,
            deadline: now + start.timeout,
            completes: now + remaining.unwrap_or(simulated.run_time),
            is_throttled: false,
            answer: simulated.answer,
            usage: simulated.usage,
        }
    }

    /// Returns when the task ends unless it is renewed, stopped or throttled.
    pub(super) fn due(&self) -> Millis {
        self.completes.min(self.lease_expires).min(self.deadline)
    }

    /// Returns how the task ends at its due time.
    ///
    /// If several ends fall on that time, completion takes precedence, then the timeout.
    pub(super) fn into_end(self) -> TaskEnd {
        if self.completes <= self.due() {
            return TaskEnd::Finished(self.answer);
        }
        if self.deadline <= self.lease_expires {
            return TaskEnd::Cut(CutCause::Timeout);
        }
        TaskEnd::Cut(CutCause::Lapsed)
    }

    pub(super) fn running(&self, now: Millis) -> RunningTask {
        RunningTask {
            task: self.info.task,
            request: self.info.request,
            job: self.info.job,
            size: self.info.size,
            age: now - self.started,
        }
    }

    /// Returns the measured usage, or the declared size before the first measurement.
    pub(super) fn usage(&self, now: Millis) -> Size {
        if now - self.started < USAGE_DELAY {
            return self.info.size;
        }
        self.usage
    }

    /// Throttles the task, or restores its full speed.
    pub(super) fn set_speed(&mut self, signal: TaskSignal, now: Millis) {
        let throttle = signal == TaskSignal::Throttle;
        if throttle == self.is_throttled || self.completes == Millis::MAX {
            return;
        }
        let remaining = (self.completes - now).0;
        let scaled = if throttle {
            remaining.saturating_mul(THROTTLE_FACTOR)
        } else {
            remaining / THROTTLE_FACTOR
        };
        self.is_throttled = throttle;
        self.completes = now + Millis(scaled);
    }

    /// Saves the remaining run time at full speed.
    pub(super) fn save(mut self, now: Millis, checkpoints: &Checkpoints) {
        self.set_speed(TaskSignal::Restore, now);
        if let Some(key) = checkpoint_key(&self.info) {
            checkpoints.save(key, self.completes - now);
        }
    }
}

/// Returns the description of a start request for the event log.
pub(super) fn run_info(start: &StartRequest, index: Option<u32>) -> RunInfo {
    RunInfo {
        task: start.task,
        epoch: start.epoch,
        request: start.request,
        job: start.job,
        index,
        service: start.service.clone(),
        class: start.class.clone(),
        size: start.size,
    }
}

fn checkpoint_key(info: &RunInfo) -> Option<(JobId, u32)> {
    Some((info.job?, info.index.unwrap_or(0)))
}
