//! Tables and CSV of experiments.

use std::fmt::{self, Write as _};

use crate::scenario::Scenario;
use crate::stats::{ClassStats, Outcome};
use crate::trace::quota_slots;

/// Heads and widths of the columns of [`figures`].
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

/// Returns one line for each policy, load and class.
#[must_use]
pub fn table(scenario: &Scenario, outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    let raw = &scenario.raw;
    let _ = writeln!(text, "experiment {} seed {}", raw.name, raw.seed);
    let _ = write!(text, "{:<12} {:>5} {:<16}", "policy", "load", "class");
    for (head, width) in COLUMNS {
        let _ = write!(text, " {head:>width$}");
    }
    let _ = writeln!(text, " {:>8}", "work %");
    for outcome in outcomes {
        for (class, stats) in raw.classes.iter().zip(&outcome.classes) {
            let (policy, load) = (&outcome.policy, outcome.load);
            let _ = write!(text, "{policy:<12} {load:>5.2} {:<16}", class.name);
            for (value, (_, width)) in figures(stats).into_iter().zip(COLUMNS) {
                let _ = write!(text, " {value:>width$}");
            }
            let _ = writeln!(text, " {:>8.2}", 100.0 * work(scenario, stats));
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
            let figures = figures(stats).map(|figure| figure.to_string());
            let _ = writeln!(
                text,
                "{},{},{},{},{},{},{:.4},{}",
                scenario.raw.name,
                scenario.raw.seed,
                outcome.policy,
                outcome.load,
                class.name,
                figures.join(","),
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
    if let Some((used, bound)) = outcome.packing {
        let _ = write!(
            text,
            ", VMs in use {used:.1}, bound {bound:.1} ({:.3})",
            bound / used
        );
    }
    if let Some(shares) = Shares::of(scenario, outcome) {
        let _ = write!(text, "\n  parts received by teams: {shares}");
    }
    text
}

/// What teams received of the part of all slots that their quotas give them; the scenario lets
/// every team ask for more than that.
struct Shares {
    floods: f64,
    others: f64,
    least: f64,
    most: f64,
}

impl Shares {
    fn of(scenario: &Scenario, outcome: &Outcome) -> Option<Self> {
        let teams = scenario.raw.teams.filter(|teams| teams.floods > 0)?;
        let count = teams.count as usize;
        let quota = |team| f64::from(quota_slots(scenario, team));
        let whole: f64 = (0..count).map(quota).sum();
        let span = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
        let whole = f64::from(scenario.slots) * span / whole;
        let received = |team| outcome.teams[team] as f64 / (quota(team) * whole);
        let received: Vec<f64> = (0..count).map(received).collect();
        let (floods, others) = received.split_at(teams.floods as usize);
        Some(Self {
            floods: mean(floods),
            others: mean(others),
            least: received.iter().copied().fold(f64::INFINITY, f64::min),
            most: received.iter().copied().fold(0.0, f64::max),
        })
    }
}

impl fmt::Display for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "flooding {:.3}, others {:.3}, least {:.3}, most {:.3}",
            self.floods, self.others, self.least, self.most
        )
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the counts, and the times in milliseconds, of one class.
fn figures(stats: &ClassStats) -> [u64; 9] {
    let wait = |rank| stats.waits.value_at_quantile(rank);
    [
        stats.arrived,
        stats.finished,
        wait(0.5),
        wait(0.99),
        wait(0.999),
        stats.waits.max(),
        stats.refusals(),
        stats.expired,
        stats.told.value_at_quantile(0.99),
    ]
}

fn work(scenario: &Scenario, stats: &ClassStats) -> f64 {
    let span = (scenario.raw.seconds - scenario.raw.warmup_s) as f64 * 1000.0;
    stats.work as f64 / (f64::from(scenario.slots) * span)
}
