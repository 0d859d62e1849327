//! The contents of a shard's row.

use bytes::Bytes;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry, WriteId};
use super::page::PageRef;

/// How many pages raise a row's capacity by one entry.
const PAGES_PER_ENTRY: usize = 4;

/// The capacity of a row with few pages, unless a lower limit is configured.
const MIN_ENTRIES: usize = 16;

/// The latest entries of a shard, sorted by key, and the list of its pages.
///
/// For the same key, an entry in the row takes precedence over one in a page, and a newer page over
/// an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ShardRow {
    entries: Vec<Entry>,
    /// Claims that were withdrawn while they were in a page or might still be written by a peer,
    /// sorted by id.
    tombstones: Vec<Tombstone>,
    /// The pages, the oldest first.
    pub(super) pages: Vec<PageRef>,
    /// The number of the next page.
    next_page: u64,
}

/// Marks a claim as withdrawn, even if its entry is in a page or is written later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Tombstone {
    id: WriteId,
    until: Millis,
}

impl ShardRow {
    /// Decodes a row; returns `None` if the bytes are not a valid row.
    pub(super) fn decode(value: &Bytes) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    /// Encodes the row.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a row of plain values can be encoded")
            .into()
    }

    /// Returns the number of entries in the row, without those in pages.
    pub(super) const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many entries the row may hold before they are moved to a page.
    ///
    /// Every write contains the whole row, so a row with few pages holds few entries. With more
    /// pages it holds more, up to `limit`, to keep the list of pages short as well.
    pub(super) fn capacity(&self, limit: usize) -> usize {
        (self.pages.len() / PAGES_PER_ENTRY)
            .max(MIN_ENTRIES)
            .min(limit)
    }

    /// Returns the entry for a key in the row, ignoring pages.
    pub(super) fn find(&self, key: &ClaimKey) -> Option<&Entry> {
        let index = position(&self.entries, key).ok()?;
        self.entries.get(index)
    }

    /// Inserts or replaces the entry for its key.
    pub(super) fn put(&mut self, entry: Entry) {
        match position(&self.entries, &entry.key) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Removes the entry for a key from the row, ignoring pages.
    pub(super) fn remove(&mut self, key: &ClaimKey) {
        if let Ok(index) = position(&self.entries, key) {
            self.entries.remove(index);
        }
    }

    /// Marks a claim as withdrawn until the given time.
    pub(super) fn add_tombstone(&mut self, id: WriteId, until: Millis) {
        match self
            .tombstones
            .binary_search_by_key(&id, |tombstone| tombstone.id)
        {
            Ok(index) => self.tombstones[index].until = self.tombstones[index].until.max(until),
            Err(index) => self.tombstones.insert(index, Tombstone { id, until }),
        }
    }

    /// Returns true if the claim is marked as withdrawn.
    pub(super) fn has_tombstone(&self, id: WriteId) -> bool {
        let found = self
            .tombstones
            .binary_search_by_key(&id, |tombstone| tombstone.id);
        found.is_ok()
    }

    /// Removes the entries, tombstones and pages that expired before `time`.
    pub(super) fn expire(&mut self, time: Millis) {
        self.tombstones.retain(|tombstone| tombstone.until >= time);
        self.entries.retain(|entry| entry.expires >= time);
        self.pages.retain(|page| page.expires >= time);
    }

    /// Moves all entries to a new page.
    pub(super) fn seal(&mut self) -> (PageRef, Vec<Entry>) {
        let entries = std::mem::take(&mut self.entries);
        let page = PageRef {
            number: self.next_page,
            expires: last_expiry(&entries),
        };
        self.next_page += 1;
        self.pages.push(page);
        (page, entries)
    }
}

/// Searches for a key in a list sorted by key; `Err` holds the insertion index.
pub(super) fn position(entries: &[Entry], key: &ClaimKey) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.key.cmp(key))
}

fn last_expiry(entries: &[Entry]) -> Millis {
    let expiries = entries.iter().map(|entry| entry.expires);
    expiries.max().unwrap_or_default()
}
