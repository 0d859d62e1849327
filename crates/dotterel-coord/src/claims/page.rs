//! Pages of older entries, written once and deleted when all their windows have ended.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::Millis;
use dotterel_platform::Version;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry};

/// A reference to a page, stored in the shard's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageRef {
    /// The page number, never reused in the shard.
    pub(super) number: u64,
    /// When the last window of its entries ends.
    pub(super) expires: Millis,
}

/// The in-memory index of a page.
#[derive(Clone, Debug)]
pub(super) struct PageIndex {
    pub(super) number: u64,
    /// The version of the page's row, needed to delete it.
    pub(super) version: Version,
    /// The hashes of the page's keys, sorted.
    hashes: Vec<u64>,
}

impl PageIndex {
    pub(super) fn new(number: u64, version: Version, entries: &[Entry]) -> Self {
        let mut hashes: Vec<u64> = entries.iter().map(|entry| entry.key.hash()).collect();
        hashes.sort_unstable();
        Self {
            number,
            version,
            hashes,
        }
    }

    /// Returns true if the page may contain an entry for the key.
    pub(super) fn may_hold(&self, key: &ClaimKey) -> bool {
        self.hashes.binary_search(&key.hash()).is_ok()
    }
}

/// Returns the key of a page's row.
pub(super) fn key(shard: &str, number: u64) -> CompactString {
    format_compact!("{shard}/{number:010}")
}

/// Encodes the entries of a page.
pub(super) fn encode(entries: &[Entry]) -> Bytes {
    postcard::to_stdvec(entries)
        .expect("a page of plain values can be encoded")
        .into()
}

/// Decodes the entries of a page; returns `None` if the bytes are not a valid page.
pub(super) fn decode(value: &Bytes) -> Option<Vec<Entry>> {
    postcard::from_bytes(value).ok()
}
