//! Statistics of a replay.

use std::collections::BTreeMap;

use dotterel_kernel::{Millis, Reason};
use hdrhistogram::Histogram;

use crate::scenario::Scenario;

/// Upper bound of the histograms; longer waits are recorded as this value.
const MAX_WAIT_MS: u64 = 24 * 3_600_000;

/// A window of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start of the window, inclusive.
    pub from: Millis,
    /// End of the window, exclusive.
    pub to: Millis,
}

impl Window {
    /// Returns true when `time` is inside the window.
    #[must_use]
    pub fn contains(&self, time: Millis) -> bool {
        self.from <= time && time < self.to
    }

    /// Returns how many milliseconds between `start` and `end` are inside the window.
    #[must_use]
    pub fn overlap(&self, start: Millis, end: Millis) -> u64 {
        end.min(self.to).since(start.max(self.from)).0
    }
}

/// Statistics of one class.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Waits in milliseconds, from arrival to start, or to the end of the replay for tasks that never
    /// started.
    pub waits: Histogram<u64>,
    /// Time from arrival to refusal or expiry, in milliseconds.
    pub refusal_times: Histogram<u64>,
    /// Arrivals in the measured window, including retries.
    pub arrived: u64,
    /// Tasks that ended in the measured window.
    pub finished: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Tasks whose deadline passed while they waited.
    pub expired: u64,
    /// Slot-milliseconds run in the measured window.
    pub slot_ms: u64,
    /// Slot-milliseconds run on the plateau of the crest.
    pub crest_slot_ms: u64,
    /// Longest wait of the tasks started in each second, in milliseconds.
    pub max_waits: Vec<u64>,
}

/// Results of a replay of one load under one policy.
#[derive(Clone, Debug)]
pub struct ReplayOutcome {
    /// Name of the policy.
    pub policy: String,
    /// Offered load, as a fraction of all slots.
    pub load: f64,
    /// Statistics of each class, in the order of the scenario.
    pub classes: Vec<ClassStats>,
    /// Slot-milliseconds run by each team in the measured window.
    pub team_slot_ms: Vec<u64>,
    /// Seconds after the crest until the waits of urgent tasks stayed short.
    pub recovery_s: Option<u64>,
    /// Mean number of VMs in use and its mean lower bound.
    pub packing: Option<(f64, f64)>,
    /// All arrivals, retries included, divided by the arrivals of the trace.
    pub amplification: f64,
}

impl ClassStats {
    /// Returns empty statistics for a replay of this many seconds.
    ///
    /// # Panics
    ///
    /// Never: the histogram bounds are valid constants.
    #[must_use]
    pub fn new(seconds: u64) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_WAIT_MS, 3).expect("valid bounds");
        Self {
            waits: histogram(),
            refusal_times: histogram(),
            arrived: 0,
            finished: 0,
            refused: BTreeMap::new(),
            expired: 0,
            slot_ms: 0,
            crest_slot_ms: 0,
            max_waits: vec![0; seconds as usize + 1],
        }
    }

    /// Returns the number of refusals for all reasons.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

impl ReplayOutcome {
    /// Returns the fraction of all slot time in which tasks ran, in the measured window.
    #[must_use]
    pub fn utilization(&self, scenario: &Scenario) -> f64 {
        let window = measured_window(scenario);
        let slot_ms: u64 = self.classes.iter().map(|class| class.slot_ms).sum();
        slot_ms as f64 / capacity_slot_ms(scenario, window)
    }

    /// Returns the fraction of all slot time in which tasks ran, on the plateau of the crest.
    #[must_use]
    pub fn crest_utilization(&self, scenario: &Scenario) -> Option<f64> {
        let window = crest_window(scenario)?;
        let slot_ms: u64 = self.classes.iter().map(|class| class.crest_slot_ms).sum();
        Some(slot_ms as f64 / capacity_slot_ms(scenario, window))
    }
}

/// Returns the time after the warm-up, in which the results are measured.
#[must_use]
pub const fn measured_window(scenario: &Scenario) -> Window {
    Window {
        from: Millis::secs(scenario.raw.warmup_s),
        to: Millis::secs(scenario.raw.seconds),
    }
}

/// Returns the plateau of the crest.
#[must_use]
pub fn crest_window(scenario: &Scenario) -> Option<Window> {
    let crest = scenario.raw.crest?;
    Some(Window {
        from: crest.plateau_start(),
        to: crest.plateau_end(),
    })
}

fn capacity_slot_ms(scenario: &Scenario, window: Window) -> f64 {
    f64::from(scenario.slots) * window.to.since(window.from).0 as f64
}
