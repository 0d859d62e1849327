//! Reserves capacity for tasks, for all tasks of a gang or none.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{DataCentre, JobId, Millis, NodeId, Service, Size, VmId};
use uuid::Uuid;

use super::host::{CapacityProvider, HeldVms, HoldId, HoldRequest};

/// A request to place tasks of a job.
#[derive(Clone, Debug)]
pub(super) struct PlacementRequest {
    pub(super) id: Uuid,
    pub(super) job: JobId,
    pub(super) service: Service,
    pub(super) class: CompactString,
    pub(super) origin: DataCentre,
    /// The indices of the tasks.
    pub(super) indices: Vec<u32>,
    pub(super) size: Size,
    pub(super) avoid: Vec<VmId>,
    /// Place all of the tasks or none.
    pub(super) all_or_none: bool,
    /// Place the tasks on as many different VMs as possible.
    pub(super) spread: bool,
    pub(super) ttl: Millis,
}

/// Capacity that is held for tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservation {
    /// The index, the VM and the hold of each task.
    pub(super) assignments: Vec<(u32, VmId, HoldId)>,
    /// The holds and the nodes that grant them.
    pub(super) holds: Vec<(HoldId, NodeId)>,
}

type Owners = Vec<Arc<dyn CapacityProvider>>;

/// Requests holds from the owners in the order of their names; `None` without enough capacity.
///
/// Holds that are not used are released at once.
pub(super) async fn place(mut owners: Owners, request: &PlacementRequest) -> Option<Reservation> {
    owners.sort_by(|a, b| a.node().cmp(b.node()));
    let mut reservation = Reservation::default();
    if request.spread {
        hold(&owners, request, true, &mut reservation).await;
    }
    hold(&owners, request, false, &mut reservation).await;
    let complete = match request.all_or_none {
        true => reservation.assignments.len() == request.indices.len(),
        false => !reservation.assignments.is_empty(),
    };
    if complete {
        return Some(reservation);
    }
    release(&owners, &reservation.holds).await;
    None
}

/// Requests capacity from each owner for the tasks that are not assigned yet.
async fn hold(
    owners: &Owners,
    request: &PlacementRequest,
    distinct_vms: bool,
    reservation: &mut Reservation,
) {
    for owner in owners {
        let remaining = &request.indices[reservation.assignments.len()..];
        if remaining.is_empty() {
            return;
        }
        let hold_request = hold_request(request, remaining.len(), distinct_vms, reservation);
        match owner.hold(&hold_request).await {
            Ok(held) => reservation.add(remaining, &held, hold_request.id, owner.node()),
            // The owner may hold capacity if the reply was lost: release it instead of waiting for
            // its expiry.
            Err(_) => owner.release(hold_request.id).await,
        }
    }
}

/// Commits all holds; if one has expired, releases them all and returns false.
pub(super) async fn commit(owners: &Owners, holds: &[(HoldId, NodeId)]) -> bool {
    for (hold, node) in holds {
        let committed = match owners.iter().find(|owner| owner.node() == node) {
            Some(owner) => owner.commit(*hold).await,
            None => false,
        };
        if !committed {
            release(owners, holds).await;
            return false;
        }
    }
    true
}

/// Releases holds.
pub(super) async fn release(owners: &Owners, holds: &[(HoldId, NodeId)]) {
    for (hold, node) in holds {
        if let Some(owner) = owners.iter().find(|owner| owner.node() == node) {
            owner.release(*hold).await;
        }
    }
}

fn hold_request(
    request: &PlacementRequest,
    remaining: usize,
    distinct_vms: bool,
    reservation: &Reservation,
) -> HoldRequest {
    let mut avoid = request.avoid.clone();
    avoid.extend(
        reservation
            .assignments
            .iter()
            .map(|assignment| assignment.1.clone()),
    );
    HoldRequest {
        id: HoldId(Uuid::now_v7()),
        job: request.job,
        service: request.service.clone(),
        class: request.class.clone(),
        origin: request.origin.clone(),
        count: u32::try_from(remaining).unwrap_or(u32::MAX),
        size: request.size,
        avoid,
        distinct_vms,
        ttl: request.ttl,
    }
}

impl Reservation {
    fn add(&mut self, indices: &[u32], held: &HeldVms, hold: HoldId, node: &NodeId) {
        let pairs = indices.iter().zip(&held.vms);
        self.assignments
            .extend(pairs.map(|(index, vm)| (*index, vm.clone(), hold)));
        self.holds.push((hold, node.clone()));
    }
}
