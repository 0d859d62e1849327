//! Holds capacity for several tasks at once.

use dotterel_kernel::{Millis, PendingTask, TaskId, VmId};

use super::state::State;
use super::{Slot, Workers};

/// A request for capacity for several tasks of one job.
#[derive(Clone, Debug)]
pub struct ReserveRequest {
    /// The task to place, once for each slot.
    pub task: PendingTask,
    /// Maximum number of slots.
    pub count: u32,
    /// VMs that are used last, or not at all if `distinct_vms` is set.
    pub avoid: Vec<VmId>,
    /// Whether each slot must be on a different VM, and on none of `avoid`.
    pub distinct_vms: bool,
}

impl Workers {
    /// Holds as many slots as there is capacity for, up to the requested count.
    #[must_use]
    pub fn reserve(&self, request: &ReserveRequest) -> Vec<Slot> {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let mut excluded = request.avoid.clone();
        let mut slots = state.place_tasks(self, request, &mut excluded, now);
        if !request.distinct_vms {
            let remaining = request.count - u32::try_from(slots.len()).unwrap_or(request.count);
            let rest = ReserveRequest {
                count: remaining,
                ..request.clone()
            };
            slots.extend(state.place_tasks(self, &rest, &mut Vec::new(), now));
        }
        slots
    }
}

impl State {
    /// Places tasks in sequence on VMs that aren't excluded.
    fn place_tasks(
        &mut self,
        workers: &Workers,
        request: &ReserveRequest,
        excluded: &mut Vec<VmId>,
        now: Millis,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        while slots.len() < request.count as usize {
            self.exclude(excluded);
            let placed = self.scheduler.place_gang(&request.task, 1, now);
            for vm in excluded.iter() {
                self.apply(vm, now);
            }
            let Some(placement) = placed.and_then(|mut gang| gang.pop()) else {
                break;
            };
            let task = TaskId::generate();
            let Some(context) = self.add_task(task, &placement, now) else {
                break;
            };
            if request.distinct_vms {
                excluded.push(placement.id.clone());
            }
            slots.push(workers.slot(task, placement, context));
        }
        slots
    }

    /// Stops placements on the VMs until the next [`apply`](Self::apply).
    fn exclude(&mut self, vms: &[VmId]) {
        for vm in vms {
            if let Some((entry, scheduler)) = self.entry(vm)
                && let Some(lease) = &entry.lease
            {
                scheduler.fleet_mut().set_accepting(lease.key, false);
            }
        }
    }
}
