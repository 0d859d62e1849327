//! What a node says of itself.

use compact_str::CompactString;
use dotterel_kernel::{DataCentre, Incarnation, Millis, NodeId, Region, Revision, Service, Size};
use serde::{Deserialize, Serialize};

/// What a node tells its peers of itself, several times within their patience.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// The IP address and port at which peers reach it.
    pub addr: CompactString,
    /// When it was made, by the node's own clock.
    pub at: Millis,
    /// True when the node takes no new work and no new VM.
    pub stopping: bool,
    /// What is free on the VMs that the node owns.
    pub spare: Size,
    /// The documents in force there, sorted by service.
    pub documents: Vec<(Service, Revision)>,
}

impl Heartbeat {
    /// Returns what orders the heartbeats of one node.
    pub(super) const fn order(&self) -> (Incarnation, Millis) {
        (self.incarnation, self.at)
    }
}
