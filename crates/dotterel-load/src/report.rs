//! Text table and CSV of the results of an experiment.

use std::fmt::{self, Write as _};

use crate::scenario::Scenario;
use crate::stats::{ClassStats, ReplayOutcome};
use crate::trace::quota_slots;

/// Headings and widths of the columns that [`column_values`] fills.
const COLUMNS: [(&str, usize); 9] = [
    ("arrived", 8),
    ("finished", 8),
    ("p50", 7),
    ("p99", 7),
    ("p99.9", 7),
    ("max", 8),
    ("refused", 8),
    ("expired", 8),
    ("told p99", 8),
];

/// Formats a table with one line per policy, load and class.
#[must_use]
pub fn table(scenario: &Scenario, outcomes: &[ReplayOutcome]) -> String {
    let mut text = String::new();
    let raw = &scenario.raw;
    let _ = writeln!(text, "experiment {} seed {}", raw.name, raw.seed);
    let _ = write!(text, "{:<12} {:>5} {:<16}", "policy", "load", "class");
    for (heading, width) in COLUMNS {
        let _ = write!(text, " {heading:>width$}");
    }
    let _ = writeln!(text, " {:>8}", "work %");
    for outcome in outcomes {
        for (class, stats) in raw.classes.iter().zip(&outcome.classes) {
            let (policy, load) = (&outcome.policy, outcome.load);
            let _ = write!(text, "{policy:<12} {load:>5.2} {:<16}", class.name);
            for (value, (_, width)) in column_values(stats).into_iter().zip(COLUMNS) {
                let _ = write!(text, " {value:>width$}");
            }
            let _ = writeln!(text, " {:>8.2}", 100.0 * utilization(scenario, stats));
        }
        let _ = writeln!(text, "{}", summary(scenario, outcome));
    }
    text
}

/// Formats the results as CSV, with the refusals by reason.
#[must_use]
pub fn csv(scenario: &Scenario, outcomes: &[ReplayOutcome]) -> String {
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
            let values = column_values(stats).map(|value| value.to_string());
            let _ = writeln!(
                text,
                "{},{},{},{},{},{},{:.4},{}",
                scenario.raw.name,
                scenario.raw.seed,
                outcome.policy,
                outcome.load,
                class.name,
                values.join(","),
                utilization(scenario, stats),
                reasons.join(" "),
            );
        }
    }
    text
}

fn summary(scenario: &Scenario, outcome: &ReplayOutcome) -> String {
    let mut text = format!(
        "  useful work {:.1} %",
        100.0 * outcome.utilization(scenario)
    );
    if let Some(fraction) = outcome.crest_utilization(scenario) {
        let _ = write!(text, ", at the crest {:.1} %", 100.0 * fraction);
    }
    if let Some(seconds) = outcome.recovery_s {
        let _ = write!(text, ", recovery {seconds} s");
    }
    if scenario.raw.retries > 0 {
        let _ = write!(text, ", arrivals x{:.2}", outcome.amplification);
    }
    if let Some((used, bound)) = outcome.packing {
        let _ = write!(
            text,
            ", VMs in use {used:.1}, bound {bound:.1} ({:.3})",
            bound / used
        );
    }
    if let Some(shares) = TeamShares::compute(scenario, outcome) {
        let _ = write!(text, "\n  parts received by teams: {shares}");
    }
    text
}

/// Slot time that teams received, relative to their share of all slots by quota.
///
/// The demand of every team in the scenario exceeds that share.
struct TeamShares {
    /// Mean of the flooding teams.
    floods: f64,
    /// Mean of the other teams.
    others: f64,
    min: f64,
    max: f64,
}

impl TeamShares {
    fn compute(scenario: &Scenario, outcome: &ReplayOutcome) -> Option<Self> {
        let teams = scenario.raw.teams.filter(|teams| teams.floods > 0)?;
        let count = teams.count as usize;
        let quota = |team| f64::from(quota_slots(scenario, team));
        let total_quota: f64 = (0..count).map(quota).sum();
        let span_ms = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
        let slot_ms_per_quota = f64::from(scenario.slots) * span_ms / total_quota;
        let received = |team| outcome.team_slot_ms[team] as f64 / (quota(team) * slot_ms_per_quota);
        let received: Vec<f64> = (0..count).map(received).collect();
        let (floods, others) = received.split_at(teams.floods as usize);
        Some(Self {
            floods: mean(floods),
            others: mean(others),
            min: received.iter().copied().fold(f64::INFINITY, f64::min),
            max: received.iter().copied().fold(0.0, f64::max),
        })
    }
}

impl fmt::Display for TeamShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "flooding {:.3}, others {:.3}, least {:.3}, most {:.3}",
            self.floods, self.others, self.min, self.max
        )
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the values of [`COLUMNS`] for one class; times are in milliseconds.
fn column_values(stats: &ClassStats) -> [u64; 9] {
    let wait = |quantile| stats.waits.value_at_quantile(quantile);
    [
        stats.arrived,
        stats.finished,
        wait(0.5),
        wait(0.99),
        wait(0.999),
        stats.waits.max(),
        stats.refusals(),
        stats.expired,
        stats.refusal_times.value_at_quantile(0.99),
    ]
}

/// Returns the fraction of all slot time in which the class ran.
fn utilization(scenario: &Scenario, stats: &ClassStats) -> f64 {
    let span_ms = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
    stats.slot_ms as f64 / (f64::from(scenario.slots) * span_ms)
}
