//! Jobs as callers hand them in, checked.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use serde::{Deserialize, Serialize};

/// The longest text that a job passes to its tasks, in bytes; the callers' interface states it.
pub const MAX_SPEC_BYTES: usize = 4000;
/// The most steps of a job. A bound of our own, far above what callers send.
pub const MAX_STEPS: usize = 256;
/// The most tasks of a step. A bound of our own, far above what callers send.
pub const MAX_TASKS: u32 = 20_000;

/// The id that a caller gave to a job.
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
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return Err(SpecError::Id);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| SpecError::Id)
    }
}

/// Names a task: its job, occurrence, step and place in the step.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence; zero for a job without a schedule.
    pub round: u32,
    /// The step's number.
    pub step: u16,
    /// The task's number in its step.
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

/// How a queue's advice service is asked, and how long its tickets last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Fixed time of a call.
    pub base_cost: Millis,
    /// Further microseconds for each VM named.
    pub per_vm_us: u32,
    /// How long a ticket is valid from the answer.
    pub ticket_ttl: Millis,
}

/// What the configuration in force said of a job's queue when the job was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The queue.
    pub queue: CompactString,
    /// The service whose VMs run the tasks.
    pub service: CompactString,
    /// Zero goes first and may preempt others.
    pub priority: u8,
    /// After so many failed runs of a task the job has failed.
    pub max_attempts: u8,
    /// The objective is this many hundredths of the chain of work, and `allowance` more.
    pub stretch_pct: u32,
    /// The fixed part of the objective.
    pub allowance: Millis,
    /// Set where only some VMs may run a step.
    pub advice: Option<AdviceTerms>,
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Size,
    /// The caller's estimate of a task's duration.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks only work together.
    pub gang: bool,
    /// The tasks should share a rack.
    pub one_rack: bool,
    /// The tasks save their progress and can resume elsewhere.
    pub checkpoint: bool,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// A label that the VM must have; empty for none.
    pub label: CompactString,
    /// The rack that holds the data; empty for none.
    pub rack: CompactString,
    /// At most so many tasks of the step on one VM; zero for no limit.
    pub max_per_vm: u32,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Bound on the tail latency of what the tasks serve; zero for none.
    pub tail_latency: Millis,
    /// The tasks use whatever processor time the others leave.
    pub best_effort: bool,
    /// So many tasks of a lasting step may be away at once.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns how many of its tasks one VM may run.
    #[must_use]
    pub const fn tasks_per_vm(&self) -> u32 {
        if self.max_per_vm > 0 {
            self.max_per_vm
        } else {
            self.count
        }
    }
}

/// A checked job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to each task.
    pub text: CompactString,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Number of occurrences; zero for a job that runs once, at once.
    pub repeats: u32,
    /// Wall time at which the first occurrence is due.
    pub first_due: Millis,
    /// Time between occurrences.
    pub period: Millis,
}

/// A step before it is checked.
#[derive(Clone, Debug, Default)]
pub struct RawStep {
    /// See [`Step`]; whole numbers as they came.
    pub step: Step,
    /// Numbers of earlier steps as they came.
    pub after: Vec<u64>,
}

/// A job before it is checked.
#[derive(Clone, Debug, Default)]
pub struct RawJob {
    /// Text passed to each task.
    pub text: CompactString,
    /// The steps.
    pub steps: Vec<RawStep>,
    /// Number of occurrences.
    pub repeats: u64,
    /// Wall time of the first one.
    pub first_due: Millis,
    /// Time between them.
    pub period: Millis,
}

/// Why a job is refused as malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The id is not 16 hexadecimal digits.
    Id,
    /// The text is longer than [`MAX_SPEC_BYTES`].
    TextTooLong,
    /// There is no step, or there are more than [`MAX_STEPS`].
    StepCount,
    /// A step has no task, or more than [`MAX_TASKS`].
    TaskCount,
    /// A step names itself or a later one as its predecessor.
    After,
    /// The schedule has no period or too many occurrences.
    Schedule,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Id => "the id must have 16 hexadecimal digits",
            Self::TextTooLong => "the task text must have at most 4000 bytes",
            Self::StepCount => "a job must have 1 to 256 steps",
            Self::TaskCount => "a step must have 1 to 20000 tasks",
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
            for before in raw.after {
                match u16::try_from(before) {
                    Ok(before) if usize::from(before) < number => step.after.push(before),
                    _ => return Err(SpecError::After),
                }
            }
            steps.push(step);
        }
        Ok(Self {
            text: raw.text,
            steps,
            repeats,
            first_due: raw.first_due,
            period: raw.period,
        })
    }
}

impl JobSpec {
    /// Returns the estimate of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .map(|before| ends[usize::from(*before)])
                .max()
                .unwrap_or_default();
            ends.push(begin + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimate of the longest chain of steps that begins with a step.
    #[must_use]
    pub fn critical_path_from(&self, step: u16) -> Millis {
        let first = usize::from(step);
        // How long after the beginning of `step` each step that follows it ends.
        let mut ends: Vec<Option<Millis>> = vec![None; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().skip(first) {
            let begin = if number == first {
                Some(Millis::ZERO)
            } else {
                step.after
                    .iter()
                    .filter_map(|before| ends[usize::from(*before)])
                    .max()
            };
            ends[number] = begin.map(|begin| begin + step.estimate);
        }
        ends.into_iter().flatten().max().unwrap_or_default()
    }

    /// Returns true when some tasks run until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
