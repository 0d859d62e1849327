//! The in-memory buffer of a node's request records.

use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Millis, Record, RequestId, Service, Summary};

use super::Config;
use super::tally::{Tally, hour_of, hours_before};

/// A record and whether its latest state has been shipped.
#[derive(Debug)]
struct Slot {
    record: Record,
    /// The sequence number of the latest change to the record.
    change: u64,
    /// Whether that change has been shipped.
    shipped: bool,
}

/// A time range of closed records that were evicted before they were shipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DroppedRange {
    pub(super) since: Millis,
    until: Millis,
    count: u64,
}

impl DroppedRange {
    /// Returns the cause text for the gap.
    pub(super) fn cause(&self) -> CompactString {
        format_compact!(
            "{} closed requests that arrived until {} were dropped before they could be shipped",
            self.count,
            self.until.0
        )
    }
}

/// The contents of the next segment.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) seq: u64,
    pub(super) since: Millis,
    pub(super) until: Millis,
    pub(super) dropped: Vec<DroppedRange>,
    pub(super) records: Vec<Record>,
    /// Whether the segment contains all unshipped records.
    pub(super) complete: bool,
    changes: Vec<u64>,
}

/// The records of a node, sorted by request, and their counts by class and hour.
#[derive(Debug)]
pub(super) struct RecordBuffer {
    config: Config,
    slots: Vec<Slot>,
    tally: Tally,
    dropped: Vec<DroppedRange>,
    /// Whether `dropped` has changed since the last segment.
    gaps_changed: bool,
    changes: u64,
    open: usize,
    unshipped: usize,
    seq: u64,
    /// When the journal was created.
    created: Millis,
    /// The time up to which everything has been shipped.
    shipped_until: Millis,
}

impl RecordBuffer {
    pub(super) fn new(config: Config, now: Millis) -> Self {
        Self {
            config,
            slots: Vec::new(),
            tally: Tally::default(),
            dropped: Vec::new(),
            gaps_changed: true,
            changes: 0,
            open: 0,
            unshipped: 0,
            seq: 0,
            created: now,
            shipped_until: now,
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

    /// Returns the start of the range after `since` whose counts have been removed, if any.
    pub(super) fn uncounted_start(&self, since: Millis) -> Option<Millis> {
        let first = hours_before(self.shipped_until, self.config.kept_hours);
        let start = hour_of(since).max(self.created);
        (start < first).then_some(start)
    }

    /// Returns summaries from the hour that contains `since` onward, including the requests that
    /// are waiting or running now.
    pub(super) fn summaries(
        &self,
        service: Option<&Service>,
        since: Millis,
        now: Millis,
    ) -> Vec<Summary> {
        let mut summaries = self.tally.summaries(service, since);
        let open = self.slots.iter().map(|slot| &slot.record);
        for record in open.filter(|record| record.fate.is_none()) {
            super::account::add_open(&mut summaries, record, now);
        }
        summaries
    }

    /// Returns the contents of the next segment, or `None` if nothing has changed.
    pub(super) fn draft(&mut self, now: Millis) -> Option<Draft> {
        self.tally.prune(hours_before(now, self.config.kept_hours));
        if self.unshipped == 0 && !self.gaps_changed {
            return None;
        }
        let mut draft = Draft {
            seq: self.seq,
            since: self.shipped_until,
            until: now,
            dropped: self.dropped.clone(),
            records: Vec::new(),
            complete: true,
            changes: Vec::new(),
        };
        let pending = self.slots.iter().filter(|slot| !slot.shipped);
        for slot in pending.take(self.config.max_records) {
            draft.records.push(slot.record.clone());
            draft.changes.push(slot.change);
        }
        // A partial segment does not cover the time up to now.
        if draft.records.len() < self.unshipped {
            draft.until = self.shipped_until;
            draft.complete = false;
        }
        Some(draft)
    }

    /// Marks the records of a draft as shipped.
    pub(super) fn mark_shipped(&mut self, draft: &Draft) {
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
        self.gaps_changed = self.dropped != draft.dropped;
        self.seq = draft.seq + 1;
        self.shipped_until = draft.until;
        self.evict();
    }

    /// Records that shipping a draft failed; `unknown` is true if the write may still take effect.
    ///
    /// A delayed write must not replace a later segment, so its sequence number is not reused.
    pub(super) const fn mark_failed(&mut self, unknown: bool) {
        if unknown {
            self.seq += 1;
        }
    }

    /// Evicts the oldest closed records down to `max_closed` once they exceed it by more than an
    /// eighth.
    fn evict(&mut self) {
        let closed = self.slots.len() - self.open;
        if closed <= self.config.max_closed + self.config.max_closed / 8 {
            return;
        }
        let mut excess = closed - self.config.max_closed;
        let mut range: Option<DroppedRange> = None;
        let mut lost_count = 0;
        self.slots.retain(|slot| {
            if excess == 0 || slot.record.fate.is_none() {
                return true;
            }
            excess -= 1;
            if !slot.shipped {
                lost_count += 1;
                let arrived = slot.record.arrived;
                let entry = range.get_or_insert(DroppedRange {
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
        self.unshipped -= lost_count;
        if let Some(range) = range {
            self.add_dropped(range);
        }
    }

    /// Adds a range of dropped records; if the list is full, extends its last range instead.
    fn add_dropped(&mut self, range: DroppedRange) {
        self.gaps_changed = true;
        if self.dropped.len() < self.config.max_gaps {
            self.dropped.push(range);
            return;
        }
        if let Some(last) = self.dropped.last_mut() {
            last.since = last.since.min(range.since);
            last.until = last.until.max(range.until);
            last.count += range.count;
        }
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.slots
            .binary_search_by_key(&request, |slot| slot.record.request)
    }
}
