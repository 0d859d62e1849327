//! What VMs say of their runs.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::spec::TaskName;

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The run failed, through its own fault or the VM's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start.
    Alone,
}

/// A running task as reported by a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// Task that the run belongs to.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Saved state to resume from; empty for none.
    pub saved: CompactString,
    /// Progress in percent.
    pub percent: u8,
    /// Tail latency in ms for tasks that serve requests, otherwise CPU usage.
    pub gauge: Option<u32>,
}

/// The end of a run as reported by a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Sequence number of the end on that VM.
    pub number: u64,
    /// Task that the run belongs to.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Saved state to resume from; empty for none.
    pub saved: CompactString,
}

/// A VM's report of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Incarnation that sent the report.
    pub incarnation: u64,
    /// The VM's clock.
    pub clock: Millis,
    /// Runs in progress.
    pub running: Vec<ReportedRun>,
    /// Ends that have not been acknowledged, oldest first.
    pub ended: Vec<ReportedEnd>,
    /// Set if there may be later ends that `ended` doesn't list.
    pub has_more_ends: bool,
}

/// A VM's reply to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started.
    Started,
    /// The VM has seen a newer scheduler's fencing token.
    Fenced,
    /// This run or a later one has already ended on the VM.
    Old,
    /// The lease had already expired on arrival.
    Late,
    /// The VM has no free capacity.
    NoRoom,
    /// The ticket is no longer valid.
    BadTicket,
    /// The VM is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation of the VM replied.
    Reborn,
    /// The VM rejected the order as malformed.
    Malformed,
    /// No reply: the order may have been carried out, or may be later.
    Unknown,
    /// The order was not sent.
    Withheld,
}
