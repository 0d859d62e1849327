//! Estimates demand and how long a task would wait in the queue.

use crate::document::Urgency;
use crate::fleet::Totals;
use crate::plugin::TaskSpec;
use crate::rate::{Peak, Rate};
use crate::size::Size;
use crate::time::Millis;

use super::queue::{Queue, urgency_index};

/// Decay window of the arrival rates.
const DEMAND_WINDOW: Millis = Millis(1000);
/// Maximum extra wait that is attributed to more urgent arrivals.
const MAX_CONTENTION: Millis = Millis(60_000);
/// Decay window of the peak of short work.
const PEAK_WINDOW: Millis = Millis(60_000);
const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight];

/// Arrival rates of work by length and urgency, and the peak of short work.
#[derive(Debug)]
pub(super) struct Demand {
    /// Short work, then long work, each by urgency, as fractions of the fleet's capacity.
    rates: [[Rate; 3]; 2],
    peak: Peak,
}

/// The expected wait of a task.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitEstimate {
    pub(super) wait: Millis,
    pub(super) urgent_load: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            rates: [[Rate::with_window(DEMAND_WINDOW); 3]; 2],
            peak: Peak::with_window(PEAK_WINDOW),
        }
    }
}

impl Demand {
    /// Adds an admitted task to the arrival rates.
    pub(super) fn add(&mut self, spec: &TaskSpec, work: f64, now: Millis) {
        self.rates[usize::from(spec.is_long)][urgency_index(spec.urgency)].add(work, now);
    }

    /// Returns the recent peak of the capacity that short work needed.
    pub(super) fn short_peak(&mut self, totals: &Totals, queue: &Queue, now: Millis) -> Size {
        let running = totals.used.minus(&totals.long_used);
        let demanded = URGENCIES.iter().fold(running, |sum, urgency| {
            sum.plus(&queue.backlog(false, *urgency).size)
        });
        self.peak.update(&demanded, now)
    }

    /// Estimates how long a task would wait behind the work that is served before it.
    ///
    /// Expected arrivals of more urgent work count too. Otherwise less urgent tasks would be queued
    /// at peak demand, when no capacity is left to start them in time.
    pub(super) fn estimate_wait(
        &self,
        spec: &TaskSpec,
        totals: &Totals,
        queue: &Queue,
        now: Millis,
    ) -> WaitEstimate {
        let available_share = available_share(spec, totals);
        let work_ahead: f64 = URGENCIES[..=urgency_index(spec.urgency)]
            .iter()
            .map(|urgency| queue.backlog(spec.is_long, *urgency).work)
            .sum();
        let rates = &self.rates[usize::from(spec.is_long)][..urgency_index(spec.urgency)];
        let demand: f64 = rates.iter().map(|rate| rate.get(now)).sum();
        let urgent_load = demand / available_share;
        let uncontended_wait = work_ahead / available_share;
        let contended_wait = if urgent_load < 1.0 {
            uncontended_wait / (1.0 - urgent_load)
        } else {
            f64::INFINITY
        };
        let wait = match work_ahead {
            0.0 => 0.0,
            _ => contended_wait.min(uncontended_wait + MAX_CONTENTION.0 as f64),
        };
        WaitEstimate {
            wait: Millis(wait as u64),
            urgent_load,
        }
    }
}

/// Returns the fraction of the fleet that work of this length may use.
fn available_share(spec: &TaskSpec, totals: &Totals) -> f64 {
    const MIN_SHARE: f64 = 0.01;
    let long_share = if spec.is_long {
        0.0
    } else {
        totals.dominant_share(&totals.long_used)
    };
    (1.0 - long_share).max(MIN_SHARE)
}

/// Returns the size of a typical short task if it differs noticeably from the current one.
pub(super) fn typical_task_size(peak: &Size, current: &Size) -> Option<Size> {
    /// Differences of up to a quarter are ignored.
    const TOLERANCE_DIVISOR: u32 = 4;
    let tasks = peak.slots;
    if tasks == 0 {
        return None;
    }
    let typical = Size {
        milli_cores: peak.milli_cores / tasks,
        memory_mb: peak.memory_mb / tasks,
        accelerators: peak.accelerators / tasks,
        slots: 1,
        connections: peak.connections / tasks,
    };
    let differs = |new: u32, old: u32| new.abs_diff(old) > old / TOLERANCE_DIVISOR;
    let changed = differs(typical.milli_cores, current.milli_cores)
        || differs(typical.memory_mb, current.memory_mb)
        || differs(typical.accelerators, current.accelerators)
        || differs(typical.connections, current.connections);
    changed.then_some(typical)
}
