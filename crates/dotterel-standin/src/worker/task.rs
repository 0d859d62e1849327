//! A task on a worker.

use std::sync::{Arc, Mutex};

use dotterel_kernel::{JobId, Millis, Size};
use dotterel_platform::{RunningTask, StartRequest, TaskResponse, TaskSignal};

use crate::gate::lock;
use crate::seen::{CutCause, RunInfo};
use crate::workload::Work;

/// How many times longer throttled work takes.
const THROTTLE: u64 = 4;

/// How far the reported usage lags behind the task's start.
const USAGE_LAG: Millis = Millis(2000);

/// What is left of tasks that saved their state, by job and number; shared between workers.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints(Arc<Mutex<Vec<Saved>>>);

/// The key and the rest of one saved task.
type Saved = ((JobId, u32), Millis);

impl Checkpoints {
    fn save(&self, key: (JobId, u32), left: Millis) {
        let mut saved = lock(&self.0);
        match saved.binary_search_by_key(&key, |entry| entry.0) {
            Ok(index) => saved[index].1 = left,
            Err(index) => saved.insert(index, (key, left)),
        }
    }

    fn take(&self, key: (JobId, u32)) -> Option<Millis> {
        let mut saved = lock(&self.0);
        let index = saved.binary_search_by_key(&key, |entry| entry.0).ok()?;
        Some(saved.remove(index).1)
    }
}

/// How a task ends when its time has come.
#[derive(Clone, Debug)]
pub(super) enum End {
    Finished(TaskResponse),
    Cut(CutCause),
}

/// A running task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) info: RunInfo,
    pub(super) lease: Millis,
    began: Millis,
    /// The longest it may run.
    limit: Millis,
    /// When it ends by itself at its present speed.
    ends: Millis,
    slow: bool,
    answer: TaskResponse,
    usage: Size,
}

impl Task {
    pub(super) fn new(start: &StartRequest, work: Work, now: Millis, saved: &Checkpoints) -> Self {
        let info = info(start, work.index);
        let left = key(&info).and_then(|key| saved.take(key));
        Self {
            info,
            lease: now + start.task_ttl,
            began: now,
            limit: now + start.timeout,
            ends: now + left.unwrap_or(work.run),
            slow: false,
            answer: work.answer,
            usage: work.usage,
        }
    }

    /// Returns when the task ends if nobody touches it.
    pub(super) fn due(&self) -> Millis {
        self.ends.min(self.lease).min(self.limit)
    }

    /// Returns how the task ends at its due time.
    pub(super) fn end(self) -> End {
        if self.ends <= self.due() {
            return End::Finished(self.answer);
        }
        if self.limit <= self.lease {
            return End::Cut(CutCause::Timeout);
        }
        End::Cut(CutCause::Lapsed)
    }

    pub(super) fn running(&self, now: Millis) -> RunningTask {
        RunningTask {
            task: self.info.task,
            request: self.info.request,
            job: self.info.job,
            size: self.info.size,
            age: now - self.began,
        }
    }

    /// Returns the usage as measured; before the first measurement it is the declared size.
    pub(super) fn usage(&self, now: Millis) -> Size {
        if now - self.began < USAGE_LAG {
            return self.info.size;
        }
        self.usage
    }

    /// Throttles or restores the task.
    pub(super) fn set_speed(&mut self, pressure: TaskSignal, now: Millis) {
        let slow = pressure == TaskSignal::Throttle;
        if slow == self.slow || self.ends == Millis::MAX {
            return;
        }
        let left = (self.ends - now).0;
        let scaled = if slow {
            left.saturating_mul(THROTTLE)
        } else {
            left / THROTTLE
        };
        self.slow = slow;
        self.ends = now + Millis(scaled);
    }

    /// Saves what is left of the task.
    pub(super) fn save(mut self, now: Millis, saved: &Checkpoints) {
        self.set_speed(TaskSignal::Restore, now);
        if let Some(key) = key(&self.info) {
            saved.save(key, self.ends - now);
        }
    }
}

/// Describes a start.
pub(super) fn info(start: &StartRequest, index: Option<u32>) -> RunInfo {
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

fn key(info: &RunInfo) -> Option<(JobId, u32)> {
    Some((info.job?, info.index.unwrap_or(0)))
}
