//! Run times learned from finished tasks.

use crate::time::Millis;

/// Halves of powers of two, from one millisecond to about nine hours.
const BUCKETS: usize = 50;
/// The weight at which the history is halved, in tasks.
const WEIGHT_LIMIT: f32 = 512.0;
/// Fewer tasks than this say nothing yet.
const WEIGHT_LEAST: f32 = 16.0;

/// A decayed histogram of the run times of one class.
#[derive(Clone, Debug)]
pub struct Runtimes {
    counts: [f32; BUCKETS],
    weight: f32,
    sum: f64,
}

impl Default for Runtimes {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            weight: 0.0,
            sum: 0.0,
        }
    }
}

impl Runtimes {
    /// Counts one finished task.
    pub fn record(&mut self, span: Millis) {
        if self.weight >= WEIGHT_LIMIT {
            self.halve();
        }
        self.counts[bucket(span)] += 1.0;
        self.weight += 1.0;
        self.sum += span.0 as f64;
    }

    /// Returns the mean run time, or none while too few tasks have finished.
    #[must_use]
    pub fn mean(&self) -> Option<Millis> {
        let known = self.weight >= WEIGHT_LEAST;
        known.then(|| Millis((self.sum / f64::from(self.weight)).ceil() as u64))
    }

    /// Returns an upper bound of the run time of a part `rank` of the tasks, from 0 to 1, or none
    /// while too few tasks have finished.
    #[must_use]
    pub fn quantile(&self, rank: f32) -> Option<Millis> {
        if self.weight < WEIGHT_LEAST {
            return None;
        }
        let goal = rank * self.weight;
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= goal {
                return Some(upper(index));
            }
        }
        Some(upper(BUCKETS - 1))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.weight *= 0.5;
        self.sum *= 0.5;
    }
}

fn bucket(span: Millis) -> usize {
    let octaves = (span.0.max(1) as f64).log2();
    ((octaves * 2.0) as usize).min(BUCKETS - 1)
}

fn upper(index: usize) -> Millis {
    Millis(((index + 1) as f64 / 2.0).exp2().ceil() as u64)
}
