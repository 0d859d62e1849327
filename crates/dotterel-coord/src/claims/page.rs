//! Pages of older entries, written once and deleted when all their windows are over.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::Millis;
use dotterel_platform::Version;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry};

/// A page as the shard's row names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PageRef {
    /// Its number, never used again in the shard.
    pub(super) number: u64,
    /// When the last of its windows ends.
    pub(super) expires: Millis,
}

/// What a node keeps of a page in memory.
#[derive(Clone, Debug)]
pub(super) struct Indexed {
    pub(super) number: u64,
    /// The version of its row, for the deletion.
    pub(super) version: Version,
    /// The hashes of its keys, sorted.
    hashes: Vec<u64>,
}

impl Indexed {
    pub(super) fn new(number: u64, version: Version, entries: &[Entry]) -> Self {
        let mut hashes: Vec<u64> = entries.iter().map(|entry| entry.key.hash()).collect();
        hashes.sort_unstable();
        Self {
            number,
            version,
            hashes,
        }
    }

    /// Returns true when the page may hold an entry of the key.
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
        .expect("a page of plain values has an encoding")
        .into()
}

/// Decodes the entries of a page; none when the bytes are not a page.
pub(super) fn decode(value: &Bytes) -> Option<Vec<Entry>> {
    postcard::from_bytes(value).ok()
}
