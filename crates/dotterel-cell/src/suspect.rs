//! VMs that fail or stall what they run.
//!
//! Answers the pattern "some VMs fail all that they start while their heartbeats look good": tasks
//! have few attempts, so a VM whose runs fail one after the other is set aside and probed with a
//! single task before it is trusted again.

use dotterel_kernel::Millis;

use crate::spec::JobId;

/// Failures of different jobs in a row that set a VM aside. Callers' own faults are about one run
/// in twenty, so three in a row by chance are about one in eight thousand.
const FAILURES_IN_A_ROW: u32 = 3;
/// How long a VM stays set aside at first; it doubles with each failed probe.
const SET_ASIDE: Millis = Millis(2000);
/// The longest time for which a VM is set aside.
const SET_ASIDE_MAX: Millis = Millis(8000);

/// How well a VM has been working.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    failures: u32,
    last: Option<JobId>,
    until: Millis,
    probing: bool,
    aside: Millis,
}

impl Standing {
    /// Takes in a failed run.
    pub fn failed(&mut self, job: JobId, now: Millis) {
        if self.last == Some(job) {
            return;
        }
        self.last = Some(job);
        self.failures += 1;
        if self.probing || self.failures >= FAILURES_IN_A_ROW {
            self.set_aside(now);
        }
    }

    /// Takes in a run that stood still, or an order that was refused as unhealthy.
    pub fn stalled(&mut self, now: Millis) {
        self.set_aside(now);
    }

    /// Takes in a run that ended well.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Returns how many further tasks the VM may be given, of those that it has room for.
    #[must_use]
    pub fn allows(&self, running: usize, now: Millis) -> bool {
        if now < self.until {
            return false;
        }
        !self.probing || running == 0
    }

    fn set_aside(&mut self, now: Millis) {
        if now < self.until {
            return;
        }
        self.aside = Millis((self.aside.0 * 2).clamp(SET_ASIDE.0, SET_ASIDE_MAX.0));
        self.until = now + self.aside;
        self.probing = true;
        self.failures = 0;
    }
}
