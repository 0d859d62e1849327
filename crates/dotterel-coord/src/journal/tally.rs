//! Counts by class and hour.

use compact_str::CompactString;
use dotterel_kernel::{Fate, Flag, Hour, Millis, Reason, Record, Service, Summary};
use serde::{Deserialize, Serialize};

const HOUR: Millis = Millis::secs(3600);

/// The counts of one class in one hour.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct HourCounts {
    start: Millis,
    arrived: u64,
    started: u64,
    ran: u64,
    unknown: u64,
    duplicates: u64,
    delayed: u64,
    not_run: Vec<(Reason, u64)>,
}

/// The hourly counts of one class.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClassCounts {
    service: Service,
    class: CompactString,
    hours: Vec<HourCounts>,
}

/// The counts of all classes, sorted by service and class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Tally {
    classes: Vec<ClassCounts>,
}

impl Tally {
    /// Counts the change from one state of a record to the next; `before` is `None` for a new
    /// record.
    pub(super) fn count(&mut self, before: Option<&Record>, after: &Record) {
        let counts = self.class_counts(&after.service, &after.class);
        if before.is_none() {
            counts.hour(after.arrived).arrived += 1;
        }
        let earlier = before.and_then(|record| record.started);
        match (earlier, after.started) {
            (None, Some(started)) => counts.hour(started).started += 1,
            // The start was refused after it had been recorded.
            (Some(started), None) => {
                let hour = counts.hour(started);
                hour.started = hour.started.saturating_sub(1);
            }
            (None, None) | (Some(_), Some(_)) => {}
        }
        let flags = before.map_or(0, |record| record.flags.len());
        for flag in after.flags.iter().skip(flags) {
            counts.flag(after.arrived, flag);
        }
        if let Some(fate) = after.fate
            && before.is_none_or(|record| record.fate.is_none())
        {
            counts.settle(after.ended.unwrap_or(after.arrived), fate);
        }
    }

    /// Removes the hours that began before `time`; returns true if any were removed.
    pub(super) fn prune(&mut self, time: Millis) -> bool {
        let count = |classes: &[ClassCounts]| {
            classes
                .iter()
                .map(|counts| counts.hours.len())
                .sum::<usize>()
        };
        let before = count(&self.classes);
        for counts in &mut self.classes {
            counts.hours.retain(|hour| hour.start >= time);
        }
        count(&self.classes) < before
    }

    /// Returns summaries by class from the hour that contains `since` onward.
    pub(super) fn summaries(&self, service: Option<&Service>, since: Millis) -> Vec<Summary> {
        let first = hour_of(since);
        self.classes
            .iter()
            .filter(|counts| service.is_none_or(|name| *name == counts.service))
            .map(|counts| counts.summary(first))
            .collect()
    }

    fn class_counts(&mut self, service: &Service, class: &CompactString) -> &mut ClassCounts {
        let key = (service, class);
        let index = match self
            .classes
            .binary_search_by(|counts| (&counts.service, &counts.class).cmp(&key))
        {
            Ok(index) => index,
            Err(index) => {
                let counts = ClassCounts {
                    service: service.clone(),
                    class: class.clone(),
                    hours: Vec::new(),
                };
                self.classes.insert(index, counts);
                index
            }
        };
        &mut self.classes[index]
    }
}

impl ClassCounts {
    fn hour(&mut self, time: Millis) -> &mut HourCounts {
        let start = hour_of(time);
        let index = match self.hours.binary_search_by_key(&start, |hour| hour.start) {
            Ok(index) => index,
            Err(index) => {
                let hour = HourCounts {
                    start,
                    ..HourCounts::default()
                };
                self.hours.insert(index, hour);
                index
            }
        };
        &mut self.hours[index]
    }

    fn flag(&mut self, time: Millis, flag: &Flag) {
        let hour = self.hour(time);
        match flag {
            Flag::Duplicate { .. } => hour.duplicates += 1,
            Flag::Delayed { .. } => hour.delayed += 1,
        }
    }

    fn settle(&mut self, time: Millis, fate: Fate) {
        let hour = self.hour(time);
        match fate {
            Fate::Ran => hour.ran += 1,
            Fate::Unknown => hour.unknown += 1,
            Fate::NotRun(reason) => add_reason(&mut hour.not_run, reason, 1),
        }
    }

    fn summary(&self, first: Millis) -> Summary {
        let mut sum = Summary {
            service: self.service.clone(),
            class: self.class.clone(),
            ..Summary::default()
        };
        for hour in self.hours.iter().filter(|hour| hour.start >= first) {
            hour.add_to(&mut sum);
        }
        sum
    }
}

impl HourCounts {
    fn add_to(&self, sum: &mut Summary) {
        sum.arrived += self.arrived;
        sum.ran += self.ran;
        sum.unknown += self.unknown;
        sum.duplicates += self.duplicates;
        sum.delayed += self.delayed;
        for (reason, count) in &self.not_run {
            add_reason(&mut sum.not_run, *reason, *count);
        }
        sum.hours.push(Hour {
            start: self.start,
            arrived: self.arrived,
            started: self.started,
            dropped: self.not_run.iter().map(|(_, count)| count).sum(),
        });
    }
}

/// Adds to the count of a reason in a list sorted by reason.
pub(super) fn add_reason(list: &mut Vec<(Reason, u64)>, reason: Reason, count: u64) {
    match list.binary_search_by_key(&reason, |(known, _)| *known) {
        Ok(index) => list[index].1 += count,
        Err(index) => list.insert(index, (reason, count)),
    }
}

/// Returns the start of the hour that contains a time.
pub(super) const fn hour_of(time: Millis) -> Millis {
    Millis(time.0 - time.0 % HOUR.0)
}

/// Returns the start of the hour `count` hours before the one that contains `time`.
pub(super) const fn hours_before(time: Millis, count: u64) -> Millis {
    Millis(hour_of(time).0.saturating_sub(count * HOUR.0))
}
