//! Run times measured for finished tasks.

use crate::time::Millis;

/// Two buckets per power of two, from one millisecond to about nine hours.
const BUCKETS: usize = 50;
/// Number of tasks at which the counts are halved, so that old run times lose weight.
const MAX_WEIGHT: f32 = 512.0;
/// Minimum number of tasks for an estimate.
const MIN_WEIGHT: f32 = 16.0;

/// A decayed histogram of the run times of one class.
#[derive(Clone, Debug)]
pub struct RunTimeHistogram {
    counts: [f32; BUCKETS],
    weight: f32,
    sum: f64,
}

impl Default for RunTimeHistogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            weight: 0.0,
            sum: 0.0,
        }
    }
}

impl RunTimeHistogram {
    /// Records the run time of a finished task.
    pub fn record(&mut self, run_time: Millis) {
        if self.weight >= MAX_WEIGHT {
            self.halve();
        }
        self.counts[bucket(run_time)] += 1.0;
        self.weight += 1.0;
        self.sum += run_time.0 as f64;
    }

    /// Returns the mean run time, or none while too few tasks have finished.
    #[must_use]
    pub fn mean(&self) -> Option<Millis> {
        let has_enough = self.weight >= MIN_WEIGHT;
        has_enough.then(|| Millis((self.sum / f64::from(self.weight)).ceil() as u64))
    }

    /// Returns an upper bound of the run time that the given fraction of the tasks, from 0 to 1,
    /// does not exceed, or none while too few tasks have finished.
    #[must_use]
    pub fn quantile(&self, fraction: f32) -> Option<Millis> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let target = fraction * self.weight;
        let mut cumulative = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.weight *= 0.5;
        self.sum *= 0.5;
    }
}

fn bucket(run_time: Millis) -> usize {
    let octaves = (run_time.0.max(1) as f64).log2();
    ((octaves * 2.0) as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Millis {
    Millis(((index + 1) as f64 / 2.0).exp2().ceil() as u64)
}
