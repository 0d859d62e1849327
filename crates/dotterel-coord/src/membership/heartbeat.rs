//! The heartbeat that nodes send each other.

use compact_str::CompactString;
use dotterel_kernel::{DataCentre, Incarnation, Millis, NodeId, Region, Revision, Service, Size};
use serde::{Deserialize, Serialize};

/// The state of a node, sent to its peers several times within their timeout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The node's data centre.
    pub data_centre: DataCentre,
    /// The node's region.
    pub region: Region,
    /// The IP address and port at which peers connect to the node.
    pub addr: CompactString,
    /// When the heartbeat was created, by the node's clock.
    pub at: Millis,
    /// Whether the node is stopping and accepts no new work or VMs.
    pub stopping: bool,
    /// The free capacity on the VMs that the node owns.
    pub spare: Size,
    /// The revisions of the node's active documents, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

impl Heartbeat {
    /// Returns the key by which heartbeats of one node are ordered.
    pub(super) const fn order(&self) -> (Incarnation, Millis) {
        (self.incarnation, self.at)
    }
}
