//! A segment of a journal as it stands in the object store.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Gap, Incarnation, Millis, NodeId, Record};
use serde::{Deserialize, Serialize};

/// The first part of every segment's name.
pub(super) const ROOT: &str = "journal/";

/// The latest state of the records that changed in a span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The node that wrote it.
    pub node: NodeId,
    /// The life of the node.
    pub incarnation: Incarnation,
    /// Its number; a record in a higher segment replaces the one in a lower segment.
    pub seq: u64,
    /// When the span began.
    pub since: Millis,
    /// When the span ended.
    pub until: Millis,
    /// What this life of the node could not ship, up to this segment.
    pub gaps: Vec<Gap>,
    /// The records, sorted by request.
    pub records: Vec<Record>,
}

impl Segment {
    /// Returns the name of the object.
    #[must_use]
    pub fn name(&self) -> CompactString {
        name(&self.node, self.incarnation, self.seq)
    }

    /// Encodes the segment.
    ///
    /// # Panics
    ///
    /// Never for a segment of plain values, which always has an encoding.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a segment of plain values can be encoded")
            .into()
    }

    /// Decodes a segment; none when the bytes are not one.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// Returns the name of a segment.
pub(super) fn name(node: &NodeId, incarnation: Incarnation, seq: u64) -> CompactString {
    let prefix = life_prefix(node, incarnation);
    format_compact!("{prefix}{seq:012}")
}

/// Returns what the names of one life's segments start with.
pub(super) fn life_prefix(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{ROOT}{node}/{:020}/", incarnation.0)
}

/// Returns what the names of all segments of a node start with.
pub(super) fn node_prefix(node: &NodeId) -> CompactString {
    format_compact!("{ROOT}{node}/")
}

/// Returns a name that sorts after all segments of one life.
pub(super) fn last_name(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{}~", life_prefix(node, incarnation))
}

/// Reads the life out of a segment's name.
pub(super) fn life_of(prefix: &str, name: &str) -> Option<Incarnation> {
    let (life, _) = name.strip_prefix(prefix)?.split_once('/')?;
    life.parse().ok().map(Incarnation)
}

/// Returns a name that sorts after all segments of a node.
pub(super) fn last_life(node: &NodeId) -> CompactString {
    format_compact!("{}~", node_prefix(node))
}

/// Reads the node out of a segment's name.
pub(super) fn node_of(name: &str) -> Option<NodeId> {
    let (node, _) = name.strip_prefix(ROOT)?.split_once('/')?;
    Some(node.into())
}
