//! The specification of a job.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{Class, DataCentre, Kind, Millis, Service, Size, Urgency};
use serde::{Deserialize, Serialize};

/// The maximum size of a job's body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The maximum number of tasks in one job.
const MAX_TASKS: u32 = 4096;

/// A validated job specification.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its service.
    pub service: Service,
    /// Its class within the service.
    pub class: CompactString,
    /// The data centre where it was submitted.
    pub origin: DataCentre,
    /// The kind of job, which decides how its tasks are placed and restarted.
    pub kind: Kind,
    /// Its priority over other jobs when tasks are placed.
    pub urgency: Urgency,
    /// The number of tasks.
    pub tasks: u32,
    /// The size of each task.
    pub size: Size,
    /// Whether a task that was stopped before its end may run again.
    pub repeatable: bool,
    /// The number of failures of one task at which the job fails; a service never fails.
    pub max_failures: u32,
    /// The TTL of a task lease.
    pub task_ttl: Millis,
    /// The maximum run time of a task.
    pub timeout: Millis,
    /// The body that is passed to every task.
    pub body: Bytes,
}

/// Why a job specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The class is interactive, so it can't run as a job.
    Interactive,
    /// The number of tasks is zero or too large.
    Tasks {
        /// The requested number.
        tasks: u32,
        /// The largest allowed number.
        max: u32,
    },
    /// The body is too large.
    Body {
        /// Its length in bytes.
        length: usize,
        /// The largest allowed length in bytes.
        max: usize,
    },
}

impl JobSpec {
    /// Returns the specification of a job of a class in a document.
    ///
    /// # Errors
    ///
    /// The class is interactive, or the number of tasks or the body is out of range.
    pub fn new(
        service: Service,
        class: &Class,
        origin: DataCentre,
        task_ttl: Millis,
        body: Bytes,
    ) -> Result<Self, SpecError> {
        let spec = Self {
            service,
            class: class.name.clone(),
            origin,
            kind: class.kind,
            urgency: class.urgency,
            tasks: class.tasks,
            size: class.size,
            repeatable: class.repeatable,
            max_failures: 3,
            task_ttl,
            timeout: class.timeout,
            body,
        };
        spec.check().map(|()| spec)
    }

    pub(super) fn check(&self) -> Result<(), SpecError> {
        if self.kind == Kind::Interactive {
            return Err(SpecError::Interactive);
        }
        let tasks = self.tasks;
        if !(1..=MAX_TASKS).contains(&tasks) {
            let max = MAX_TASKS;
            return Err(SpecError::Tasks { tasks, max });
        }
        let length = self.body.len();
        if length > MAX_BODY_BYTES {
            let max = MAX_BODY_BYTES;
            return Err(SpecError::Body { length, max });
        }
        Ok(())
    }
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Interactive => f.write_str("class is interactive; send a request instead"),
            Self::Tasks { tasks, max } => write!(f, "tasks is {tasks}, allowed is 1 to {max}"),
            Self::Body { length, max } => {
                write!(f, "body has {length} bytes, allowed are at most {max}")
            }
        }
    }
}

impl std::error::Error for SpecError {}
