//! The way to the nodes that usually write the shards of claims.

use std::sync::Arc;

use async_trait::async_trait;
use compact_str::format_compact;
use dotterel_coord::claims::{self, Change, Verdict};
use dotterel_kernel::{Clock, Millis, NodeId};
use dotterel_mesh::{Mesh, MeshError};
use dotterel_platform::CallError;

use super::Peers;
use crate::messages::{Call, Messages, Reply};

/// The longest that a forwarded change may take; the claims themselves wait less.
const FORWARD_TIMEOUT: Millis = Millis(2_000);

/// The nodes that usually write the shards: for each, the live node that ranks highest.
pub struct ClaimWriters {
    mesh: Mesh<Messages>,
    peers: Arc<Peers>,
    clock: Clock,
}

impl ClaimWriters {
    /// Returns the way over a mesh.
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

    async fn forward(&self, to: &NodeId, change: &Change) -> Result<Verdict, CallError> {
        let call = Call::Change(change.clone());
        match self.mesh.call(to, &call, FORWARD_TIMEOUT).await {
            Ok(Reply::Changed(verdict)) => Ok(verdict),
            Ok(_) => Err(CallError::Unavailable("not served".into())),
            Err(MeshError::NotSent(cause)) => Err(CallError::NotSent(cause)),
            Err(MeshError::Unknown(cause)) => Err(CallError::Unknown(cause)),
        }
    }
}
