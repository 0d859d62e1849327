//! VMs, what runs on them and how long their leases last.

use std::collections::VecDeque;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use slotmap::{SlotMap, new_key_type};

use crate::health::VmHealth;
use crate::job::{Job, JobKey};
use crate::spec::TaskName;

new_key_type! {
    /// Points to a VM.
    pub struct VmKey;
}

/// A VM's clock may run this many hundredths slow.
const MAX_CLOCK_DRIFT_PCT: u64 = 2;
/// Time for a VM to end its tasks once their lease is over.
const LEASE_EXPIRY_MARGIN: Millis = Millis(300);

/// What the registry says of a VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmInfo {
    /// Its id.
    pub id: CompactString,
    /// Where it takes orders.
    pub address: CompactString,
    /// Wall time of its start; another value means another life.
    pub incarnation: u64,
    /// The service whose tasks it runs.
    pub service: CompactString,
    /// Its data centre.
    pub zone: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// All its labels.
    pub labels: Vec<CompactString>,
    /// What it holds.
    pub capacity: Size,
    /// Set while it is leaving.
    pub draining: bool,
    /// While it is leaving: the least time that is left.
    pub remaining: Option<Millis>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the VM's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run as a VM reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// The state to resume from; empty for none.
    pub saved: CompactString,
    /// How far it is.
    pub percent: u8,
    /// Tail latency in ms of a task that serves, else processor use.
    pub gauge: Option<u32>,
}

/// An end as a VM reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Its number on that VM.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// The state to resume from; empty for none.
    pub saved: CompactString,
}

/// A VM's account of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the life that answered.
    pub incarnation: u64,
    /// The VM's clock.
    pub clock: Millis,
    /// What runs.
    pub running: Vec<ReportedRun>,
    /// What has ended and isn't acknowledged.
    pub ended: Vec<ReportedEnd>,
}

/// What became of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs.
    Started,
    /// Another scheduler has taken over.
    Fenced,
    /// This run or a later one has already ended there.
    Old,
    /// The named lease had already run out on arrival.
    Late,
    /// The VM has no room.
    NoRoom,
    /// The ticket isn't valid any more.
    BadTicket,
    /// The VM did nothing and is unhealthy.
    Unhealthy,
    /// Another life answered.
    Reborn,
    /// The VM calls the order malformed.
    Malformed,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// How far a run on a VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Ordered, not answered.
    Starting,
    /// Known to have started.
    Running,
    /// Ordered to stop; `acked` is set once the VM has answered.
    Stopping {
        /// When the VM answered.
        acked_at: Option<Millis>,
    },
}

/// A run that takes room on a VM.
#[derive(Clone, Debug)]
pub struct VmRun {
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// The room it takes.
    pub size: Size,
    /// Its priority.
    pub priority: u8,
    /// It can be stopped without losing its work.
    pub checkpoint: bool,
    /// How far it is.
    pub phase: RunPhase,
    /// When it was ordered.
    pub ordered_at: Millis,
    /// A report of this life of the VM has listed it.
    pub reported: bool,
    /// When its start was confirmed.
    pub confirmed_at: Millis,
    /// How far its work is.
    pub percent: u8,
    /// When `percent` last grew.
    pub progressed_at: Millis,
}

/// An end that isn't acknowledged before its job's rows tell of it.
#[derive(Clone, Copy, Debug)]
pub struct PendingEnd {
    /// Its number.
    pub end_number: u64,
    /// Its job.
    pub job: JobKey,
    /// The change of the job that it brought about.
    pub seq: u64,
}

/// A VM as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Vm {
    /// What the registry says.
    pub info: VmInfo,
    /// Cleared when its entry has gone from the registry.
    pub listed: bool,
    /// When its entry went.
    pub unlisted_at: Millis,
    /// Set once it has answered this scheduler's token.
    pub fenced: bool,
    /// Nothing is started before this moment: what a former scheduler has ordered to stop takes
    /// room without being listed, until its end is.
    pub not_before: Millis,
    /// The room that its runs take.
    pub used: Size,
    /// Its runs.
    pub runs: Vec<VmRun>,
    /// The number of the last end taken in.
    pub last_end: u64,
    /// Ends up to this number are durable, or need no row.
    pub durable_end: u64,
    /// Ends that aren't, oldest first.
    pub pending_ends: VecDeque<PendingEnd>,
    /// Its clock at the last answer.
    pub clock: Millis,
    /// When the last answer came.
    pub answered_at: Millis,
    /// The latest lease end named to it, on its clock.
    pub lease_end: Millis,
    /// How well it has been working.
    pub health: VmHealth,
}

impl Vm {
    /// Returns a VM that has just been listed.
    #[must_use]
    pub fn new(info: VmInfo) -> Self {
        Self {
            info,
            listed: true,
            unlisted_at: Millis::ZERO,
            fenced: false,
            not_before: Millis::ZERO,
            used: Size::ZERO,
            runs: Vec::new(),
            last_end: 0,
            durable_end: 0,
            pending_ends: VecDeque::new(),
            clock: Millis::ZERO,
            answered_at: Millis::ZERO,
            lease_end: Millis::ZERO,
            health: VmHealth::default(),
        }
    }

    /// Returns the room that is left.
    #[must_use]
    pub fn free(&self) -> Size {
        self.info.capacity.minus(&self.used)
    }

    /// Returns the VM's clock as it must at least show `now`.
    #[must_use]
    pub fn min_clock_at(&self, now: Millis) -> Millis {
        let span = now.since(self.answered_at).0;
        self.clock + Millis(span - span * MAX_CLOCK_DRIFT_PCT / 100)
    }

    /// Returns the moment from which nothing ordered so far can be running there.
    #[must_use]
    pub fn lease_expiry(&self) -> Millis {
        let remaining = self.lease_end.since(self.clock).0;
        let max_remaining = remaining * 100 / (100 - MAX_CLOCK_DRIFT_PCT);
        self.answered_at + Millis(max_remaining) + LEASE_EXPIRY_MARGIN
    }

    /// Finds out up to which number ends are durable.
    pub fn update_durable_end(&mut self, jobs: &SlotMap<JobKey, Job>) {
        while let Some(first) = self.pending_ends.front() {
            let job = jobs.get(first.job);
            if job.is_some_and(|job| !job.end_durable && job.durable_seq < first.seq) {
                self.durable_end = self.durable_end.max(first.end_number - 1);
                return;
            }
            self.pending_ends.pop_front();
        }
        self.durable_end = self.last_end;
    }

    /// Adds a run and takes its room.
    pub fn add(&mut self, run: VmRun) {
        self.used = self.used.plus(&run.size);
        self.runs.push(run);
    }

    /// Removes a run and frees its room.
    pub fn remove(&mut self, task: TaskName, run: u32) -> Option<VmRun> {
        let at = self.find(task, run)?;
        let removed = self.runs.swap_remove(at);
        self.used = self.used.minus(&removed.size);
        Some(removed)
    }

    /// Finds a run.
    #[must_use]
    pub fn find(&self, task: TaskName, run: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|vm_run| vm_run.task == task && vm_run.run == run)
    }

    /// Counts runs of one step.
    #[must_use]
    pub fn count_step_runs(&self, task: TaskName) -> u32 {
        let same = self.runs.iter().filter(|vm_run| {
            vm_run.task.job == task.job
                && vm_run.task.round == task.round
                && vm_run.task.step == task.step
        });
        u32::try_from(same.count()).unwrap_or(u32::MAX)
    }
}
