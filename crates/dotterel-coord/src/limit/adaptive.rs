//! A concurrency limit that follows how one VM copes.

use dotterel_kernel::Millis;

/// How one call ended, as far as the VM's load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ended after this time, where so long was expected.
    Ended {
        /// How long it took.
        took: Millis,
        /// How long calls of its class usually take.
        expected: Millis,
    },
    /// The VM refused it for want of room, or did not answer in time.
    Overload,
}

/// The weight of a new sample in the smoothed slowdown.
const WEIGHT: f64 = 0.1;

/// A slowdown up to this factor is taken for chance.
const TOLERANCE: f64 = 1.5;

/// No single call counts for more than this slowdown, because a few are stragglers.
const MAX_SLOWDOWN: f64 = 4.0;

/// What is left of the limit after a sign of overload.
const BACKOFF: f64 = 0.9;

/// The time after a shrink on overload in which further signs of it count for nothing.
const CALM: Millis = Millis(100);

/// The concurrency limit of one VM: additive increase, multiplicative decrease.
///
/// The limit grows only while it is used, and shrinks on overload or when calls take longer than
/// calls of their class usually do.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    min: f64,
    max: f64,
    limit: f64,
    slowdown: f64,
    calm_from: Millis,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at `most` and stays between `min` and `most`.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        let min = min.clamp(1, max.max(1));
        Self {
            min: f64::from(min),
            max: f64::from(max.max(min)),
            limit: f64::from(max.max(min)),
            slowdown: 1.0,
            calm_from: Millis::ZERO,
        }
    }

    /// Returns how many calls may be open at once.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "it is bounded by a u32"
    )]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns true when one more call may be opened beside `open` others.
    #[must_use]
    pub fn admits(&self, open: u32) -> bool {
        open < self.limit()
    }

    /// Counts a call that ended at `now`, when `open` calls were open with it.
    pub fn record(&mut self, outcome: CallOutcome, open: u32, now: Millis) {
        let CallOutcome::Ended { took, expected } = outcome else {
            return self.shrink(CALM, now);
        };
        let ratio = took.0 as f64 / expected.0.max(1) as f64;
        self.slowdown += WEIGHT * (ratio.min(MAX_SLOWDOWN) - self.slowdown);
        if self.slowdown > TOLERANCE {
            self.shrink(expected.max(took), now);
        } else if f64::from(open) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Shrinks once, then not again until calls opened since then have had time to end.
    fn shrink(&mut self, calm: Millis, now: Millis) {
        if now < self.calm_from {
            return;
        }
        self.calm_from = now + calm;
        self.limit = (self.limit * BACKOFF).max(self.min);
    }
}
