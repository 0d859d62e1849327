//! Merging of accounts from several nodes.

use dotterel_kernel::{Account, Hour, Millis, Record, Summary};

use super::tally::add_reason;

/// Merges the accounts of several nodes.
#[must_use]
pub fn merge(parts: impl IntoIterator<Item = Account>) -> Account {
    let mut merged = Account::default();
    for part in parts {
        merged.as_of = merged.as_of.max(part.as_of);
        merged.nodes.extend(part.nodes);
        merged.gaps.extend(part.gaps);
        for line in part.lines {
            add_line(&mut merged.lines, line);
        }
    }
    merged.nodes.sort();
    merged.nodes.dedup();
    merged
        .gaps
        .sort_by(|a, b| (&a.node, a.incarnation, a.since).cmp(&(&b.node, b.incarnation, b.since)));
    merged.gaps.dedup();
    merged
}

/// Counts an open request as waiting or running.
pub(super) fn add_open(lines: &mut [Summary], record: &Record, now: Millis) {
    let key = (&record.service, &record.class);
    let Ok(index) = lines.binary_search_by(|line| (&line.service, &line.class).cmp(&key)) else {
        return;
    };
    let line = &mut lines[index];
    if record.started.is_some() {
        line.running += 1;
        return;
    }
    line.waiting += 1;
    line.oldest = line.oldest.max(now.since(record.arrived));
}

fn add_line(lines: &mut Vec<Summary>, part: Summary) {
    let key = (&part.service, &part.class);
    match lines.binary_search_by(|line| (&line.service, &line.class).cmp(&key)) {
        Ok(index) => add_counts(&mut lines[index], &part),
        Err(index) => lines.insert(index, part),
    }
}

fn add_counts(sum: &mut Summary, part: &Summary) {
    sum.arrived += part.arrived;
    sum.ran += part.ran;
    sum.unknown += part.unknown;
    sum.waiting += part.waiting;
    sum.running += part.running;
    sum.oldest = sum.oldest.max(part.oldest);
    sum.duplicates += part.duplicates;
    sum.delayed += part.delayed;
    for (reason, count) in &part.not_run {
        add_reason(&mut sum.not_run, *reason, *count);
    }
    for hour in &part.hours {
        add_hour(&mut sum.hours, *hour);
    }
}

fn add_hour(hours: &mut Vec<Hour>, part: Hour) {
    match hours.binary_search_by_key(&part.start, |hour| hour.start) {
        Ok(index) => {
            let hour = &mut hours[index];
            hour.arrived += part.arrived;
            hour.started += part.started;
            hour.dropped += part.dropped;
        }
        Err(index) => hours.insert(index, part),
    }
}
