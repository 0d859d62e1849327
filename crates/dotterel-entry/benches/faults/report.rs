//! Tables of what callers were told.

use std::collections::BTreeMap;

use dotterel_kernel::Millis;
use hdrhistogram::Histogram;

use crate::load::{End, Sample};

/// A span of a run, by the times at which calls had to leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) from: Millis,
    pub(crate) until: Millis,
}

impl Phase {
    /// Returns true when the time lies within the phase.
    pub(crate) fn holds(&self, at: Millis) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// Prints one row for each phase and each kind of call.
pub(crate) fn table(title: &str, samples: &[Sample], phases: &[Phase]) {
    println!("\n{title}\n");
    println!(
        "| phase | calls | sent | ran % | failed % | not run % | unknown % | other % | p50 ms | p99 ms | worst ms | ends other than ran |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for phase in phases {
        for (kind, repeatable) in [("repeatable", true), ("unrepeatable", false)] {
            let chosen = samples.iter();
            let chosen =
                chosen.filter(|sample| sample.repeatable == repeatable && phase.holds(sample.due));
            row(phase.name, kind, &chosen.collect::<Vec<_>>());
        }
    }
}

fn row(phase: &str, kind: &str, samples: &[&Sample]) {
    let share = |test: &dyn Fn(&End) -> bool| {
        let count = samples.iter().filter(|sample| test(&sample.end)).count();
        percent(count, samples.len())
    };
    let mut times = Histogram::<u64>::new(3).expect("the precision is valid");
    for sample in samples {
        let time = sample.ended.since(sample.due).0;
        times.record(time).expect("the histogram grows");
    }
    println!(
        "| {phase} | {kind} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        samples.len(),
        share(&|end| *end == End::Ran),
        share(&|end| *end == End::Failed),
        share(&|end| matches!(end, End::NotRun(_))),
        share(&|end| *end == End::Unknown),
        share(&|end| matches!(end, End::Refused(_) | End::NotSent | End::Lost)),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
        ends(samples),
    );
}

/// Names the ends other than a run, with their counts.
fn ends(samples: &[&Sample]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.end != End::Ran) {
        *counts.entry(format!("{:?}", sample.end)).or_default() += 1;
    }
    let parts = counts.iter().map(|(end, count)| format!("{count} {end}"));
    parts.collect::<Vec<_>>().join(", ").replace('"', "")
}

/// Returns a share in percent with two places.
pub(crate) fn percent(part: usize, whole: usize) -> String {
    if whole == 0 {
        return "-".into();
    }
    format!("{:.2}", 100.0 * part as f64 / whole as f64)
}

/// Returns the median and the worst of some spans.
pub(crate) fn spread(mut spans: Vec<Millis>) -> String {
    spans.sort_unstable();
    match (spans.get(spans.len() / 2), spans.last()) {
        (Some(median), Some(worst)) => {
            format!("{} spans, median {median}, worst {worst}", spans.len())
        }
        _ => "no spans".into(),
    }
}
