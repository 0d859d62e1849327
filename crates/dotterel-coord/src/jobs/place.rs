//! Holds capacity for all tasks of a gang or for none.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{DataCentre, JobId, Millis, NodeId, Service, Size, VmId};
use uuid::Uuid;

use super::host::{CapacityProvider, HeldVms, HoldId, HoldRequest};

/// What is to be placed.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub(super) id: Uuid,
    pub(super) job: JobId,
    pub(super) service: Service,
    pub(super) class: CompactString,
    pub(super) origin: DataCentre,
    /// The numbers of the tasks.
    pub(super) indices: Vec<u32>,
    pub(super) size: Size,
    pub(super) avoid: Vec<VmId>,
    /// All of the tasks or none.
    pub(super) whole: bool,
    /// On as many VMs as possible.
    pub(super) spread: bool,
    pub(super) ttl: Millis,
}

/// Capacity held for tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// The number, the VM and the hold of each task.
    pub(super) spots: Vec<(u32, VmId, HoldId)>,
    /// The holds and who keeps them.
    pub(super) holds: Vec<(HoldId, NodeId)>,
}

type Owners = Vec<Arc<dyn CapacityProvider>>;

/// Asks the owners in the order of their names; none when there is not enough room.
///
/// A hold that is not used is given back at once.
pub(super) async fn place(mut owners: Owners, need: &Need) -> Option<Plan> {
    owners.sort_by(|a, b| a.node().cmp(b.node()));
    let mut plan = Plan::default();
    if need.spread {
        hold(&owners, need, true, &mut plan).await;
    }
    hold(&owners, need, false, &mut plan).await;
    let enough = match need.whole {
        true => plan.spots.len() == need.indices.len(),
        false => !plan.spots.is_empty(),
    };
    if enough {
        return Some(plan);
    }
    release(&owners, &plan.holds).await;
    None
}

/// Asks each owner once for what is not held yet.
async fn hold(owners: &Owners, need: &Need, distinct_vms: bool, plan: &mut Plan) {
    for owner in owners {
        let left = &need.indices[plan.spots.len()..];
        if left.is_empty() {
            return;
        }
        let ask = ask(need, left.len(), distinct_vms, plan);
        match owner.hold(&ask).await {
            Ok(held) => plan.take(left, &held, ask.id, owner.node()),
            // A hold whose answer was lost is given back rather than left to lapse.
            Err(_) => owner.release(ask.id).await,
        }
    }
}

/// Makes all holds last; false when one has lapsed, after which all are given back.
pub(super) async fn commit(owners: &Owners, holds: &[(HoldId, NodeId)]) -> bool {
    for (hold, node) in holds {
        let kept = match owners.iter().find(|owner| owner.node() == node) {
            Some(owner) => owner.commit(*hold).await,
            None => false,
        };
        if !kept {
            release(owners, holds).await;
            return false;
        }
    }
    true
}

/// Gives holds back.
pub(super) async fn release(owners: &Owners, holds: &[(HoldId, NodeId)]) {
    for (hold, node) in holds {
        if let Some(owner) = owners.iter().find(|owner| owner.node() == node) {
            owner.release(*hold).await;
        }
    }
}

fn ask(need: &Need, left: usize, distinct_vms: bool, plan: &Plan) -> HoldRequest {
    let mut avoid = need.avoid.clone();
    avoid.extend(plan.spots.iter().map(|spot| spot.1.clone()));
    HoldRequest {
        id: HoldId(Uuid::now_v7()),
        job: need.job,
        service: need.service.clone(),
        class: need.class.clone(),
        origin: need.origin.clone(),
        count: u32::try_from(left).unwrap_or(u32::MAX),
        size: need.size,
        avoid,
        distinct_vms,
        ttl: need.ttl,
    }
}

impl Plan {
    fn take(&mut self, indices: &[u32], held: &HeldVms, hold: HoldId, node: &NodeId) {
        let pairs = indices.iter().zip(&held.vms);
        self.spots
            .extend(pairs.map(|(index, vm)| (*index, vm.clone(), hold)));
        self.holds.push((hold, node.clone()));
    }
}
