//! State of a step in one round: its tasks, advice and reservation.

use std::ops::{Deref, DerefMut};

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::{FormerRun, ProgressDetail, Sparse, Unset};
use crate::record::{LostRun, StepProgress, Suspicion, TaskMark};
use crate::spec::Step;
use crate::vm::VmKey;

/// Crashes that only one task can have caused, after which its job fails. A VM that crashes by itself
/// just after a start looks the same, but hardly twice for one task.
const MAX_SOLE_CRASHES: usize = 2;
/// Crashes of VMs that had just started a task, after which its job fails, whatever else they had started.
const MAX_CRASHES: usize = 5;
/// After this many losses a task is kept apart from other such tasks, even if none of them had just started it.
const MAX_LOSSES_AS_BYSTANDER: usize = 3;
/// After this many losses the next start waits until all of them are known to be crashes or not.
const MAX_UNCONFIRMED_LOSSES: usize = 3;
/// But no longer than this after the last one: most VMs that crash are back by then, and one that is lost for
/// good never tells.
const MAX_VERDICT_WAIT: Millis = Millis::secs(3);

/// Longer states of tasks aren't stored: with all else, the history of a task has to fit a row.
const MAX_SAVED_BYTES: usize = 16_000;
/// Losses of a task that are stored, the latest ones; each may take 400 bytes.
const MAX_LOST_RUNS: usize = 64;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting to be started or restarted.
    Waiting,
    /// On a VM: ordered, running or being stopped.
    Placed(VmKey),
    /// Done.
    Done,
}

/// State of one task. There may be hundreds of thousands of them, and most have no history.
#[derive(Clone, Debug)]
pub struct Task {
    /// Current phase.
    pub phase: Phase,
    /// Number of the current run, or of the last one.
    pub last_run: u32,
    /// Highest run number known; it can be that of an earlier term's run, and no current one.
    pub highest_run: u32,
    /// The run before the next start, until that is confirmed; `None` before the first one.
    pub former: Option<FormerRun>,
    history: Sparse<History>,
}

/// What has happened to a task, apart from starting and being done.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Numbers of the failed runs.
    pub failed_runs: Vec<u32>,
    /// Saved state to resume from; empty for none.
    pub saved: CompactString,
    /// VMs on which the task failed or stalled.
    pub avoided_vms: Vec<VmKey>,
    /// Runs lost with their VM, and isolated runs that may be.
    pub lost_runs: Vec<LostRun>,
    /// Time of the last loss.
    pub lost_at: Millis,
    /// When a run of the task was last found to be over although no end of it was listed.
    pub vanished_at: Millis,
    /// Runs on VMs that weren't the current one when they were found, and may have ended since.
    pub other_runs: Vec<(VmKey, u32)>,
}

impl Unset for History {
    const UNSET: &'static Self = &Self {
        failed_runs: Vec::new(),
        saved: CompactString::const_new(""),
        avoided_vms: Vec::new(),
        lost_runs: Vec::new(),
        lost_at: Millis::ZERO,
        vanished_at: Millis::ZERO,
        other_runs: Vec::new(),
    };
}

impl Deref for Task {
    type Target = History;

    fn deref(&self) -> &History {
        &self.history
    }
}

impl DerefMut for Task {
    fn deref_mut(&mut self) -> &mut History {
        &mut self.history
    }
}

impl Task {
    /// Returns what to store of the task for a successor, if there is anything.
    fn mark(&self, index: u32, detail: ProgressDetail) -> Option<TaskMark> {
        let keeps_saved = match detail {
            ProgressDetail::Full => true,
            ProgressDetail::WithoutRunning => {
                self.phase == Phase::Waiting && self.saved.len() <= MAX_SAVED_BYTES
            }
        };
        let saved = if keeps_saved {
            self.saved.clone()
        } else {
            CompactString::default()
        };
        let has_history =
            !self.failed_runs.is_empty() || !saved.is_empty() || !self.lost_runs.is_empty();
        has_history.then(|| TaskMark {
            index,
            failed_runs: self.failed_runs.clone(),
            last_run: self.highest_run,
            saved,
            lost_runs: self.lost_runs[self.lost_runs.len().saturating_sub(MAX_LOST_RUNS)..]
                .to_vec(),
        })
    }

    /// Returns true if the task waits, and nobody else can have counted the end of a run that vanished, as
    /// this leader has been confirmed by a renewal sent at `confirmed_at`.
    #[must_use]
    pub fn is_startable(&self, confirmed_at: Millis) -> bool {
        self.phase == Phase::Waiting && confirmed_at >= self.vanished_at
    }

    /// Returns true if the task may have crashed a VM and is to run alone.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.lost_runs.len() >= MAX_LOSSES_AS_BYSTANDER || self.is_suspected_of(Suspicion::Shared)
    }

    /// Returns true if some loss of the task is at least this suspicious.
    #[must_use]
    pub fn is_suspected_of(&self, least: Suspicion) -> bool {
        self.lost_runs.iter().any(|lost| lost.suspicion >= least)
    }

    /// Returns true if the next start has to wait until it is known whether earlier runs have
    /// crashed their VMs.
    #[must_use]
    pub fn awaits_verdict(&self, now: Millis) -> bool {
        let is_open = |lost: &LostRun| !lost.confirmed;
        self.lost_runs.len() >= MAX_UNCONFIRMED_LOSSES
            && now.since(self.lost_at) < MAX_VERDICT_WAIT
            && self.lost_runs.iter().any(is_open)
    }

    /// Returns true if the task has certainly crashed several VMs. VMs that were lost long after its start
    /// don't count: they also crash by themselves, and a task that lasts sees many of them.
    #[must_use]
    pub fn crashes_vms(&self) -> bool {
        let is_evidence = |lost: &&LostRun| lost.confirmed && lost.suspicion > Suspicion::Bystander;
        let confirmed = || self.lost_runs.iter().filter(is_evidence);
        let sole = confirmed().filter(|lost| lost.suspicion == Suspicion::Sole);
        sole.count() >= MAX_SOLE_CRASHES || confirmed().count() >= MAX_CRASHES
    }
}

/// A VM that may run a step.
#[derive(Clone, Debug)]
pub struct Allowed {
    /// Key of the VM.
    pub vm: VmKey,
    /// Incarnation of the VM for which the ticket is valid.
    pub incarnation: u64,
    /// Sent with each start order.
    pub ticket: CompactString,
    /// Time at which the ticket expires.
    pub expires_at: Millis,
}

/// Replies of the advice service about a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// VMs covered by replies so far, sorted.
    pub requested: Vec<VmKey>,
    /// VMs that may run the step, in the order of the replies.
    pub allowed: Vec<Allowed>,
    /// Number of calls in flight.
    pub in_flight: u8,
    /// VMs named by the calls in flight.
    pub in_flight_vms: Vec<VmKey>,
    /// Time of the last request.
    pub requested_at: Millis,
    /// No further request before this time.
    pub not_before: Millis,
}

impl Unset for Advice {
    const UNSET: &'static Self = &Self {
        requested: Vec::new(),
        allowed: Vec::new(),
        in_flight: 0,
        in_flight_vms: Vec::new(),
        requested_at: Millis::ZERO,
        not_before: Millis::ZERO,
    };
}

/// Capacity reserved for a gang until it can start.
#[derive(Clone, Debug, Default)]
pub struct Reservation {
    /// VMs, with the number of members that fit on each.
    pub slots: Vec<(VmKey, u32)>,
    /// Number of members without capacity.
    pub shortage: u32,
}

impl Unset for Reservation {
    const UNSET: &'static Self = &Self {
        slots: Vec::new(),
        shortage: 0,
    };
}

/// State of one step in a round.
#[derive(Clone, Debug)]
pub struct StepState {
    /// States of its tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Set once all predecessors are done.
    pub is_open: bool,
    /// Time at which the step opened.
    pub opened_at: Millis,
    /// Numbers of the failed runs of the gang.
    pub failed_runs: Vec<u32>,
    /// Advice on the VMs that may run the step.
    pub advice: Sparse<Advice>,
    /// Capacity reserved for the step.
    pub reservation: Sparse<Reservation>,
    /// Time of the last attempt to place its waiting tasks.
    pub planned_at: Millis,
}

impl StepState {
    pub(super) fn new(step: &Step, now: Millis) -> Self {
        let task = Task {
            phase: Phase::Waiting,
            last_run: 0,
            highest_run: 0,
            former: None,
            history: Sparse::default(),
        };
        Self {
            tasks: vec![task; step.count as usize],
            unfinished: step.count,
            is_open: false,
            opened_at: now,
            failed_runs: Vec::new(),
            advice: Sparse::default(),
            reservation: Sparse::default(),
            planned_at: Millis::ZERO,
        }
    }

    /// Returns true if a task is waiting for a VM.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.unfinished > 0 && self.tasks.iter().any(|task| task.phase == Phase::Waiting)
    }

    /// Iterates over the tasks on VMs: index, VM and run number.
    pub fn placed(&self) -> impl Iterator<Item = (u32, VmKey, u32)> + '_ {
        (0u32..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match task.phase {
                Phase::Placed(vm) => Some((index, vm, task.last_run)),
                _ => None,
            })
    }

    pub(super) fn progress(&self, detail: ProgressDetail) -> StepProgress {
        let mut done = vec![0u8; self.tasks.len().div_ceil(8)];
        let mut marks = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase == Phase::Done {
                done[index / 8] |= 1 << (index % 8);
            } else {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                marks.extend(task.mark(index, detail));
            }
        }
        StepProgress {
            done,
            marks,
            failed_runs: self.failed_runs.clone(),
        }
    }

    pub(super) fn restore(&mut self, saved: &StepProgress) {
        self.failed_runs = saved.failed_runs.clone();
        for (index, task) in self.tasks.iter_mut().enumerate() {
            let bits = saved.done.get(index / 8).copied().unwrap_or_default();
            if bits & (1 << (index % 8)) != 0 {
                task.phase = Phase::Done;
                self.unfinished -= 1;
            }
        }
        for mark in &saved.marks {
            if let Some(task) = self.tasks.get_mut(mark.index as usize) {
                task.failed_runs = mark.failed_runs.clone();
                task.last_run = mark.last_run;
                task.highest_run = mark.last_run;
                task.saved = mark.saved.clone();
                task.lost_runs = mark.lost_runs.clone();
            }
        }
    }
}
