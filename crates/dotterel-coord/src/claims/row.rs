//! The content of a shard's row.

use bytes::Bytes;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry, WriteId};
use super::page::PageRef;

/// How many pages a row must list to hold one more entry.
const PAGES_PER_ENTRY: usize = 4;

/// The entries that a row may always hold, unless fewer are configured.
const LEAST_ENTRIES: usize = 16;

/// The latest entries of a shard, sorted by key, and the list of its pages.
///
/// An entry in the row stands above one of the same key in a page, and a newer page above an older
/// one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ShardRow {
    entries: Vec<Entry>,
    /// Claims that were withdrawn while they stood in a page or a peer might still write them,
    /// sorted by mark.
    barred: Vec<Barred>,
    /// The pages, the oldest first.
    pub(super) pages: Vec<PageRef>,
    /// The number of the next page.
    next: u64,
}

/// A claim that does not count, wherever it stands or is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Barred {
    id: WriteId,
    until: Millis,
}

impl ShardRow {
    /// Decodes a row; none when the bytes are not a shard.
    pub(super) fn decode(value: &Bytes) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    /// Encodes the row.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a row of plain values has an encoding")
            .into()
    }

    /// Returns the number of entries in the row itself.
    pub(super) const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many entries the row may hold before they are moved to a page.
    ///
    /// Every write carries the whole row, so a row with few pages holds few entries; with more
    /// pages it holds more, up to `most`, so that the list of pages stays short as well.
    pub(super) fn room(&self, most: usize) -> usize {
        (self.pages.len() / PAGES_PER_ENTRY)
            .max(LEAST_ENTRIES)
            .min(most)
    }

    /// Returns the entry of a key in the row itself.
    pub(super) fn find(&self, key: &ClaimKey) -> Option<&Entry> {
        let index = position(&self.entries, key).ok()?;
        self.entries.get(index)
    }

    /// Writes the entry of a key.
    pub(super) fn put(&mut self, entry: Entry) {
        match position(&self.entries, &entry.key) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Removes the entry of a key from the row itself.
    pub(super) fn remove(&mut self, key: &ClaimKey) {
        if let Ok(index) = position(&self.entries, key) {
            self.entries.remove(index);
        }
    }

    /// Makes a claim count no more until a time.
    pub(super) fn bar(&mut self, id: WriteId, until: Millis) {
        match self.barred.binary_search_by_key(&id, |barred| barred.id) {
            Ok(index) => self.barred[index].until = self.barred[index].until.max(until),
            Err(index) => self.barred.insert(index, Barred { id, until }),
        }
    }

    /// Returns true for a claim that does not count.
    pub(super) fn bars(&self, id: WriteId) -> bool {
        let found = self.barred.binary_search_by_key(&id, |barred| barred.id);
        found.is_ok()
    }

    /// Removes what ended before `time`.
    pub(super) fn expire(&mut self, time: Millis) {
        self.barred.retain(|barred| barred.until >= time);
        self.entries.retain(|entry| entry.expires >= time);
        self.pages.retain(|page| page.expires >= time);
    }

    /// Moves all entries to a new page.
    pub(super) fn seal(&mut self) -> (PageRef, Vec<Entry>) {
        let entries = std::mem::take(&mut self.entries);
        let page = PageRef {
            number: self.next,
            expires: latest(&entries),
        };
        self.next += 1;
        self.pages.push(page);
        (page, entries)
    }
}

/// Returns the place of a key in a list sorted by key.
pub(super) fn position(entries: &[Entry], key: &ClaimKey) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.key.cmp(key))
}

fn latest(entries: &[Entry]) -> Millis {
    let ends = entries.iter().map(|entry| entry.expires);
    ends.max().unwrap_or_default()
}
