//! Counts by class and hour.

use compact_str::CompactString;
use dotterel_kernel::{Fate, Flag, Hour, Millis, Reason, Record, Service, Summary};
use serde::{Deserialize, Serialize};

/// The length of a counted hour.
const HOUR: Millis = Millis::secs(3600);

/// The counts of one class in one hour.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Cell {
    start: Millis,
    arrived: u64,
    started: u64,
    ran: u64,
    unknown: u64,
    duplicates: u64,
    delayed: u64,
    not_run: Vec<(Reason, u64)>,
}

/// The counts of one class, hour by hour.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Line {
    service: Service,
    class: CompactString,
    cells: Vec<Cell>,
}

/// The counts of all classes, sorted by service and class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Tally {
    lines: Vec<Line>,
}

impl Tally {
    /// Counts the difference between two states of a record; none stands for a new record.
    pub(super) fn count(&mut self, before: Option<&Record>, after: &Record) {
        let line = self.line(&after.service, &after.class);
        if before.is_none() {
            line.cell(after.arrived).arrived += 1;
        }
        let earlier = before.and_then(|record| record.started);
        match (earlier, after.started) {
            (None, Some(started)) => line.cell(started).started += 1,
            // The start was refused after all.
            (Some(started), None) => {
                let cell = line.cell(started);
                cell.started = cell.started.saturating_sub(1);
            }
            (None, None) | (Some(_), Some(_)) => {}
        }
        let flags = before.map_or(0, |record| record.flags.len());
        for flag in after.flags.iter().skip(flags) {
            line.flag(after.arrived, flag);
        }
        if let Some(fate) = after.fate
            && before.is_none_or(|record| record.fate.is_none())
        {
            line.settle(after.ended.unwrap_or(after.arrived), fate);
        }
    }

    /// Forgets hours that began before `time`; returns true when something was counted there.
    pub(super) fn forget(&mut self, time: Millis) -> bool {
        let count = |lines: &[Line]| lines.iter().map(|line| line.cells.len()).sum::<usize>();
        let before = count(&self.lines);
        for line in &mut self.lines {
            line.cells.retain(|cell| cell.start >= time);
        }
        count(&self.lines) < before
    }

    /// Sums up the hours since the one that contains `since`.
    pub(super) fn lines(&self, service: Option<&Service>, since: Millis) -> Vec<Summary> {
        let first = hour_of(since);
        self.lines
            .iter()
            .filter(|line| service.is_none_or(|name| *name == line.service))
            .map(|line| line.summary(first))
            .collect()
    }

    fn line(&mut self, service: &Service, class: &CompactString) -> &mut Line {
        let key = (service, class);
        let index = match self
            .lines
            .binary_search_by(|line| (&line.service, &line.class).cmp(&key))
        {
            Ok(index) => index,
            Err(index) => {
                let line = Line {
                    service: service.clone(),
                    class: class.clone(),
                    cells: Vec::new(),
                };
                self.lines.insert(index, line);
                index
            }
        };
        &mut self.lines[index]
    }
}

impl Line {
    fn cell(&mut self, time: Millis) -> &mut Cell {
        let start = hour_of(time);
        let index = match self.cells.binary_search_by_key(&start, |cell| cell.start) {
            Ok(index) => index,
            Err(index) => {
                let cell = Cell {
                    start,
                    ..Cell::default()
                };
                self.cells.insert(index, cell);
                index
            }
        };
        &mut self.cells[index]
    }

    fn flag(&mut self, time: Millis, flag: &Flag) {
        let cell = self.cell(time);
        match flag {
            Flag::Duplicate { .. } => cell.duplicates += 1,
            Flag::Delayed { .. } => cell.delayed += 1,
        }
    }

    fn settle(&mut self, time: Millis, fate: Fate) {
        let cell = self.cell(time);
        match fate {
            Fate::Ran => cell.ran += 1,
            Fate::Unknown => cell.unknown += 1,
            Fate::NotRun(reason) => add_reason(&mut cell.not_run, reason, 1),
        }
    }

    fn summary(&self, first: Millis) -> Summary {
        let mut sum = Summary {
            service: self.service.clone(),
            class: self.class.clone(),
            ..Summary::default()
        };
        for cell in self.cells.iter().filter(|cell| cell.start >= first) {
            cell.add_to(&mut sum);
        }
        sum
    }
}

impl Cell {
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
