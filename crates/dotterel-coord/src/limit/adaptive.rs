//! A concurrency limit that adapts to the response times and overload of one VM.

use dotterel_kernel::Millis;

/// How one call ended; each outcome is a sample of the VM's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ended.
    Ended {
        /// How long the call took.
        took: Millis,
        /// How long calls of its class usually take.
        expected: Millis,
    },
    /// The VM refused the call for lack of capacity, or it timed out.
    Overload,
}

/// The weight of a new sample in the smoothed slowdown.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A smoothed slowdown up to this factor counts as normal variation.
const SLOWDOWN_THRESHOLD: f64 = 1.5;

/// The slowdown of a single call is capped at this factor, so that stragglers don't dominate.
const MAX_SLOWDOWN: f64 = 4.0;

/// The factor by which the limit is multiplied when it shrinks.
const BACKOFF_FACTOR: f64 = 0.9;

/// How long further overload is ignored after the limit has shrunk on overload.
const OVERLOAD_COOLDOWN: Millis = Millis(100);

/// The concurrency limit of one VM: additive increase, multiplicative decrease.
///
/// The limit grows only while at least half of it is used. It shrinks on overload, or when calls
/// take longer than is usual for their class.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    min: f64,
    max: f64,
    limit: f64,
    slowdown: f64,
    cooldown_end: Millis,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at `max` and stays between `min` and `max`.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        let min = min.clamp(1, max.max(1));
        Self {
            min: f64::from(min),
            max: f64::from(max.max(min)),
            limit: f64::from(max.max(min)),
            slowdown: 1.0,
            cooldown_end: Millis::ZERO,
        }
    }

    /// Returns how many calls may be in flight at once.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is at least 1 and at most a u32"
    )]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns true if one more call may be sent beside `in_flight` others.
    #[must_use]
    pub fn admits(&self, in_flight: u32) -> bool {
        in_flight < self.limit()
    }

    /// Records a call that ended at `now`, when `in_flight` calls were in flight.
    pub fn record(&mut self, outcome: CallOutcome, in_flight: u32, now: Millis) {
        let CallOutcome::Ended { took, expected } = outcome else {
            return self.shrink(OVERLOAD_COOLDOWN, now);
        };
        let ratio = took.0 as f64 / expected.0.max(1) as f64;
        self.slowdown += SAMPLE_WEIGHT * (ratio.min(MAX_SLOWDOWN) - self.slowdown);
        if self.slowdown > SLOWDOWN_THRESHOLD {
            self.shrink(expected.max(took), now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Shrinks the limit, unless an earlier shrink is still in its cooldown.
    ///
    /// The cooldown gives calls sent under the new limit time to end.
    fn shrink(&mut self, cooldown: Millis, now: Millis) {
        if now < self.cooldown_end {
            return;
        }
        self.cooldown_end = now + cooldown;
        self.limit = (self.limit * BACKOFF_FACTOR).max(self.min);
    }
}
