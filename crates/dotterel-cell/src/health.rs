//! VMs that fail or stall what they run.
//!
//! Answers the pattern "some VMs fail all that they start while their heartbeats look good": tasks
//! have few attempts, so a VM whose runs fail one after the other is set aside and probed with a
//! single task before it is trusted again.

use dotterel_kernel::Millis;

use crate::spec::JobId;

/// Failures of different jobs in a row that set a VM aside. Callers' own faults are about one run
/// in twenty, so three in a row by chance are about one in eight thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a VM stays set aside at first; it doubles with each failed probe.
const MIN_QUARANTINE: Millis = Millis(2000);
/// The longest time for which a VM is set aside.
const MAX_QUARANTINE: Millis = Millis(8000);

/// How well a VM has been working.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmHealth {
    failures: u32,
    last_failed_job: Option<JobId>,
    quarantined_until: Millis,
    probing: bool,
    quarantine: Millis,
}

impl VmHealth {
    /// Takes in a failed run.
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

    /// Takes in a run that stood still, or an order that was refused as unhealthy.
    pub fn run_stalled(&mut self, now: Millis) {
        self.start_quarantine(now);
    }

    /// Takes in a run that ended well.
    pub fn run_succeeded(&mut self) {
        *self = Self::default();
    }

    /// Returns how many further tasks the VM may be given, of those that it has room for.
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
