//! Ejection of VMs whose runs fail or stall.
//!
//! Some VMs fail everything they start while their heartbeats look healthy, and tasks have few
//! attempts. A VM with consecutive failures is ejected for a while, then probed with a single task
//! before it gets more. Runs from before the ejection go on, and show nothing about later starts.

use dotterel_kernel::Millis;

use crate::spec::TaskName;
use crate::vm::{RunPhase, VmRun};

/// Consecutive failures of different tasks after which a VM is ejected. About one run in twenty
/// fails through the caller's own fault, so three in a row by chance are about one in eight
/// thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each failed probe.
const MIN_EJECTION_TIME: Millis = Millis(2000);
/// Longest ejection.
const MAX_EJECTION_TIME: Millis = Millis(8000);
/// A probe that has been running for this long shows a sound VM, as tasks that last never end: longer
/// than it takes to find that a run stands still.
const PROBE_TIME: Millis = Millis(3000);

/// What the runs on a VM show about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// Nothing has been started since the last ejection ended.
    None,
    /// A probe has not shown anything yet.
    Pending,
    /// A probe has been running for long.
    Passed,
}

/// Health of a VM, judged by its runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmHealth {
    failures: u32,
    last_failed_task: Option<TaskName>,
    ejected_until: Millis,
    probing: bool,
    ejection_time: Millis,
}

impl VmHealth {
    /// Records a failed run.
    pub fn run_failed(&mut self, task: TaskName, now: Millis) {
        if self.last_failed_task == Some(task) {
            return;
        }
        self.last_failed_task = Some(task);
        self.failures += 1;
        if self.probing || self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Records a stalled run, an unanswered start, or a start refused because the VM is unhealthy.
    pub fn run_stalled(&mut self, now: Millis) {
        self.eject(now);
    }

    /// Records a completed run.
    pub fn run_succeeded(&mut self) {
        *self = Self::default();
    }

    fn probe_state(&self, runs: &[VmRun], now: Millis) -> ProbeState {
        let mut state = ProbeState::None;
        for vm_run in runs
            .iter()
            .filter(|run| run.ordered_at >= self.ejected_until)
        {
            let is_running = vm_run.phase == RunPhase::Running;
            if is_running && now.since(vm_run.confirmed_at) >= PROBE_TIME {
                return ProbeState::Passed;
            }
            state = ProbeState::Pending;
        }
        state
    }

    /// Returns true if the VM may be given another task beside these runs.
    #[must_use]
    pub fn accepts_task(&self, runs: &[VmRun], now: Millis) -> bool {
        if now < self.ejected_until {
            return false;
        }
        !self.probing || self.probe_state(runs, now) != ProbeState::Pending
    }

    fn eject(&mut self, now: Millis) {
        if now < self.ejected_until {
            return;
        }
        self.ejection_time =
            Millis((self.ejection_time.0 * 2).clamp(MIN_EJECTION_TIME.0, MAX_EJECTION_TIME.0));
        self.ejected_until = now + self.ejection_time;
        self.probing = true;
        self.failures = 0;
    }
}
