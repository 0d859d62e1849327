//! Exponentially decayed statistics over a stream of events.

use crate::size::Size;
use crate::time::Millis;

/// An amount per millisecond, decayed exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    window: f64,
    value: f64,
    at: Millis,
}

impl Rate {
    /// Creates a rate with the decay time constant `window`.
    #[must_use]
    pub const fn with_window(window: Millis) -> Self {
        Self {
            window: window.0 as f64,
            value: 0.0,
            at: Millis::ZERO,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.value = self.get(now) + amount / self.window;
        self.at = self.at.max(now);
    }

    /// Returns the amount per millisecond.
    #[must_use]
    pub fn get(&self, now: Millis) -> f64 {
        self.value * decay(now.since(self.at), self.window)
    }
}

/// Recent maximum of each resource, decayed exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peak {
    window: f64,
    values: [f64; RESOURCES],
    at: Millis,
}

const RESOURCES: usize = 5;

impl Peak {
    /// Creates a peak with the decay time constant `window`.
    #[must_use]
    pub const fn with_window(window: Millis) -> Self {
        Self {
            window: window.0 as f64,
            values: [0.0; RESOURCES],
            at: Millis::ZERO,
        }
    }

    /// Updates the peak with the current size and returns it, rounded up.
    pub fn update(&mut self, size: &Size, now: Millis) -> Size {
        let factor = decay(now.since(self.at), self.window);
        self.at = self.at.max(now);
        let current = [
            size.milli_cores,
            size.memory_mb,
            size.accelerators,
            size.slots,
            size.connections,
        ];
        for (value, current_value) in self.values.iter_mut().zip(current) {
            *value = (*value * factor).max(f64::from(current_value));
        }
        let [cores, memory, accelerators, slots, connections] = self.values;
        Size {
            milli_cores: cores.ceil() as u32,
            memory_mb: memory.ceil() as u32,
            accelerators: accelerators.ceil() as u32,
            slots: slots.ceil() as u32,
            connections: connections.ceil() as u32,
        }
    }
}

fn decay(elapsed: Millis, window: f64) -> f64 {
    if elapsed == Millis::ZERO {
        return 1.0;
    }
    (-(elapsed.0 as f64) / window).exp()
}
