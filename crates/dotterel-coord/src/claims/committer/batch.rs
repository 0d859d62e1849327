//! How a batch of changes is judged against a shard.

use dotterel_kernel::Millis;

use super::op::Op;
use crate::claims::change::{Change, ChangeOutcome};
use crate::claims::entry::{ClaimKey, Entry, State, WriteId};
use crate::claims::page::Indexed;
use crate::claims::row::ShardRow;

/// What a batch is judged by.
pub(super) struct Rules {
    /// Windows that ended before this time are over on every node's clock.
    pub(super) horizon: Millis,
    /// Until when withdrawn claims are barred.
    pub(super) bar: Millis,
    /// The most pages of a shard.
    pub(super) pages: usize,
}

/// A batch applied to a shard.
pub(super) struct Judged {
    /// The row with the batch applied.
    pub(super) row: ShardRow,
    /// Whether the row must be written.
    pub(super) changed: bool,
    /// One verdict for each change of the batch, true once the row is durable.
    pub(super) verdicts: Vec<ChangeOutcome>,
}

/// The shard while a batch is applied.
struct Work<'a> {
    row: ShardRow,
    /// Entries of the batch's keys in pages, those of newer pages first.
    older: &'a [Entry],
    rules: &'a Rules,
    changed: bool,
}

impl Judged {
    /// Applies a batch to a row, given the entries of its keys in pages.
    pub(super) fn new(base: &ShardRow, older: &[Entry], batch: &[Op], rules: &Rules) -> Self {
        let mut work = Work {
            row: base.clone(),
            older,
            rules,
            changed: false,
        };
        work.row.expire(rules.horizon);
        let verdicts = batch.iter().map(|op| work.apply(&op.change)).collect();
        Self {
            row: work.row,
            changed: work.changed,
            verdicts,
        }
    }

    /// Returns true when the row still names the page.
    pub(super) fn lists(&self, page: &Indexed) -> bool {
        let mut listed = self.row.pages.iter();
        listed.any(|named| named.number == page.number)
    }
}

impl Work<'_> {
    fn apply(&mut self, change: &Change) -> ChangeOutcome {
        match change {
            Change::Claim { entry, .. } => self.claim(entry),
            Change::Settle { key, id, outcome } => {
                if let Some(entry) = self.own(key, *id) {
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
        if self.row.bars(entry.id) {
            return ChangeOutcome::Unavailable;
        }
        match self.find(&entry.key) {
            Some(found) if found.id == entry.id => own_verdict(found),
            Some(found) => taken(found.clone(), entry),
            None => self.win(entry),
        }
    }

    fn win(&mut self, entry: &Entry) -> ChangeOutcome {
        if self.row.pages.len() >= self.rules.pages {
            return ChangeOutcome::Unavailable;
        }
        self.put(entry.clone());
        ChangeOutcome::Won
    }

    fn withdraw(&mut self, entry: &Entry, tombstone: bool) {
        let own = self.own(&entry.key, entry.id).is_some();
        let paged = self.row.find(&entry.key).is_none();
        if own && !paged {
            self.row.remove(&entry.key);
        }
        if own && paged {
            self.row.bar(entry.id, entry.expires);
        }
        let marked = tombstone && !self.row.bars(entry.id);
        if marked {
            self.row.bar(entry.id, self.rules.bar);
        }
        self.changed |= own || marked;
    }

    /// Returns the entry of a claim that is neither settled nor withdrawn.
    fn own(&self, key: &ClaimKey, id: WriteId) -> Option<Entry> {
        let entry = self.find(key)?;
        let open = entry.id == id && entry.state == State::Claimed;
        open.then(|| entry.clone())
    }

    fn find(&self, key: &ClaimKey) -> Option<&Entry> {
        let counts = |entry: &&Entry| entry.key == *key && !self.row.bars(entry.id);
        let older = || self.older.iter().find(counts);
        let found = self.row.find(key).or_else(older)?;
        (found.expires >= self.rules.horizon).then_some(found)
    }

    fn put(&mut self, entry: Entry) {
        self.row.put(entry);
        self.changed = true;
    }
}

/// Returns what an unwritten claim gets from the last known row; none when that cannot tell.
pub(super) fn known(row: &ShardRow, op: &Op) -> Option<ChangeOutcome> {
    let Change::Claim { entry, .. } = &op.change else {
        return None;
    };
    let found = row.find(&entry.key)?;
    let other = !op.exposed && found.id != entry.id;
    other.then(|| taken(found.clone(), entry))
}

fn own_verdict(found: &Entry) -> ChangeOutcome {
    match found.state {
        State::Claimed => ChangeOutcome::Won,
        State::Done(_) => ChangeOutcome::Unavailable,
    }
}

fn taken(found: Entry, entry: &Entry) -> ChangeOutcome {
    if found.digest == entry.digest {
        ChangeOutcome::Repeat(found)
    } else {
        ChangeOutcome::Mismatch(found.request)
    }
}
