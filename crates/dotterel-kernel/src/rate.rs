//! Decayed measures of a stream of events.

use crate::time::Millis;

/// Amount of something per millisecond, decayed exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    span: f64,
    value: f64,
    at: Millis,
}

impl Rate {
    /// Returns a rate that forgets over `span`.
    #[must_use]
    pub const fn over(span: Millis) -> Self {
        Self {
            span: span.0 as f64,
            value: 0.0,
            at: Millis::ZERO,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.value = self.get(now) + amount / self.span;
        self.at = self.at.max(now);
    }

    /// Returns the amount per millisecond.
    #[must_use]
    pub fn get(&self, now: Millis) -> f64 {
        self.value * decay(now.since(self.at), self.span)
    }
}

/// The highest recent value of a level, decayed exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peak {
    span: f64,
    value: f64,
    at: Millis,
}

impl Peak {
    /// Returns a peak that forgets over `span`.
    #[must_use]
    pub const fn over(span: Millis) -> Self {
        Self {
            span: span.0 as f64,
            value: 0.0,
            at: Millis::ZERO,
        }
    }

    /// Notes the present level and returns the peak.
    pub fn note(&mut self, level: f64, now: Millis) -> f64 {
        self.value *= decay(now.since(self.at), self.span);
        self.value = self.value.max(level);
        self.at = self.at.max(now);
        self.value
    }
}

fn decay(elapsed: Millis, span: f64) -> f64 {
    if elapsed == Millis::ZERO {
        return 1.0;
    }
    (-(elapsed.0 as f64) / span).exp()
}
