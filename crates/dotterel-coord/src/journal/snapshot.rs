//! Snapshots of the journal of one node incarnation.
//!
//! A node periodically writes a snapshot of its shipped segments, so that a reader of a long
//! journal needs only the snapshot and the segments after it. If a delayed write replaces a
//! snapshot with an older one, that one is still valid, and the reader reads more segments.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Gap, Incarnation, Millis, NodeId, Record, RequestId};
use serde::{Deserialize, Serialize};

use super::segment::Segment;
use super::tally::Tally;

/// The prefix of all snapshot names.
const ROOT: &str = "journal-sums/";

/// The state that results from the segments of one incarnation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// The sequence number of the first segment that is not included.
    pub(super) next_seq: u64,
    /// The time up to which the snapshot is complete.
    pub(super) until: Millis,
    /// Counts of hours before this time have been removed; zero if none have.
    pub(super) pruned_before: Millis,
    /// Whether the node stopped cleanly and left nothing unshipped.
    pub(super) finished: bool,
    /// What the node could not ship.
    pub(super) gaps: Vec<Gap>,
    /// The open requests, sorted.
    open: Vec<Record>,
    pub(super) tally: Tally,
    /// The value of `next_seq` when the last snapshot was due.
    last_written: u64,
}

impl Snapshot {
    /// Adds a shipped segment.
    pub(super) fn add_segment(&mut self, segment: &Segment) {
        for record in &segment.records {
            self.add_record(record);
        }
        self.next_seq = segment.seq + 1;
        self.until = self.until.max(segment.until);
        self.gaps.clone_from(&segment.gaps);
    }

    /// Adds the latest state of a record.
    pub(super) fn add_record(&mut self, record: &Record) {
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

    /// Returns true, once per `interval` segments, when a snapshot is due.
    pub(super) fn is_due(&mut self, interval: u64) -> bool {
        let due = self.next_seq >= self.last_written + interval;
        if due {
            self.last_written = self.next_seq;
        }
        due
    }

    /// Removes and returns the open records.
    pub(super) fn take_open(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.open)
    }

    /// Removes the hours that began before `time`.
    pub(super) fn prune(&mut self, time: Millis) {
        if self.tally.prune(time) {
            self.pruned_before = self.pruned_before.max(time);
        }
    }

    /// Encodes the snapshot.
    pub(super) fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a snapshot of plain values can be encoded")
            .into()
    }

    /// Decodes a snapshot; returns `None` if the bytes are not a valid snapshot.
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }

    fn position(&self, request: RequestId) -> Result<usize, usize> {
        self.open
            .binary_search_by_key(&request, |known| known.request)
    }
}

/// Returns the name of an incarnation's snapshot.
pub(super) fn name(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{ROOT}{node}/{:020}", incarnation.0)
}
