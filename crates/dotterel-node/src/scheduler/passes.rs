//! Durations of the passes through a cell's state. All tasks of a node share one thread, so a long pass
//! delays renewals, polls and requests alike.

use std::time::{Duration, Instant};

use dotterel_kernel::Millis;

use super::Scheduler;
use super::writer::RENEW_INTERVAL;
use crate::platform::Platform;

/// What a pass does.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pass {
    Submit,
    Tick,
    Plan,
    Report,
    Restore,
}

impl Pass {
    const fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Tick => "tick",
            Self::Plan => "plan",
            Self::Report => "report",
            Self::Restore => "restore",
        }
    }
}

impl<P: Platform> Scheduler<P> {
    /// Records the duration of a pass, and logs it if it delays a renewal of the leadership.
    pub(super) fn note_pass(&self, pass: Pass, started_at: Instant) -> Duration {
        let duration = started_at.elapsed();
        match pass {
            Pass::Plan => self.metrics.record_plan(duration),
            _ => self.metrics.record_pass(pass.name(), duration),
        }
        if duration >= RENEW_INTERVAL.duration() {
            let took = Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX));
            let waiting = self.cell.borrow().waiting_steps();
            log::warn!(
                cell = self.cell_no.0, pass = pass.name(), took_ms = took.0, waiting_steps = waiting;
                "long pass");
        }
        duration
    }
}
