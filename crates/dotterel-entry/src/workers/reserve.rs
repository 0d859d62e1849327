//! Sets capacity apart for several tasks at once.

use dotterel_kernel::{Millis, PendingTask, TaskId, VmId};

use super::state::State;
use super::{Slot, Workers};

/// A request for capacity for several tasks of one job.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// What each task asks for.
    pub waiting: PendingTask,
    /// The most tasks to find room for.
    pub count: u32,
    /// VMs to be used last, or not at all.
    pub avoid: Vec<VmId>,
    /// Whether each task must have a VM of its own, and none that is to be avoided.
    pub apart: bool,
}

impl Workers {
    /// Sets capacity apart for as many tasks as there is room for.
    #[must_use]
    pub fn reserve(&self, ask: &Reserve) -> Vec<Slot> {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let mut closed = ask.avoid.clone();
        let mut slots = state.fill(self, ask, &mut closed, now);
        if !ask.apart {
            let left = ask.count - u32::try_from(slots.len()).unwrap_or(ask.count);
            let rest = Reserve {
                count: left,
                ..ask.clone()
            };
            slots.extend(state.fill(self, &rest, &mut Vec::new(), now));
        }
        slots
    }
}

impl State {
    /// Places tasks one after another on VMs that are not closed.
    fn fill(
        &mut self,
        workers: &Workers,
        ask: &Reserve,
        closed: &mut Vec<VmId>,
        now: Millis,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        while slots.len() < ask.count as usize {
            self.close(closed);
            let placed = self.scheduler.place_gang(&ask.waiting, 1, now);
            for vm in closed.iter() {
                self.apply(vm, now);
            }
            let Some(placement) = placed.and_then(|mut gang| gang.pop()) else {
                break;
            };
            let task = TaskId::generate();
            let Some(begun) = self.begin(task, &placement, now) else {
                break;
            };
            if ask.apart {
                closed.push(placement.id.clone());
            }
            slots.push(workers.slot(task, placement, begun));
        }
        slots
    }

    fn close(&mut self, vms: &[VmId]) {
        for vm in vms {
            if let Some((owned, scheduler)) = self.owned(vm)
                && let Some(lease) = &owned.lease
            {
                scheduler.fleet_mut().set_accepting(lease.key, false);
            }
        }
    }
}
