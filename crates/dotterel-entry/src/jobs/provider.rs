//! The owners of VMs, as an engine reaches them.

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
    fn own(&self) -> bool {
        self.node == *self.app.node()
    }

    async fn call(&self, call: &Call) -> Option<Reply> {
        let reply = self.app.mesh.call(&self.node, call, CALL_TIMEOUT).await;
        reply.ok()
    }

    /// Returns true when the class lets its work run at this node.
    fn within_reach(&self, ask: &HoldRequest) -> bool {
        let accepted = self.app.feed.in_force(&ask.service);
        let class = accepted
            .as_ref()
            .and_then(|it| it.document.class(&ask.class));
        match class.map_or(Spill::Region, |class| class.spill) {
            Spill::DataCentre => self.data_centre == ask.origin,
            Spill::Region => self.app.region_of(&ask.origin).as_ref() == Some(&self.region),
            Spill::Anywhere => true,
        }
    }
}

#[async_trait]
impl CapacityProvider for NodeProvider {
    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn hold(&self, ask: &HoldRequest) -> Result<HeldVms, HoldError> {
        if !self.within_reach(ask) {
            return Err(HoldError::Full);
        }
        self.routes.add(ask.id, self.node.clone());
        if self.own() {
            return owner::hold(&self.app, ask);
        }
        match self.call(&Call::Hold(ask.clone())).await {
            Some(Reply::Held(held)) => held,
            Some(_) | None => Err(HoldError::Unreachable),
        }
    }

    async fn commit(&self, hold: HoldId) -> bool {
        if self.own() {
            return self.app.holds.commit(hold, self.app.clock.now());
        }
        matches!(
            self.call(&Call::CommitHold(hold)).await,
            Some(Reply::Committed(true))
        )
    }

    async fn release(&self, hold: HoldId) {
        if self.own() {
            return self.app.holds.release(hold);
        }
        // A hold that is not released lapses.
        drop(self.call(&Call::ReleaseHold(hold)).await);
    }
}
