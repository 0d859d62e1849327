//! Journal segments and their names in the object store.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use dotterel_kernel::{Gap, Incarnation, Millis, NodeId, Record};
use serde::{Deserialize, Serialize};

/// The prefix of all segment names.
pub(super) const ROOT: &str = "journal/";

/// The latest states of the records that changed within a time range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The node that wrote the segment.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The sequence number; a record in a later segment replaces the one in an earlier segment.
    pub seq: u64,
    /// Start of the time range.
    pub since: Millis,
    /// End of the time range.
    pub until: Millis,
    /// What this incarnation could not ship, up to this segment.
    pub gaps: Vec<Gap>,
    /// The records, sorted by request.
    pub records: Vec<Record>,
}

impl Segment {
    /// Returns the segment's name in the object store.
    #[must_use]
    pub fn name(&self) -> CompactString {
        name(&self.node, self.incarnation, self.seq)
    }

    /// Encodes the segment.
    ///
    /// # Panics
    ///
    /// Never panics in practice, because a segment of plain values can always be encoded.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("a segment of plain values can be encoded")
            .into()
    }

    /// Decodes a segment; returns `None` if the bytes are not a valid segment.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

/// Returns the name of a segment.
pub(super) fn name(node: &NodeId, incarnation: Incarnation, seq: u64) -> CompactString {
    let prefix = incarnation_prefix(node, incarnation);
    format_compact!("{prefix}{seq:012}")
}

/// Returns the prefix of the segment names of one incarnation.
pub(super) fn incarnation_prefix(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{ROOT}{node}/{:020}/", incarnation.0)
}

/// Returns the prefix of all segment names of a node.
pub(super) fn node_prefix(node: &NodeId) -> CompactString {
    format_compact!("{ROOT}{node}/")
}

/// Returns a name that sorts after all segments of one incarnation.
pub(super) fn incarnation_end(node: &NodeId, incarnation: Incarnation) -> CompactString {
    format_compact!("{}~", incarnation_prefix(node, incarnation))
}

/// Parses the incarnation from a segment's name.
pub(super) fn parse_incarnation(prefix: &str, name: &str) -> Option<Incarnation> {
    let (incarnation, _) = name.strip_prefix(prefix)?.split_once('/')?;
    incarnation.parse().ok().map(Incarnation)
}

/// Returns a name that sorts after all segments of a node.
pub(super) fn node_end(node: &NodeId) -> CompactString {
    format_compact!("{}~", node_prefix(node))
}

/// Parses the node from a segment's name.
pub(super) fn parse_node(name: &str) -> Option<NodeId> {
    let (node, _) = name.strip_prefix(ROOT)?.split_once('/')?;
    Some(node.into())
}
