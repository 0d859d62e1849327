//! Forwards changes of claims to the nodes that write their shards.

use std::sync::Arc;

use async_trait::async_trait;
use compact_str::format_compact;
use dotterel_coord::claims::{self, Change, ChangeOutcome};
use dotterel_kernel::{Clock, Millis, NodeId};
use dotterel_mesh::{Mesh, MeshError};
use dotterel_platform::CallError;

use super::Peers;
use crate::messages::{Call, Messages, Reply};

/// The timeout of the mesh call, longer than the `peer_timeout` of the claims, which ends the wait.
const FORWARD_TIMEOUT: Millis = Millis(2_000);

/// Selects the writer of each claim shard, the live node with the highest rendezvous rank, and
/// forwards changes to it over the mesh.
pub struct ClaimWriters {
    mesh: Mesh<Messages>,
    peers: Arc<Peers>,
    clock: Clock,
}

impl ClaimWriters {
    /// Returns a forwarder that uses a mesh.
    #[must_use]
    pub const fn new(mesh: Mesh<Messages>, peers: Arc<Peers>, clock: Clock) -> Self {
        Self { mesh, peers, clock }
    }
}

#[async_trait]
impl claims::Peers for ClaimWriters {
    fn writer(&self, shard: u32) -> Option<NodeId> {
        let key = format_compact!("claims/{shard}");
        self.peers.highest_ranked(&key, self.clock.now())
    }

    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError> {
        let call = Call::ChangeClaim(change.clone());
        match self.mesh.call(to, &call, FORWARD_TIMEOUT).await {
            Ok(Reply::ClaimChanged(outcome)) => Ok(outcome),
            Ok(_) => Err(CallError::Unavailable("not served".into())),
            Err(MeshError::NotSent(cause)) => Err(CallError::NotSent(cause)),
            Err(MeshError::Unknown(cause)) => Err(CallError::Unknown(cause)),
        }
    }
}
