//! Remembers tasks that other nodes sent, so that they can ask again.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_kernel::{Millis, Reason, TaskId};

use crate::messages::{TaskOutcome, Verdict};

/// How long a settled task is remembered.
const MEMORY: Millis = Millis::secs(60);

/// The highest age at which a task that is not remembered has certainly not arrived.
const CERTAIN_AGE: Millis = Millis::secs(30);

/// The most bytes of answers that are remembered.
const BYTES_LIMIT: usize = 32 << 20;

/// The tasks that other nodes sent.
#[derive(Debug, Default)]
pub struct ReceivedTasks {
    state: Mutex<State>,
}

/// What is known of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// It waits or runs.
    Pending,
    /// Its outcome.
    Done(TaskOutcome),
    /// It may have been here too long ago to tell.
    Forgotten,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by task.
    tasks: Vec<Known>,
    bytes: usize,
}

#[derive(Debug)]
struct Known {
    task: TaskId,
    /// None while it waits or runs.
    done: Option<TaskOutcome>,
    since: Millis,
}

impl ReceivedTasks {
    /// Notes a task that arrived; returns false when it must not run here.
    #[must_use]
    pub fn begin(&self, task: TaskId, now: Millis) -> bool {
        let mut state = self.state();
        state.prune(now);
        match state.position(task) {
            Ok(_) => false,
            Err(index) => {
                let known = Known {
                    task,
                    done: None,
                    since: now,
                };
                state.tasks.insert(index, known);
                true
            }
        }
    }

    /// Notes the outcome of a task.
    pub fn settle(&self, task: TaskId, done: TaskOutcome, now: Millis) {
        let mut state = self.state();
        if let Ok(index) = state.position(task) {
            state.bytes += size(&done);
            state.tasks[index].done = Some(done);
            state.tasks[index].since = now;
        }
        state.prune(now);
        state.shrink();
    }

    /// Returns what is known of a task that was sent `age` ago; one that has not arrived is barred.
    #[must_use]
    pub fn query(&self, task: TaskId, age: Millis, now: Millis) -> TaskStatus {
        let mut state = self.state();
        match state.position(task) {
            Ok(index) => match &state.tasks[index].done {
                Some(done) => TaskStatus::Done(done.clone()),
                None => TaskStatus::Pending,
            },
            Err(_) if age > CERTAIN_AGE => TaskStatus::Forgotten,
            Err(index) => {
                let done = TaskOutcome {
                    verdict: Verdict::NotRun(Reason::Refused),
                    attempt: None,
                };
                let known = Known {
                    task,
                    done: Some(done.clone()),
                    since: now,
                };
                state.tasks.insert(index, known);
                TaskStatus::Done(done)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn position(&self, task: TaskId) -> Result<usize, usize> {
        self.tasks.binary_search_by(|known| known.task.cmp(&task))
    }

    fn prune(&mut self, now: Millis) {
        let mut bytes = self.bytes;
        self.tasks.retain(|known| {
            let Some(done) = &known.done else {
                return true;
            };
            let old = now.since(known.since) > MEMORY;
            if old {
                bytes -= size(done);
            }
            !old
        });
        self.bytes = bytes;
    }

    /// Drops the answers of the oldest tasks while there are too many bytes; the tasks themselves
    /// stay known.
    fn shrink(&mut self) {
        for known in &mut self.tasks {
            if self.bytes <= BYTES_LIMIT {
                return;
            }
            if let Some(done) = &mut known.done {
                self.bytes -= size(done);
                if size(done) > 0 {
                    done.verdict = Verdict::Unknown;
                }
            }
        }
    }
}

fn size(done: &TaskOutcome) -> usize {
    match &done.verdict {
        Verdict::Ran(answer) => answer.body.len(),
        Verdict::NotRun(_) | Verdict::Cut | Verdict::Unknown => 0,
    }
}
