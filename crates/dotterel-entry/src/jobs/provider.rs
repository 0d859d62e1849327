//! Holds capacity on the nodes that own VMs.

use std::sync::Arc;

use async_trait::async_trait;
use dotterel_coord::jobs::{CapacityProvider, HeldVms, HoldError, HoldId, HoldRequest};
use dotterel_kernel::{DataCentre, Millis, NodeId, Region, Spill};

use super::host::Routes;
use super::owner;
use crate::app::App;
use crate::messages::{Call, Reply};

const CALL_TIMEOUT: Millis = Millis(1_000);

/// A node that owns VMs: this one or a peer.
pub(super) struct NodeProvider {
    pub(super) app: Arc<App>,
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentre,
    pub(super) region: Region,
    pub(super) routes: Arc<Routes>,
}

impl NodeProvider {
    fn is_local(&self) -> bool {
        self.node == *self.app.node()
    }

    async fn call(&self, call: &Call) -> Option<Reply> {
        let reply = self.app.mesh.call(&self.node, call, CALL_TIMEOUT).await;
        reply.ok()
    }

    /// Returns true if the spill setting of the class allows its tasks on this node.
    fn allows_spill(&self, request: &HoldRequest) -> bool {
        let accepted = self.app.feed.active(&request.service);
        let class = accepted
            .as_ref()
            .and_then(|it| it.document.class(&request.class));
        match class.map_or(Spill::Region, |class| class.spill) {
            Spill::DataCentre => self.data_centre == request.origin,
            Spill::Region => self.app.region_of(&request.origin).as_ref() == Some(&self.region),
            Spill::Anywhere => true,
        }
    }
}

#[async_trait]
impl CapacityProvider for NodeProvider {
    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn hold(&self, request: &HoldRequest) -> Result<HeldVms, HoldError> {
        if !self.allows_spill(request) {
            return Err(HoldError::Full);
        }
        self.routes.add_hold(request.id, self.node.clone());
        if self.is_local() {
            return owner::hold(&self.app, request);
        }
        match self.call(&Call::Hold(request.clone())).await {
            Some(Reply::Held(held)) => held,
            Some(_) | None => Err(HoldError::Unreachable),
        }
    }

    async fn commit(&self, hold: HoldId) -> bool {
        if self.is_local() {
            return self.app.holds.commit(hold, self.app.clock.now());
        }
        matches!(
            self.call(&Call::CommitHold(hold)).await,
            Some(Reply::Committed(true))
        )
    }

    async fn release(&self, hold: HoldId) {
        if self.is_local() {
            return self.app.holds.release(hold);
        }
        // On failure the hold expires by itself.
        drop(self.call(&Call::ReleaseHold(hold)).await);
    }
}
