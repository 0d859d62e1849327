//! Quarantine of VMs whose runs fail or stall.
//!
//! Some VMs fail everything they start while their heartbeats look healthy, and tasks have few
//! attempts. A VM with consecutive failures is quarantined, then probed with a single task before
//! it is trusted again.

use dotterel_kernel::Millis;

use crate::spec::JobId;

/// Consecutive failures of different jobs that quarantine a VM. About one run in twenty fails
/// through the caller's own fault, so three in a row by chance are about one in eight thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first quarantine; it doubles with each failed probe.
const MIN_QUARANTINE: Millis = Millis(2000);
/// Longest quarantine.
const MAX_QUARANTINE: Millis = Millis(8000);

/// Health of a VM, judged by its runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmHealth {
    failures: u32,
    last_failed_job: Option<JobId>,
    quarantined_until: Millis,
    probing: bool,
    quarantine: Millis,
}

impl VmHealth {
    /// Records a failed run.
    pub fn run_failed(&mut self, job: JobId, now: Millis) {
        if self.last_failed_job == Some(job) {
            return;
        }
        self.last_failed_job = Some(job);
        self.failures += 1;
        if self.probing || self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.start_quarantine(now);
        }
    }

    /// Records a stalled run, an unanswered start, or a start refused because the VM is unhealthy.
    pub fn run_stalled(&mut self, now: Millis) {
        self.start_quarantine(now);
    }

    /// Records a completed run.
    pub fn run_succeeded(&mut self) {
        *self = Self::default();
    }

    /// Returns true if the VM may be given another task while it has `running` runs.
    #[must_use]
    pub fn accepts_task(&self, running: usize, now: Millis) -> bool {
        if now < self.quarantined_until {
            return false;
        }
        !self.probing || running == 0
    }

    fn start_quarantine(&mut self, now: Millis) {
        if now < self.quarantined_until {
            return;
        }
        self.quarantine = Millis((self.quarantine.0 * 2).clamp(MIN_QUARANTINE.0, MAX_QUARANTINE.0));
        self.quarantined_until = now + self.quarantine;
        self.probing = true;
        self.failures = 0;
    }
}
