//! Trace of the task arrivals of an experiment, generated before the replay.

use std::f64::consts::TAU;

use dotterel_kernel::{Millis, Size};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{RawClass, Scenario};

/// Demand of a flooding team as a multiple of its ordinary demand.
const FLOOD_FACTOR: f64 = 10.0;
/// Teams have weights from 1 to this, in turn.
const MAX_WEIGHT: u32 = 4;

/// One task, or one gang, that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Intended arrival time.
    pub at: Millis,
    /// Index of its class.
    pub class: usize,
    /// Index of its team.
    pub team: usize,
    /// Run time.
    pub run: Millis,
    /// Resources of one task.
    pub size: Size,
    /// Earlier attempts of the caller that were refused.
    pub prior_attempts: u32,
}

/// All arrivals for one load.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Draws the arrivals for one load from the scenario's seed.
    #[must_use]
    pub fn draw(scenario: &Scenario, load: f64) -> Self {
        let mut arrivals = Vec::new();
        for (index, class) in scenario.raw.classes.iter().enumerate() {
            let mut rng = StdRng::seed_from_u64(scenario.raw.seed + index as u64);
            let rate = arrival_rate(scenario, class, load);
            let first = arrivals.len();
            draw_class(scenario, index, rate, &mut rng, &mut arrivals);
            scale_to_mean(class, &mut arrivals[first..]);
        }
        arrivals.sort_by_key(|arrival: &Arrival| arrival.at);
        Self { arrivals }
    }

    /// Returns a trace of the arrivals of one class.
    #[must_use]
    pub fn only_class(&self, class: usize) -> Self {
        let selected = self.arrivals.iter().filter(|a| a.class == class);
        Self {
            arrivals: selected.copied().collect(),
        }
    }
}

/// Returns the weight of a team in the distribution of quotas and demand; zero for a team with a
/// quota of zero.
fn weight(scenario: &Scenario, team: usize) -> f64 {
    match scenario.raw.teams {
        Some(teams) if team >= teams.count as usize => 0.0,
        Some(_) => f64::from(team as u32 % MAX_WEIGHT + 1),
        None => 1.0,
    }
}

/// Returns the quota of a team in slots.
#[must_use]
pub fn quota_slots(scenario: &Scenario, team: usize) -> u32 {
    let Some(teams) = scenario.raw.teams else {
        return scenario.slots;
    };
    let total_weight: f64 = (0..teams.count as usize)
        .map(|other| weight(scenario, other))
        .sum();
    let fraction = weight(scenario, team) / total_weight * teams.quota;
    (fraction * f64::from(scenario.slots)).ceil() as u32
}

/// Returns the arrivals of a class per millisecond.
fn arrival_rate(scenario: &Scenario, class: &RawClass, load: f64) -> f64 {
    let fixed_load: f64 = scenario.raw.classes.iter().filter_map(|c| c.share).sum();
    let class_load = match (class.share, class.fill) {
        (Some(share), _) => share,
        (None, fill) => fill.unwrap_or(0.0) * (load - fixed_load).max(0.0),
    };
    class_load * f64::from(scenario.slots) / class.mean_ms() / f64::from(class.tasks)
}

fn draw_class(
    scenario: &Scenario,
    index: usize,
    rate: f64,
    rng: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let class = &scenario.raw.classes[index];
    let crest = scenario.raw.crest.filter(|_| class.swings);
    let max_factor = crest.map_or(1.0, |crest| crest.factor.max(1.0));
    let end = scenario.raw.seconds as f64 * 1000.0;
    let cumulative_demand = cumulative_demand(scenario);
    let mut time = 0.0;
    // Thinning: draws arrivals at the maximum rate and keeps each with the probability
    // `factor / max_factor`, which gives the varying rate.
    loop {
        time -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * max_factor);
        if time >= end {
            return;
        }
        let at = Millis(time as u64);
        let factor = crest.map_or(1.0, |crest| crest.factor_at(at));
        if rng.random::<f64>() * max_factor > factor {
            continue;
        }
        arrivals.push(Arrival {
            at,
            class: index,
            team: pick_team(&cumulative_demand, rng),
            run: draw_run_time(class, rng),
            size: draw_size(class, rng),
            prior_attempts: 0,
        });
    }
}

/// Scales the drawn run times to the mean of their class, so that the trace has the configured load
/// even when a few stragglers make up much of it.
fn scale_to_mean(class: &RawClass, arrivals: &mut [Arrival]) {
    let sum: f64 = arrivals.iter().map(|a| a.run.0 as f64).sum();
    if sum <= 0.0 {
        return;
    }
    let factor = class.mean_ms() * arrivals.len() as f64 / sum;
    for arrival in arrivals {
        let run_ms = arrival.run.0 as f64 * factor;
        arrival.run = Millis(run_ms.round().max(1.0) as u64);
    }
}

/// Returns the cumulative demand of the teams.
fn cumulative_demand(scenario: &Scenario) -> Vec<f64> {
    let Some(teams) = scenario.raw.teams else {
        return vec![1.0];
    };
    let mut sum = 0.0;
    let mut sums = Vec::new();
    for team in 0..teams.count + teams.barred {
        let factor = if team < teams.floods {
            FLOOD_FACTOR
        } else {
            1.0
        };
        sum += factor * weight(scenario, team as usize).max(1.0);
        sums.push(sum);
    }
    sums
}

/// Draws a team with a probability proportional to its demand.
fn pick_team(sums: &[f64], rng: &mut StdRng) -> usize {
    let total = sums.last().copied().unwrap_or(1.0);
    let point = rng.random::<f64>() * total;
    sums.partition_point(|sum| *sum <= point)
        .min(sums.len() - 1)
}

/// Draws a log-normal run time, multiplied by the straggler factor for a straggler.
fn draw_run_time(class: &RawClass, rng: &mut StdRng) -> Millis {
    let radius = (-2.0 * rng.random::<f64>().max(f64::MIN_POSITIVE).ln()).sqrt();
    let normal = radius * (TAU * rng.random::<f64>()).cos();
    let is_straggler = rng.random::<f64>() < class.straggler_part;
    let factor = if is_straggler {
        class.straggler_factor
    } else {
        1.0
    };
    let run_ms = class.median_ms * (class.sigma * normal).exp() * factor;
    Millis(run_ms.round().max(1.0) as u64)
}

/// Draws the size of a task; cores and memory vary independently.
fn draw_size(class: &RawClass, rng: &mut StdRng) -> Size {
    let size = class.size();
    if class.size_spread <= 1.0 {
        return size;
    }
    let mut factor = || class.size_spread.powf(rng.random::<f64>() * 2.0 - 1.0);
    Size {
        milli_cores: (f64::from(size.milli_cores) * factor()) as u32,
        memory_mb: (f64::from(size.memory_mb) * factor()) as u32,
        ..size
    }
}
