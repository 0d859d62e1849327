//! One step of an occurrence: its tasks, where they stand and where they may run.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::record::{StepProgress, TaskMark};
use crate::spec::Step;
use crate::vm::VmKey;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not started, or to be started again.
    Waiting,
    /// Ordered to a VM, running there or being stopped there.
    Placed(VmKey),
    /// Done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// The highest run number used.
    pub last_run: u32,
    /// Failed runs, by number.
    pub failed_runs: Vec<u32>,
    /// The state to resume from; empty for none.
    pub saved: CompactString,
    /// VMs on which it failed or stalled.
    pub avoided_vms: Vec<VmKey>,
}

/// A VM that may run a step.
#[derive(Clone, Debug)]
pub struct Allowed {
    /// The VM.
    pub vm: VmKey,
    /// Start of the VM's life for which the ticket holds.
    pub born: u64,
    /// Shown with each start.
    pub ticket: CompactString,
    /// No longer valid from this moment on.
    pub expires_at: Millis,
}

/// What the advice service has said of a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// VMs that it was asked about, sorted.
    pub requested: Vec<VmKey>,
    /// Those of them that may run the step, in the order of the answers.
    pub allowed: Vec<Allowed>,
    /// Calls under way.
    pub in_flight: u8,
    /// VMs that the calls under way name.
    pub in_flight_vms: Vec<VmKey>,
    /// When the last of them was made.
    pub requested_at: Millis,
    /// No further call before this moment.
    pub not_before: Millis,
}

/// Room set aside for a gang until it can start.
#[derive(Clone, Debug, Default)]
pub struct Reservation {
    /// VMs, and for how many members there is room on each.
    pub slots: Vec<(VmKey, u32)>,
    /// For how many members there was none.
    pub shortage: u32,
}

/// One step of an occurrence.
#[derive(Clone, Debug)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub unfinished: u32,
    /// Set once all predecessors are done.
    pub is_open: bool,
    /// When it opened.
    pub opened_at: Millis,
    /// Failed runs of the gang, by number.
    pub failed_runs: Vec<u32>,
    /// Which VMs may run it.
    pub advice: Advice,
    /// Where room is set aside for it.
    pub reservation: Reservation,
    /// When its waiting tasks were last looked at.
    pub planned_at: Millis,
}

impl StepState {
    pub(super) fn new(step: &Step, now: Millis) -> Self {
        let task = Task {
            phase: Phase::Waiting,
            last_run: 0,
            failed_runs: Vec::new(),
            saved: CompactString::default(),
            avoided_vms: Vec::new(),
        };
        Self {
            tasks: vec![task; step.count as usize],
            unfinished: step.count,
            is_open: false,
            opened_at: now,
            failed_runs: Vec::new(),
            advice: Advice::default(),
            reservation: Reservation::default(),
            planned_at: Millis::ZERO,
        }
    }

    /// Returns true when a task waits for a VM.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.unfinished > 0 && self.tasks.iter().any(|task| task.phase == Phase::Waiting)
    }

    /// Returns the tasks that are on VMs: their numbers, the VMs and the runs.
    pub fn placed(&self) -> impl Iterator<Item = (u32, VmKey, u32)> + '_ {
        (0u32..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match task.phase {
                Phase::Placed(vm) => Some((index, vm, task.last_run)),
                _ => None,
            })
    }

    pub(super) fn progress(&self) -> StepProgress {
        let mut done = vec![0u8; self.tasks.len().div_ceil(8)];
        let mut marks = Vec::new();
        for (index, task) in self.tasks.iter().enumerate() {
            if task.phase == Phase::Done {
                done[index / 8] |= 1 << (index % 8);
            } else if !task.failed_runs.is_empty() || !task.saved.is_empty() {
                marks.push(TaskMark {
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                    failed_runs: task.failed_runs.clone(),
                    last_run: task.last_run,
                    saved: task.saved.clone(),
                });
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
                task.saved = mark.saved.clone();
            }
        }
    }
}
