//! What a node remembers of its requests.

use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Millis, Record, RequestId, Service, Summary};

use super::Config;
use super::tally::{Tally, hour_of, hours_before};

/// A record and whether its latest state is shipped.
#[derive(Debug)]
struct Slot {
    record: Record,
    /// The number of the latest change.
    change: u64,
    /// Whether that change is shipped.
    shipped: bool,
}

/// Closed records that were pushed out of memory before they were shipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Dropped {
    pub(super) since: Millis,
    until: Millis,
    count: u64,
}

impl Dropped {
    /// Says what is missing, as a sentence part.
    pub(super) fn cause(&self) -> CompactString {
        format_compact!(
            "{} closed requests that arrived until {} were dropped before they could be shipped",
            self.count,
            self.until.0
        )
    }
}

/// The content of the next segment.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) seq: u64,
    pub(super) since: Millis,
    pub(super) until: Millis,
    pub(super) dropped: Vec<Dropped>,
    pub(super) records: Vec<Record>,
    /// Whether the segment holds all that had changed.
    pub(super) whole: bool,
    changes: Vec<u64>,
}

/// The records of a node, sorted by request, and their counts.
#[derive(Debug)]
pub(super) struct Memory {
    config: Config,
    slots: Vec<Slot>,
    tally: Tally,
    dropped: Vec<Dropped>,
    /// Whether the list of dropped records grew since the last segment.
    news: bool,
    changes: u64,
    open: usize,
    unshipped: usize,
    seq: u64,
    /// When the journal began.
    began: Millis,
    /// Up to when everything is shipped.
    covered: Millis,
}

impl Memory {
    pub(super) fn new(config: Config, now: Millis) -> Self {
        Self {
            config,
            slots: Vec::new(),
            tally: Tally::default(),
            dropped: Vec::new(),
            news: true,
            changes: 0,
            open: 0,
            unshipped: 0,
            seq: 0,
            began: now,
            covered: now,
        }
    }

    pub(super) fn open(&mut self, record: Record) {
        let Err(index) = self.position(record.request) else {
            return;
        };
        self.tally.count(None, &record);
        self.open += usize::from(record.fate.is_none());
        self.changes += 1;
        self.unshipped += 1;
        let change = self.changes;
        let slot = Slot {
            record,
            change,
            shipped: false,
        };
        self.slots.insert(index, slot);
        self.evict();
    }

    pub(super) fn update(&mut self, request: RequestId, change: impl FnOnce(&mut Record)) -> bool {
        let Ok(index) = self.position(request) else {
            return false;
        };
        let slot = &mut self.slots[index];
        if slot.record.fate.is_some() {
            return false;
        }
        let before = slot.record.clone();
        change(&mut slot.record);
        self.changes += 1;
        slot.change = self.changes;
        self.unshipped += usize::from(slot.shipped);
        slot.shipped = false;
        self.tally.count(Some(&before), &slot.record);
        if slot.record.fate.is_some() {
            self.open -= 1;
            self.evict();
        }
        true
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&Record> {
        let index = self.position(request).ok()?;
        Some(&self.slots[index].record)
    }

    pub(super) const fn unshipped(&self) -> usize {
        self.unshipped
    }

    /// Returns the start of the part after `since` that is no longer counted, if any.
    pub(super) fn uncounted(&self, since: Millis) -> Option<Millis> {
        let first = hours_before(self.covered, self.config.kept_hours);
        let start = hour_of(since).max(self.began);
        (start < first).then_some(start)
    }

    /// Returns the account of the hours since `since`, with what waits and runs now.
    pub(super) fn lines(
        &self,
        service: Option<&Service>,
        since: Millis,
        now: Millis,
    ) -> Vec<Summary> {
        let mut lines = self.tally.lines(service, since);
        let open = self.slots.iter().map(|slot| &slot.record);
        for record in open.filter(|record| record.fate.is_none()) {
            super::account::add_open(&mut lines, record, now);
        }
        lines
    }

    /// Returns what the next segment holds; none when nothing changed.
    pub(super) fn draft(&mut self, now: Millis) -> Option<Draft> {
        self.tally.forget(hours_before(now, self.config.kept_hours));
        if self.unshipped == 0 && !self.news {
            return None;
        }
        let mut draft = Draft {
            seq: self.seq,
            since: self.covered,
            until: now,
            dropped: self.dropped.clone(),
            records: Vec::new(),
            whole: true,
            changes: Vec::new(),
        };
        let waiting = self.slots.iter().filter(|slot| !slot.shipped);
        for slot in waiting.take(self.config.max_records) {
            draft.records.push(slot.record.clone());
            draft.changes.push(slot.change);
        }
        // A partial segment does not cover the span up to now.
        if draft.records.len() < self.unshipped {
            draft.until = self.covered;
            draft.whole = false;
        }
        Some(draft)
    }

    /// Notes that a draft is in the store.
    pub(super) fn shipped(&mut self, draft: &Draft) {
        for (record, change) in draft.records.iter().zip(&draft.changes) {
            let Ok(index) = self.position(record.request) else {
                continue;
            };
            let slot = &mut self.slots[index];
            if slot.change == *change && !slot.shipped {
                slot.shipped = true;
                self.unshipped -= 1;
            }
        }
        self.news = self.dropped != draft.dropped;
        self.seq = draft.seq + 1;
        self.covered = draft.until;
        self.evict();
    }

    /// Notes that a draft is not known to be in the store.
    ///
    /// A segment that may still arrive must not replace a later one, so its number is not used
    /// again.
    pub(super) const fn failed(&mut self, unknown: bool) {
        if unknown {
            self.seq += 1;
        }
    }

    /// Drops the oldest closed records beyond the bound, in steps of an eighth of it.
    fn evict(&mut self) {
        let closed = self.slots.len() - self.open;
        if closed <= self.config.max_closed + self.config.max_closed / 8 {
            return;
        }
        let mut excess = closed - self.config.max_closed;
        let mut lost: Option<Dropped> = None;
        let mut gone = 0;
        self.slots.retain(|slot| {
            if excess == 0 || slot.record.fate.is_none() {
                return true;
            }
            excess -= 1;
            if !slot.shipped {
                gone += 1;
                let arrived = slot.record.arrived;
                let entry = lost.get_or_insert(Dropped {
                    since: arrived,
                    until: arrived,
                    count: 0,
                });
                entry.since = entry.since.min(arrived);
                entry.until = entry.until.max(arrived);
                entry.count += 1;
            }
            false
        });
        self.unshipped -= gone;
        if let Some(lost) = lost {
            self.note(lost);
        }
    }

    /// Adds to the list of dropped records, joining the last two entries when it is full.
    fn note(&mut self, lost: Dropped) {
        self.news = true;
        if self.dropped.len() < self.config.max_gaps {
            self.dropped.push(lost);
            return;
        }
        if let Some(last) = self.dropped.last_mut() {
            last.since = last.since.min(lost.since);
            last.until = last.until.max(lost.until);
            last.count += lost.count;
        }
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&request, |slot| slot.record.request)
    }
}
