//! One life's journal, summed up.
//!
//! A node writes the sum of its shipped segments now and then, so that a reader of a long life reads
//! that and the segments after it. A sum that an older one has replaced, because a write arrived
//! late, is still true: the reader then reads more segments.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Gap, Incarnation, Millis, NodeId, Record, RequestId};
use serde::{Deserialize, Serialize};

use super::segment::Segment;
use super::tally::Tally;

/// What the names of all sums start with.
const ROOT: &str = "journal-sums/";

/// What the segments of one life come to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Life {
    /// The number of the first segment that is not counted in.
    pub(super) next: u64,
    /// Up to when it is complete.
    pub(super) until: Millis,
    /// Hours before this time were counted once and are no longer; zero when all still are.
    pub(super) counted: Millis,
    /// True when the node ended in order and left nothing unshipped.
    pub(super) ended: bool,
    /// What the node could not ship.
    pub(super) gaps: Vec<Gap>,
    /// The open requests, sorted.
    open: Vec<Record>,
    pub(super) tally: Tally,
    /// The number of the first segment that the last written sum did not count.
    written: u64,
}

impl Life {
    /// Counts a shipped segment in.
    pub(super) fn include(&mut self, segment: &Segment) {
        for record in &segment.records {
            self.advance(record);
        }
        self.next = segment.seq + 1;
        self.until = self.until.max(segment.until);
        self.gaps.clone_from(&segment.gaps);
    }

    /// Counts the latest state of a record in.
    pub(super) fn advance(&mut self, record: &Record) {
        match self.position(record.request) {
            Ok(index) => {
                self.tally.count(Some(&self.open[index]), record);
                if record.fate.is_some() {
                    self.open.remove(index);
                } else {
                    self.open[index] = record.clone();
                }
            }
            Err(index) => {
                self.tally.count(None, record);
                if record.fate.is_none() {
                    self.open.insert(index, record.clone());
                }
            }
        }
    }

    /// Returns true once every so many segments.
    pub(super) fn is_due(&mut self, period: u64) -> bool {
        let due = self.next >= self.written + period;
        if due {
            self.written = self.next;
        }
        due
    }

    /// Takes the open records out.
    pub(super) fn take_open(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.open)
    }

    /// Forgets hours that began before `time`.
    pub(super) fn forget(&mut self, time: Millis) {
        if self.tally.forget(time) {
            self.counted = self.counted.max(time);
        }
    }

    /// Encodes the sum.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a sum of plain values can be encoded")
            .into()
    }

    /// Decodes a sum; none when the bytes are not one.
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.open
            .binary_search_by_key(&request, |known| known.request)
    }
}

/// Returns the name of a life's sum.
pub(super) fn name(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{ROOT}{node}/{:020}", incarnation.0)
}
