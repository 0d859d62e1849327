//! Records the tasks that other nodes forwarded, so that their senders can query the outcomes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_kernel::{Millis, Reason, TaskId};

use crate::messages::{TaskOutcome, Verdict};

/// How long a settled task is kept.
const RETENTION: Millis = Millis::secs(60);

/// Maximum age at which a task without a record is certain not to have been received.
///
/// It is well below [`RETENTION`], within which no record is pruned.
const MAX_QUERY_AGE: Millis = Millis::secs(30);

/// Maximum total size of the answers kept.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The tasks that other nodes forwarded to this one.
#[derive(Debug, Default)]
pub struct ReceivedTasks {
    state: Mutex<State>,
}

/// The state of a forwarded task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// It is queued or running.
    Pending,
    /// It has this outcome.
    Done(TaskOutcome),
    /// It has no record, but may have been received so long ago that the record was pruned.
    Forgotten,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by task.
    tasks: Vec<ReceivedTask>,
    bytes: usize,
}

#[derive(Debug)]
struct ReceivedTask {
    task: TaskId,
    /// `None` while the task is queued or running.
    outcome: Option<TaskOutcome>,
    since: Millis,
}

impl ReceivedTasks {
    /// Records a received task; returns false if it is a repeat or was barred by a query.
    #[must_use]
    pub fn begin(&self, task: TaskId, now: Millis) -> bool {
        let mut state = self.state();
        state.prune(now);
        match state.position(task) {
            Ok(_) => false,
            Err(index) => {
                let received = ReceivedTask {
                    task,
                    outcome: None,
                    since: now,
                };
                state.tasks.insert(index, received);
                true
            }
        }
    }

    /// Records the outcome of a task.
    pub fn settle(&self, task: TaskId, outcome: TaskOutcome, now: Millis) {
        let mut state = self.state();
        if let Ok(index) = state.position(task) {
            state.bytes += size(&outcome);
            state.tasks[index].outcome = Some(outcome);
            state.tasks[index].since = now;
        }
        state.prune(now);
        state.shrink();
    }

    /// Returns the state of a task that was sent `age` ago; an unreceived one is barred.
    #[must_use]
    pub fn query(&self, task: TaskId, age: Millis, now: Millis) -> TaskStatus {
        let mut state = self.state();
        match state.position(task) {
            Ok(index) => match &state.tasks[index].outcome {
                Some(outcome) => TaskStatus::Done(outcome.clone()),
                None => TaskStatus::Pending,
            },
            Err(_) if age > MAX_QUERY_AGE => TaskStatus::Forgotten,
            Err(index) => {
                let outcome = TaskOutcome {
                    verdict: Verdict::NotRun(Reason::Refused),
                    attempt: None,
                };
                let received = ReceivedTask {
                    task,
                    outcome: Some(outcome.clone()),
                    since: now,
                };
                state.tasks.insert(index, received);
                TaskStatus::Done(outcome)
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn position(&self, task: TaskId) -> Result<usize, usize> {
        self.tasks
            .binary_search_by(|received| received.task.cmp(&task))
    }

    fn prune(&mut self, now: Millis) {
        let mut bytes = self.bytes;
        self.tasks.retain(|received| {
            let Some(outcome) = &received.outcome else {
                return true;
            };
            let expired = now.since(received.since) > RETENTION;
            if expired {
                bytes -= size(outcome);
            }
            !expired
        });
        self.bytes = bytes;
    }

    /// Drops answers until their total size is within [`MAX_ANSWER_BYTES`].
    ///
    /// The tasks are kept, with an unknown outcome. Answers of the oldest tasks are dropped first.
    fn shrink(&mut self) {
        for received in &mut self.tasks {
            if self.bytes <= MAX_ANSWER_BYTES {
                return;
            }
            if let Some(outcome) = &mut received.outcome {
                self.bytes -= size(outcome);
                if size(outcome) > 0 {
                    outcome.verdict = Verdict::Unknown;
                }
            }
        }
    }
}

fn size(outcome: &TaskOutcome) -> usize {
    match &outcome.verdict {
        Verdict::Ran(answer) => answer.body.len(),
        Verdict::NotRun(_) | Verdict::Cut | Verdict::Unknown => 0,
    }
}
