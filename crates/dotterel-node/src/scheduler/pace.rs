//! How long the planner waits between plans, and polls of VMs on small links.

use std::cell::Cell as StdCell;
use std::time::Duration;

use dotterel_kernel::Millis;

/// Delay before planning, so that events within it share one plan: a plan visits every waiting
/// step.
const MIN_DELAY: Duration = Duration::from_millis(3);
/// Plans take long when there is a backlog. A pause of this many times the last plan's duration leaves
/// time for other work.
const PAUSE_FACTOR: u32 = 3;
/// A plan that would ask for a longer pause was interrupted: the process or its machine stood still.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Returns the delay before the next plan, given how long the last one took.
#[must_use]
pub fn plan_delay(last_plan: Duration) -> Duration {
    last_plan
        .saturating_mul(PAUSE_FACTOR)
        .clamp(MIN_DELAY, MAX_DELAY)
}

/// Polls are paced on links up to this bandwidth. They take several Mbit/s for 350 VMs.
const MAX_PACED_LINK_KBPS: u32 = 10_000;
/// Part of the link that polls may use, as a divisor.
const POLL_SHARE_DIVISOR: u32 = 2;
/// The longest delay of a poll. A VM replies at least once a second, with room for a round trip within
/// the 1.4 s after which it gets no tasks, as the poll then waits for as much less.
const MAX_POLL_DELAY: Millis = Millis(600);
/// Polls may be this far ahead of their rate.
const POLL_BURST: Millis = Millis(50);

/// Bounds the part of a small link that polls of VMs take. Other calls to VMs are sent at once, and polls
/// make up for them.
#[derive(Debug)]
pub struct PollPace {
    /// What polls may use of the link.
    bytes_per_ms: u64,
    /// Bytes that were sent ahead of that rate, at the time of the last call.
    excess: StdCell<u64>,
    updated_at: StdCell<Millis>,
}

impl PollPace {
    /// Returns the pace for a link, or `None` if it need not be bounded.
    #[must_use]
    pub fn for_link(link_kbps: Option<u32>) -> Option<Self> {
        let link_kbps = link_kbps.filter(|link_kbps| *link_kbps <= MAX_PACED_LINK_KBPS)?;
        Some(Self {
            bytes_per_ms: u64::from(link_kbps / 8 / POLL_SHARE_DIVISOR).max(1),
            excess: StdCell::default(),
            updated_at: StdCell::default(),
        })
    }

    /// Counts a poll with its reply, and returns how much later it is to be sent.
    pub fn poll_delay(&self, bytes: u64, now: Millis) -> Millis {
        let excess = self.excess_at(now);
        self.add(excess, bytes);
        let delay = (excess / self.bytes_per_ms).saturating_sub(POLL_BURST.0);
        Millis(delay).min(MAX_POLL_DELAY)
    }

    /// Counts another call, which is sent at once.
    pub fn count_order(&self, bytes: u64, now: Millis) {
        let excess = self.excess_at(now);
        self.add(excess, bytes);
    }

    fn excess_at(&self, now: Millis) -> u64 {
        let passed = now.since(self.updated_at.replace(now));
        let sent = passed.0.saturating_mul(self.bytes_per_ms);
        self.excess.get().saturating_sub(sent)
    }

    fn add(&self, excess: u64, bytes: u64) {
        // More would not delay polls any further, but for longer than the load lasts.
        let max_excess = (MAX_POLL_DELAY + POLL_BURST).0 * self.bytes_per_ms;
        self.excess.set((excess + bytes).min(max_excess));
    }
}
