//! The content of a shard's row.

use bytes::Bytes;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry, State, WriteId};
use super::outcome::RecordedOutcome;

/// The entries of a shard, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ShardRow {
    entries: Vec<Entry>,
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

    /// Returns the number of entries.
    pub(super) const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entry of a key.
    pub(super) fn find(&self, key: &ClaimKey) -> Option<&Entry> {
        let index = self.position(key).ok()?;
        self.entries.get(index)
    }

    /// Adds an entry whose key has none.
    pub(super) fn insert(&mut self, entry: Entry) {
        if let Err(index) = self.position(&entry.key) {
            self.entries.insert(index, entry);
        }
    }

    /// Records an outcome; returns false when nothing changed.
    pub(super) fn settle(
        &mut self,
        key: &ClaimKey,
        id: WriteId,
        outcome: &RecordedOutcome,
    ) -> bool {
        let Some(index) = self.own(key, id) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if entry.state != State::Claimed {
            return false;
        }
        entry.state = State::Done(outcome.clone());
        true
    }

    /// Removes an entry that is still claimed; returns false when nothing changed.
    pub(super) fn withdraw(&mut self, key: &ClaimKey, id: WriteId) -> bool {
        let Some(index) = self.own(key, id) else {
            return false;
        };
        if self.entries[index].state != State::Claimed {
            return false;
        }
        self.entries.remove(index);
        true
    }

    /// Removes the entries whose window ended before `time`.
    pub(super) fn expire(&mut self, time: Millis) {
        self.entries.retain(|entry| entry.expires >= time);
    }

    fn own(&self, key: &ClaimKey, id: WriteId) -> Option<usize> {
        let index = self.position(key).ok()?;
        (self.entries[index].id == id).then_some(index)
    }

    fn position(&self, key: &ClaimKey) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.cmp(key))
    }
}
