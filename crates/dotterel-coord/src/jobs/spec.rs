//! What a job consists of.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::{Class, DataCentre, Kind, Millis, Service, Size, Urgency};
use serde::{Deserialize, Serialize};

/// The largest body of a job, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// The most tasks of one job.
const MAX_TASKS: u32 = 4096;

/// A checked job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its service.
    pub service: Service,
    /// Its class within the service.
    pub class: CompactString,
    /// Where it was submitted.
    pub origin: DataCentre,
    /// How its tasks run.
    pub kind: Kind,
    /// How much its start matters against that of other jobs.
    pub urgency: Urgency,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task takes of a VM.
    pub size: Size,
    /// Whether a task that was stopped before its end may run again.
    pub repeatable: bool,
    /// How often a task may fail before the job fails; a service's tasks may always fail.
    pub max_failures: u32,
    /// How long a task's lease lasts.
    pub task_ttl: Millis,
    /// The longest a task may run.
    pub timeout: Millis,
    /// What every task is given.
    pub body: Bytes,
}

/// Why a job cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The class runs while its caller waits.
    Interactive,
    /// The number of tasks is zero or too large.
    Tasks {
        /// The number.
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
    /// Describes a job of a document's class.
    ///
    /// # Errors
    ///
    /// Returns the value that is out of range.
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
        if length > MAX_BODY {
            let max = MAX_BODY;
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
