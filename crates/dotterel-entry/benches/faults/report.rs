//! Tables of call outcomes and latencies.

use std::collections::BTreeMap;

use dotterel_kernel::Millis;
use hdrhistogram::Histogram;

use crate::load::{End, Sample};

/// An interval of a run; a call belongs to the phase of its scheduled send time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) from: Millis,
    pub(crate) until: Millis,
}

impl Phase {
    /// Returns whether the phase contains the time.
    pub(crate) fn contains(&self, at: Millis) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// Prints a table with one row for each phase and each kind of call.
pub(crate) fn print_table(title: &str, samples: &[Sample], phases: &[Phase]) {
    println!("\n{title}\n");
    println!(
        "| phase | calls | sent | ran % | failed % | not run % | unknown % | other % | p50 ms | p99 ms | max ms | outcomes other than ran |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for phase in phases {
        for (kind, repeatable) in [("repeatable", true), ("unrepeatable", false)] {
            let selected = samples.iter();
            let selected = selected
                .filter(|sample| sample.repeatable == repeatable && phase.contains(sample.due));
            print_row(phase.name, kind, &selected.collect::<Vec<_>>());
        }
    }
}

fn print_row(phase: &str, kind: &str, samples: &[&Sample]) {
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
        count_ends(samples),
    );
}

/// Lists the ends other than [`End::Ran`], with their counts.
fn count_ends(samples: &[&Sample]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.end != End::Ran) {
        *counts.entry(format!("{:?}", sample.end)).or_default() += 1;
    }
    let parts = counts.iter().map(|(end, count)| format!("{count} {end}"));
    parts.collect::<Vec<_>>().join(", ").replace('"', "")
}

/// Formats a share in percent with two decimal places.
pub(crate) fn percent(part: usize, whole: usize) -> String {
    if whole == 0 {
        return "-".into();
    }
    format!("{:.2}", 100.0 * part as f64 / whole as f64)
}

/// Formats the number, the median and the maximum of the durations.
pub(crate) fn summarize(mut durations: Vec<Millis>) -> String {
    durations.sort_unstable();
    match (durations.get(durations.len() / 2), durations.last()) {
        (Some(median), Some(max)) => {
            format!("{} values, median {median}, max {max}", durations.len())
        }
        _ => "no values".into(),
    }
}
