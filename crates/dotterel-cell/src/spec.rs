//! Job specifications, and the validation of submitted jobs.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use serde::{Deserialize, Serialize};

use crate::record::encode;

/// Maximum length of the text passed to tasks, in bytes, as stated in the interface for callers.
pub const MAX_SPEC_BYTES: usize = 4000;
/// Maximum number of steps of a job, far above what callers send.
pub const MAX_STEPS: usize = 256;
/// Maximum number of tasks of a step, far above what callers send.
pub const MAX_TASKS: u32 = 20_000;
/// Maximum number of tasks of a job: which of them are done is kept in one row of the store.
pub const MAX_JOB_TASKS: u32 = 200_000;

/// Maximum length of an encoded job, in bytes. It is stored in one row, with its policy and tenant.
pub const MAX_JOB_BYTES: usize = 56_000;
/// Maximum length of the names of queues, services and tenants, in bytes.
pub const MAX_NAME_BYTES: usize = 1000;

/// Job id chosen by the caller: 16 hexadecimal digits, the letters in lower case. Ids that differ in the case
/// of a letter would name one job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let digits = text.len() == 16 && text.bytes().all(is_digit);
        if !digits {
            return Err(SpecError::Id);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| SpecError::Id)
    }
}

/// Identifies a task by its job, round, step and index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskName {
    /// Id of the job.
    pub job: JobId,
    /// Number of the round; zero for a job without a schedule.
    pub round: u32,
    /// Index of the step.
    pub step: u16,
    /// Index of the task in its step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}

impl FromStr for TaskName {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(SpecError::Id);
        let name = Self {
            job: next()?.parse()?,
            round: next()?.parse().map_err(|_| SpecError::Id)?,
            step: next()?.parse().map_err(|_| SpecError::Id)?,
            index: next()?.parse().map_err(|_| SpecError::Id)?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(SpecError::Id),
        }
    }
}

/// Cost of calls to a queue's advice service, and the lifetime of its tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Fixed duration of a call.
    pub base_cost: Millis,
    /// Additional microseconds per VM named in a call.
    pub per_vm_us: u32,
    /// Lifetime of a ticket, counted from the reply.
    pub ticket_ttl: Millis,
}

/// Policy of a job's queue, from the configuration in force when the job was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the queue.
    pub queue: CompactString,
    /// Service whose VMs run the tasks.
    pub service: CompactString,
    /// Lower numbers go first and may preempt higher ones.
    pub priority: u8,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u8,
    /// The objective is this percentage of the critical path, plus `allowance`.
    pub stretch_pct: u32,
    /// Fixed part of the objective.
    pub allowance: Millis,
    /// Set if an advice service decides which VMs may run a step.
    pub advice: Option<AdviceTerms>,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Size,
    /// The caller's estimate of a task's duration.
    pub estimate: Millis,
    /// Indices of the steps that have to be done first.
    pub after: Vec<u16>,
    /// The tasks form a gang: they only work together.
    pub gang: bool,
    /// The tasks of a gang work faster within one rack.
    pub one_rack: bool,
    /// The tasks save their progress and can resume elsewhere.
    pub checkpoint: bool,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Label that the VM must have; empty for none.
    pub label: CompactString,
    /// Rack that holds the data; empty for none.
    pub rack: CompactString,
    /// Maximum number of the step's tasks on one VM; zero for no limit.
    pub max_per_vm: u32,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Bound on the tail latency of what the tasks serve; zero for none.
    pub tail_latency: Millis,
    /// The tasks only use CPU time that others leave idle.
    pub best_effort: bool,
    /// Number of tasks of a long-running step that may be unavailable at once.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the maximum number of the step's tasks on one VM.
    #[must_use]
    pub const fn tasks_per_vm(&self) -> u32 {
        if self.max_per_vm > 0 {
            self.max_per_vm
        } else {
            self.count
        }
    }
}

/// A validated job specification.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to each task.
    pub text: CompactString,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Number of rounds; zero for a job that runs once, immediately.
    pub repeats: u32,
    /// Wall-clock time at which the first round is due.
    pub first_due: Millis,
    /// Interval between rounds.
    pub period: Millis,
}

/// A step before validation.
#[derive(Clone, Debug, Default)]
pub struct RawStep {
    /// See [`Step`]; its predecessors are in `after`.
    pub step: Step,
    /// Predecessors as submitted.
    pub after: Vec<u64>,
}

/// A job before validation.
#[derive(Clone, Debug, Default)]
pub struct RawJob {
    /// Text passed to each task.
    pub text: CompactString,
    /// Steps in order.
    pub steps: Vec<RawStep>,
    /// Number of rounds.
    pub repeats: u64,
    /// Wall-clock time at which the first round is due.
    pub first_due: Millis,
    /// Interval between rounds.
    pub period: Millis,
}

/// Reason for rejecting a malformed id or job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The id is not 16 hexadecimal digits in lower case.
    Id,
    /// The text is longer than [`MAX_SPEC_BYTES`].
    TextTooLong,
    /// There are no steps, or more than [`MAX_STEPS`].
    StepCount,
    /// A step has no tasks, or more than [`MAX_TASKS`].
    TaskCount,
    /// The steps have more than [`MAX_JOB_TASKS`] tasks together.
    JobTaskCount,
    /// The job is longer than [`MAX_JOB_BYTES`] once it is encoded.
    TooLong,
    /// A step depends on itself or on a later step.
    After,
    /// The schedule has no period or too many rounds.
    Schedule,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Id => "the id must have 16 hexadecimal digits, with letters in lower case",
            Self::TextTooLong => "the task text must have at most 4000 bytes",
            Self::StepCount => "a job must have 1 to 256 steps",
            Self::TaskCount => "a step must have 1 to 20000 tasks",
            Self::JobTaskCount => "a job must have at most 200000 tasks",
            Self::TooLong => "a job must have at most 56000 bytes in its stored form",
            Self::After => "a step may only come after earlier steps",
            Self::Schedule => "a schedule needs a period and at most 4294967295 occurrences",
        })
    }
}

impl std::error::Error for SpecError {}

impl TryFrom<RawJob> for JobSpec {
    type Error = SpecError;

    fn try_from(raw: RawJob) -> Result<Self, SpecError> {
        if raw.text.len() > MAX_SPEC_BYTES {
            return Err(SpecError::TextTooLong);
        }
        if raw.steps.is_empty() || raw.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        let repeats = u32::try_from(raw.repeats).map_err(|_| SpecError::Schedule)?;
        if repeats > 1 && raw.period == Millis::ZERO {
            return Err(SpecError::Schedule);
        }
        let mut steps = Vec::with_capacity(raw.steps.len());
        for (number, raw) in raw.steps.into_iter().enumerate() {
            let mut step = raw.step;
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(SpecError::TaskCount);
            }
            for prior in raw.after {
                match u16::try_from(prior) {
                    Ok(prior) if usize::from(prior) < number => step.after.push(prior),
                    _ => return Err(SpecError::After),
                }
            }
            steps.push(step);
        }
        if steps.iter().map(|step| step.count).sum::<u32>() > MAX_JOB_TASKS {
            return Err(SpecError::JobTaskCount);
        }
        let spec = Self {
            text: raw.text,
            steps,
            repeats,
            first_due: raw.first_due,
            period: raw.period,
        };
        if encode(&spec).len() > MAX_JOB_BYTES {
            return Err(SpecError::TooLong);
        }
        Ok(spec)
    }
}

impl JobSpec {
    /// Returns the estimated duration of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step
                .after
                .iter()
                .map(|prior| ends[usize::from(*prior)])
                .max()
                .unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated duration of the longest chain that starts with a given step.
    #[must_use]
    pub fn critical_path_from(&self, step: u16) -> Millis {
        let first = usize::from(step);
        // End of each step that depends on the first one, relative to the start of the first one.
        let mut ends: Vec<Option<Millis>> = vec![None; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().skip(first) {
            let start = if number == first {
                Some(Millis::ZERO)
            } else {
                step.after
                    .iter()
                    .filter_map(|prior| ends[usize::from(*prior)])
                    .max()
            };
            ends[number] = start.map(|start| start + step.estimate);
        }
        ends.into_iter().flatten().max().unwrap_or_default()
    }

    /// Returns true if any step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
