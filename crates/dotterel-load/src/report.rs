//! Tables and CSV of experiments.

use std::fmt::Write as _;

use crate::scenario::Scenario;
use crate::stats::{ClassStats, Outcome};
use crate::trace::weight;

/// Returns one line for each policy, load and class.
#[must_use]
pub fn table(scenario: &Scenario, outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    let raw = &scenario.raw;
    let _ = writeln!(text, "experiment {} seed {}", raw.name, raw.seed);
    let _ = writeln!(
        text,
        "{:<12} {:>5} {:<16} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "policy",
        "load",
        "class",
        "arrived",
        "finished",
        "p50",
        "p99",
        "p99.9",
        "max",
        "refused",
        "expired",
        "told p99",
        "work %"
    );
    for outcome in outcomes {
        for (class, stats) in raw.classes.iter().zip(&outcome.classes) {
            let _ = writeln!(
                text,
                "{:<12} {:>5.2} {:<16} {:>8} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8.2}",
                outcome.policy,
                outcome.load,
                class.name,
                stats.arrived,
                stats.finished,
                quantile(stats, 0.5),
                quantile(stats, 0.99),
                quantile(stats, 0.999),
                stats.waits.max(),
                stats.refusals(),
                stats.expired,
                stats.told.value_at_quantile(0.99),
                100.0 * work(scenario, stats),
            );
        }
        let _ = writeln!(text, "{}", summary(scenario, outcome));
    }
    text
}

/// Returns the same as CSV, with refusals by reason.
#[must_use]
pub fn csv(scenario: &Scenario, outcomes: &[Outcome]) -> String {
    let mut text = String::from(
        "experiment,seed,policy,load,class,arrived,finished,wait_p50_ms,wait_p99_ms,\
         wait_p999_ms,wait_max_ms,refused,expired,told_p99_ms,work_part,reasons\n",
    );
    for outcome in outcomes {
        for (class, stats) in scenario.raw.classes.iter().zip(&outcome.classes) {
            let reasons: Vec<_> = stats
                .refused
                .iter()
                .map(|(reason, count)| format!("{reason}:{count}"))
                .collect();
            let _ = writeln!(
                text,
                "{},{},{},{},{},{},{},{},{},{},{},{},{},{},{:.4},{}",
                scenario.raw.name,
                scenario.raw.seed,
                outcome.policy,
                outcome.load,
                class.name,
                stats.arrived,
                stats.finished,
                quantile(stats, 0.5),
                quantile(stats, 0.99),
                quantile(stats, 0.999),
                stats.waits.max(),
                stats.refusals(),
                stats.expired,
                stats.told.value_at_quantile(0.99),
                work(scenario, stats),
                reasons.join(" "),
            );
        }
    }
    text
}

fn summary(scenario: &Scenario, outcome: &Outcome) -> String {
    let mut text = format!("  useful work {:.1} %", 100.0 * outcome.useful(scenario));
    if let Some(part) = outcome.useful_at_crest(scenario) {
        let _ = write!(text, ", at the crest {:.1} %", 100.0 * part);
    }
    if let Some(seconds) = outcome.recovery_s {
        let _ = write!(text, ", recovery {seconds} s");
    }
    if scenario.raw.retries > 0 {
        let _ = write!(text, ", arrivals x{:.2}", outcome.amplification);
    }
    if let Some((worst, mean)) = shortfall(scenario, outcome) {
        let _ = write!(
            text,
            ", quota shares received: least {worst:.3}, mean {mean:.3}"
        );
    }
    text
}

/// Returns the least and the mean of what teams received of the part due to them.
///
/// A team is due the smaller of its weight's part of all slots and what it asked for; the caller
/// makes every team ask for more than its part.
fn shortfall(scenario: &Scenario, outcome: &Outcome) -> Option<(f64, f64)> {
    let teams = scenario.raw.teams?;
    let whole: f64 = (0..teams.count as usize).map(|t| weight(scenario, t)).sum();
    let span = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
    let received = (0..teams.count as usize).map(|team| {
        let due = weight(scenario, team) / whole * f64::from(scenario.slots) * span;
        outcome.teams[team] as f64 / due
    });
    let least = received.clone().fold(f64::INFINITY, f64::min);
    let mean = received.sum::<f64>() / f64::from(teams.count);
    Some((least, mean))
}

fn quantile(stats: &ClassStats, rank: f64) -> u64 {
    stats.waits.value_at_quantile(rank)
}

fn work(scenario: &Scenario, stats: &ClassStats) -> f64 {
    let span = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
    stats.work as f64 / (f64::from(scenario.slots) * span)
}
