//! The arrivals of one experiment, drawn before anything runs.

use std::f64::consts::TAU;

use dotterel_kernel::{Millis, Size};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{RawClass, Scenario};

/// How many times its part a flooding team asks for.
const FLOOD: f64 = 10.0;
/// The heaviest weight of a team.
const WEIGHTS: u32 = 4;

/// One task that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Millis,
    /// Index of its class.
    pub class: usize,
    /// Index of its team.
    pub team: usize,
    /// How long it is going to run.
    pub run: Millis,
    /// What it asks for.
    pub size: Size,
    /// How often its caller has come before.
    pub tries: u32,
}

/// All arrivals of one load, sorted by time.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// The arrivals.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Draws the arrivals for one load.
    #[must_use]
    pub fn draw(scenario: &Scenario, load: f64) -> Self {
        let mut arrivals = Vec::new();
        for (index, class) in scenario.raw.classes.iter().enumerate() {
            let mut random = StdRng::seed_from_u64(scenario.raw.seed + index as u64);
            let rate = rate(scenario, class, load);
            let first = arrivals.len();
            draw_class(scenario, index, rate, &mut random, &mut arrivals);
            settle_mean(class, &mut arrivals[first..]);
        }
        arrivals.sort_by_key(|arrival: &Arrival| arrival.at);
        Self { arrivals }
    }

    /// Returns the arrivals of one class alone.
    #[must_use]
    pub fn only(&self, class: usize) -> Self {
        let mine = self.arrivals.iter().filter(|a| a.class == class);
        Self {
            arrivals: mine.copied().collect(),
        }
    }
}

/// Returns the weight of a team; teams without a quota weigh nothing.
fn weight(scenario: &Scenario, team: usize) -> f64 {
    match scenario.raw.teams {
        Some(teams) if team >= teams.count as usize => 0.0,
        Some(_) => f64::from(team as u32 % WEIGHTS + 1),
        None => 1.0,
    }
}

/// Returns the slots of a team's quota.
#[must_use]
pub fn quota_slots(scenario: &Scenario, team: usize) -> u32 {
    let Some(teams) = scenario.raw.teams else {
        return scenario.slots;
    };
    let whole: f64 = (0..teams.count as usize)
        .map(|other| weight(scenario, other))
        .sum();
    let part = weight(scenario, team) / whole * teams.quota;
    (part * f64::from(scenario.slots)).ceil() as u32
}

/// Returns arrivals per millisecond of a class.
fn rate(scenario: &Scenario, class: &RawClass, load: f64) -> f64 {
    let fixed: f64 = scenario.raw.classes.iter().filter_map(|c| c.share).sum();
    let part = match (class.share, class.fill) {
        (Some(share), _) => share,
        (None, fill) => fill.unwrap_or(0.0) * (load - fixed).max(0.0),
    };
    part * f64::from(scenario.slots) / class.mean_ms() / f64::from(class.tasks)
}

fn draw_class(
    scenario: &Scenario,
    index: usize,
    rate: f64,
    random: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let class = &scenario.raw.classes[index];
    let crest = scenario.raw.crest.filter(|_| class.swings);
    let highest = crest.map_or(1.0, |crest| crest.factor.max(1.0));
    let end = scenario.raw.seconds as f64 * 1000.0;
    let demands = demands(scenario);
    let mut time = 0.0;
    // Thinning: draw at the highest rate and keep each arrival with the present part of it.
    loop {
        time -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * highest);
        if time >= end {
            return;
        }
        let at = Millis(time as u64);
        let factor = crest.map_or(1.0, |crest| crest.factor_at(at));
        if random.random::<f64>() * highest > factor {
            continue;
        }
        arrivals.push(Arrival {
            at,
            class: index,
            team: pick(&demands, random),
            run: run_time(class, random),
            size: vary(class, random),
            tries: 0,
        });
    }
}

/// Scales drawn run times to the mean of their class, so that the load is the one asked for even
/// where a few stragglers make up much of it.
fn settle_mean(class: &RawClass, arrivals: &mut [Arrival]) {
    let sum: f64 = arrivals.iter().map(|a| a.run.0 as f64).sum();
    if sum <= 0.0 {
        return;
    }
    let factor = class.mean_ms() * arrivals.len() as f64 / sum;
    for arrival in arrivals {
        let span = arrival.run.0 as f64 * factor;
        arrival.run = Millis(span.round().max(1.0) as u64);
    }
}

/// Returns running sums of what each team asks for.
fn demands(scenario: &Scenario) -> Vec<f64> {
    let Some(teams) = scenario.raw.teams else {
        return vec![1.0];
    };
    let mut sum = 0.0;
    let mut sums = Vec::new();
    for team in 0..teams.count + teams.barred {
        let flood = if team < teams.floods { FLOOD } else { 1.0 };
        sum += flood * weight(scenario, team as usize).max(1.0);
        sums.push(sum);
    }
    sums
}

fn pick(sums: &[f64], random: &mut StdRng) -> usize {
    let whole = sums.last().copied().unwrap_or(1.0);
    let point = random.random::<f64>() * whole;
    sums.partition_point(|sum| *sum <= point)
        .min(sums.len() - 1)
}

/// Draws a lognormal run time, many times longer for a straggler.
fn run_time(class: &RawClass, random: &mut StdRng) -> Millis {
    let radius = (-2.0 * random.random::<f64>().max(f64::MIN_POSITIVE).ln()).sqrt();
    let normal = radius * (TAU * random.random::<f64>()).cos();
    let straggles = random.random::<f64>() < class.straggler_part;
    let factor = if straggles {
        class.straggler_factor
    } else {
        1.0
    };
    let span = class.median_ms * (class.sigma * normal).exp() * factor;
    Millis(span.round().max(1.0) as u64)
}

fn vary(class: &RawClass, random: &mut StdRng) -> Size {
    let size = class.size();
    if class.size_spread <= 1.0 {
        return size;
    }
    let mut factor = || class.size_spread.powf(random.random::<f64>() * 2.0 - 1.0);
    Size {
        milli_cores: (f64::from(size.milli_cores) * factor()) as u32,
        memory_mb: (f64::from(size.memory_mb) * factor()) as u32,
        ..size
    }
}
