//! Applies a batch of changes to a shard.

use dotterel_kernel::Millis;

use super::op::Op;
use crate::claims::change::{Change, ChangeOutcome};
use crate::claims::entry::{ClaimKey, Entry, State, WriteId};
use crate::claims::page::PageIndex;
use crate::claims::row::ShardRow;

/// Times and limits for applying a batch.
pub(super) struct Rules {
    /// Windows that ended before this time have ended by every node's clock.
    pub(super) expired_before: Millis,
    /// Expiry time of new tombstones.
    pub(super) tombstone_until: Millis,
    /// The maximum number of pages of a shard.
    pub(super) max_pages: usize,
}

/// The result of applying a batch to a shard.
pub(super) struct BatchResult {
    /// The row with the batch applied.
    pub(super) row: ShardRow,
    /// Whether the batch changed the row, so that it must be written.
    pub(super) changed: bool,
    /// One outcome per change of the batch, valid once the row is durable.
    pub(super) outcomes: Vec<ChangeOutcome>,
}

/// Applies the changes of a batch one after another.
struct Applier<'a> {
    row: ShardRow,
    /// The entries in pages for the keys of the batch, those of newer pages first.
    paged_entries: &'a [Entry],
    rules: &'a Rules,
    changed: bool,
}

impl BatchResult {
    /// Applies a batch to a row, given the entries in pages for its keys.
    pub(super) fn new(
        base: &ShardRow,
        paged_entries: &[Entry],
        batch: &[Op],
        rules: &Rules,
    ) -> Self {
        let mut applier = Applier {
            row: base.clone(),
            paged_entries,
            rules,
            changed: false,
        };
        applier.row.expire(rules.expired_before);
        let outcomes = batch.iter().map(|op| applier.apply(&op.change)).collect();
        Self {
            row: applier.row,
            changed: applier.changed,
            outcomes,
        }
    }

    /// Returns true if the row still lists the page.
    pub(super) fn lists(&self, page: &PageIndex) -> bool {
        let mut listed = self.row.pages.iter();
        listed.any(|listed_page| listed_page.number == page.number)
    }
}

impl Applier<'_> {
    fn apply(&mut self, change: &Change) -> ChangeOutcome {
        match change {
            Change::Claim { entry, .. } => self.claim(entry),
            Change::Settle { key, id, outcome } => {
                if let Some(entry) = self.open_claim(key, *id) {
                    self.put(Entry {
                        state: State::Done(outcome.clone()),
                        ..entry
                    });
                }
                ChangeOutcome::Written
            }
            Change::Withdraw { entry, tombstone } => {
                self.withdraw(entry, *tombstone);
                ChangeOutcome::Written
            }
        }
    }

    fn claim(&mut self, entry: &Entry) -> ChangeOutcome {
        if self.row.has_tombstone(entry.id) {
            return ChangeOutcome::Unavailable;
        }
        match self.find(&entry.key) {
            Some(found) if found.id == entry.id => own_outcome(found),
            Some(found) => key_taken(found.clone(), entry),
            None => self.add(entry),
        }
    }

    fn add(&mut self, entry: &Entry) -> ChangeOutcome {
        if self.row.pages.len() >= self.rules.max_pages {
            return ChangeOutcome::Unavailable;
        }
        self.put(entry.clone());
        ChangeOutcome::Won
    }

    fn withdraw(&mut self, entry: &Entry, tombstone: bool) {
        let is_open = self.open_claim(&entry.key, entry.id).is_some();
        let in_page = self.row.find(&entry.key).is_none();
        if is_open && !in_page {
            self.row.remove(&entry.key);
        }
        if is_open && in_page {
            self.row.add_tombstone(entry.id, entry.expires);
        }
        let tombstoned = tombstone && !self.row.has_tombstone(entry.id);
        if tombstoned {
            self.row.add_tombstone(entry.id, self.rules.tombstone_until);
        }
        self.changed |= is_open || tombstoned;
    }

    /// Returns the entry of a claim if it is neither settled nor withdrawn.
    fn open_claim(&self, key: &ClaimKey, id: WriteId) -> Option<Entry> {
        let entry = self.find(key)?;
        let open = entry.id == id && entry.state == State::Claimed;
        open.then(|| entry.clone())
    }

    fn find(&self, key: &ClaimKey) -> Option<&Entry> {
        let matches = |entry: &&Entry| entry.key == *key && !self.row.has_tombstone(entry.id);
        let paged_entries = || self.paged_entries.iter().find(matches);
        let found = self.row.find(key).or_else(paged_entries)?;
        (found.expires >= self.rules.expired_before).then_some(found)
    }

    fn put(&mut self, entry: Entry) {
        self.row.put(entry);
        self.changed = true;
    }
}

/// Returns the outcome of an unwritten claim if the cached row determines it.
pub(super) fn known_outcome(row: &ShardRow, op: &Op) -> Option<ChangeOutcome> {
    let Change::Claim { entry, .. } = &op.change else {
        return None;
    };
    let found = row.find(&entry.key)?;
    let other = !op.maybe_written && found.id != entry.id;
    other.then(|| key_taken(found.clone(), entry))
}

fn own_outcome(found: &Entry) -> ChangeOutcome {
    match found.state {
        State::Claimed => ChangeOutcome::Won,
        State::Done(_) => ChangeOutcome::Unavailable,
    }
}

fn key_taken(found: Entry, entry: &Entry) -> ChangeOutcome {
    if found.digest == entry.digest {
        ChangeOutcome::Repeat(found)
    } else {
        ChangeOutcome::Mismatch(found.request)
    }
}
