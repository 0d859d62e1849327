//! How much work arrives and waits, and how long a task would wait behind it.

use crate::document::Urgency;
use crate::fleet::Totals;
use crate::plugin::Ask;
use crate::rate::{Peak, Rate};
use crate::size::Size;
use crate::time::Millis;

use super::queue::{Queue, level};

/// How long an arrival counts towards the demand of its urgency.
const DEMAND_SPAN: Millis = Millis(1000);
/// How long more urgent work is expected to crowd out other work at most.
const CREST_SPAN: Millis = Millis(60_000);
/// How long a peak of short work is remembered.
const PEAK_SPAN: Millis = Millis(60_000);
const URGENCIES: [Urgency; 3] = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight];

/// Demand of short and long work by urgency.
#[derive(Debug)]
pub(super) struct Demand {
    /// Short work, then long work, each by urgency, in parts of the fleet.
    rates: [[Rate; 3]; 2],
    peak: Peak,
}

/// The expected wait of a task.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outlook {
    pub(super) wait: Millis,
    pub(super) crowding: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            rates: [[Rate::over(DEMAND_SPAN); 3]; 2],
            peak: Peak::over(PEAK_SPAN),
        }
    }
}

impl Demand {
    /// Counts an admitted task.
    pub(super) fn add(&mut self, ask: &Ask, work: f64, now: Millis) {
        self.rates[usize::from(ask.long)][level(ask.urgency)].add(work, now);
    }

    /// Returns what short work wanted at its recent peak.
    pub(super) fn short_peak(&mut self, totals: &Totals, queue: &Queue, now: Millis) -> Size {
        let running = totals.used.minus(&totals.long);
        let wanted = URGENCIES.iter().fold(running, |sum, urgency| {
            sum.plus(&queue.backlog(false, *urgency).size)
        });
        self.peak.note(&wanted, now)
    }

    /// Estimates how long a task would wait behind the work that goes first.
    ///
    /// Work of higher urgency that is still to arrive counts too, so that lower work is not kept
    /// waiting for a start that the crest of the demand will not leave it.
    pub(super) fn outlook(
        &self,
        ask: &Ask,
        totals: &Totals,
        queue: &Queue,
        now: Millis,
    ) -> Outlook {
        let pool = pool(ask, totals);
        let ahead: f64 = URGENCIES[..=level(ask.urgency)]
            .iter()
            .map(|urgency| queue.backlog(ask.long, *urgency).work)
            .sum();
        let rates = &self.rates[usize::from(ask.long)][..level(ask.urgency)];
        let demand: f64 = rates.iter().map(|rate| rate.get(now)).sum();
        let crowding = demand / pool;
        let clear = ahead / pool;
        let crowded = if crowding < 1.0 {
            clear / (1.0 - crowding)
        } else {
            f64::INFINITY
        };
        let wait = match ahead {
            0.0 => 0.0,
            _ => crowded.min(clear + CREST_SPAN.0 as f64),
        };
        Outlook {
            wait: Millis(wait as u64),
            crowding,
        }
    }
}

/// Returns the part of the fleet that work of this length may use.
fn pool(ask: &Ask, totals: &Totals) -> f64 {
    const LEAST: f64 = 0.01;
    let other = if ask.long {
        0.0
    } else {
        totals.share(&totals.long)
    };
    (1.0 - other).max(LEAST)
}

/// Returns the size of a typical short task where it differs much from the one in use.
pub(super) fn unit(peak: &Size, present: &Size) -> Option<Size> {
    /// One part of this many is not much.
    const MUCH: u32 = 4;
    let tasks = peak.slots;
    if tasks == 0 {
        return None;
    }
    let unit = Size {
        milli_cores: peak.milli_cores / tasks,
        memory_mb: peak.memory_mb / tasks,
        accelerators: peak.accelerators / tasks,
        slots: 1,
        connections: peak.connections / tasks,
    };
    let differs = |new: u32, old: u32| new.abs_diff(old) > old / MUCH;
    let changed = differs(unit.milli_cores, present.milli_cores)
        || differs(unit.memory_mb, present.memory_mb)
        || differs(unit.accelerators, present.accelerators)
        || differs(unit.connections, present.connections);
    changed.then_some(unit)
}
