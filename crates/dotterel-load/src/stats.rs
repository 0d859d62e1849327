//! What a replay brought.

use std::collections::BTreeMap;

use dotterel_kernel::{Millis, Reason};
use hdrhistogram::Histogram;

use crate::scenario::Scenario;

/// The longest wait that histograms tell apart.
const WAIT_LIMIT_MS: u64 = 24 * 3_600_000;

/// A span of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its beginning.
    pub from: Millis,
    /// Its end.
    pub to: Millis,
}

impl Window {
    /// Returns true when a time lies inside.
    #[must_use]
    pub fn contains(&self, time: Millis) -> bool {
        self.from <= time && time < self.to
    }

    /// Returns how much of the span from `start` to `end` lies inside, in milliseconds.
    #[must_use]
    pub fn overlap(&self, start: Millis, end: Millis) -> u64 {
        end.min(self.to).since(start.max(self.from)).0
    }
}

/// What became of one class.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Waits from arrival to start, in milliseconds.
    pub waits: Histogram<u64>,
    /// Time until a refusal was told, in milliseconds.
    pub told: Histogram<u64>,
    /// Arrivals in the window.
    pub arrived: u64,
    /// Tasks that ended in the window.
    pub finished: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Tasks whose deadline passed while they waited.
    pub expired: u64,
    /// Slot-milliseconds run in the window.
    pub work: u64,
    /// Slot-milliseconds run at the crest.
    pub crest_work: u64,
    /// The longest wait in each second, in milliseconds.
    pub seconds: Vec<u64>,
}

/// What a replay of one policy brought.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The policy's name.
    pub policy: String,
    /// The offered load.
    pub load: f64,
    /// One for each class, in the scenario's order.
    pub classes: Vec<ClassStats>,
    /// Slot-milliseconds of each team.
    pub teams: Vec<u64>,
    /// Seconds after the crest until urgent waits were ordinary again.
    pub recovery_s: Option<u64>,
    /// Mean number of VMs in use and the mean of its lower bound.
    pub packing: Option<(f64, f64)>,
    /// Arrivals with returning callers as a multiple of those without.
    pub amplification: f64,
}

impl ClassStats {
    /// Returns empty statistics for this many seconds.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are constants that the library accepts.
    #[must_use]
    pub fn new(seconds: u64) -> Self {
        let histogram = || Histogram::new_with_bounds(1, WAIT_LIMIT_MS, 3).expect("valid bounds");
        Self {
            waits: histogram(),
            told: histogram(),
            arrived: 0,
            finished: 0,
            refused: BTreeMap::new(),
            expired: 0,
            work: 0,
            crest_work: 0,
            seconds: vec![0; seconds as usize + 1],
        }
    }

    /// Returns all refusals.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

impl Outcome {
    /// Returns the slot-milliseconds of all classes as a part of what the workers could do.
    #[must_use]
    pub fn useful(&self, scenario: &Scenario) -> f64 {
        let span = window(scenario);
        let work: u64 = self.classes.iter().map(|class| class.work).sum();
        work as f64 / capacity(scenario, span)
    }

    /// Returns the same for the time of the crest.
    #[must_use]
    pub fn useful_at_crest(&self, scenario: &Scenario) -> Option<f64> {
        let span = crest(scenario)?;
        let work: u64 = self.classes.iter().map(|class| class.crest_work).sum();
        Some(work as f64 / capacity(scenario, span))
    }
}

/// Returns the span that figures are taken from.
#[must_use]
pub const fn window(scenario: &Scenario) -> Window {
    Window {
        from: Millis::secs(scenario.raw.warmup_s),
        to: Millis::secs(scenario.raw.seconds),
    }
}

/// Returns the span of the full height of the crest.
#[must_use]
pub fn crest(scenario: &Scenario) -> Option<Window> {
    let crest = scenario.raw.crest?;
    Some(Window {
        from: crest.top(),
        to: crest.end(),
    })
}

fn capacity(scenario: &Scenario, span: Window) -> f64 {
    f64::from(scenario.slots) * span.to.since(span.from).0 as f64
}
