//! What became of a task's former run.

use dotterel_kernel::Millis;

use crate::cell::LossReason;
use crate::vm::{RunOutcome, StartAnswer, VmKey};

/// Why a task may start although it has had a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The run was lost with its VM.
    Lost(LossReason),
    /// The VM has reported the run's end.
    Ended(RunOutcome),
    /// A report of the VM didn't list the run.
    Absent,
    /// The VM has acknowledged a stop and reported neither the run nor its end.
    StopAcknowledged,
    /// The VM has not started the run.
    NotStarted(StartAnswer),
    /// The start was never sent.
    Withdrawn,
    /// The run may go on, and the task starts as a copy.
    Copied,
    /// The job was restored after a takeover, and no VM has reported a run of an earlier term.
    EarlierTerm,
}

/// The former run of a task that waits, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerRun {
    /// Why the task may start again.
    pub release: Release,
    /// VM of the run; null if it isn't known.
    pub vm: VmKey,
    /// Run number; zero if it isn't known.
    pub run: u32,
    /// When the task became free to start again.
    pub released_at: Millis,
}
