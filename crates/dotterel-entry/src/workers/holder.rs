//! What the keepers of worker leases report.

use dotterel_coord::{LeaseHandler, Permit, RenewalBatch};
use dotterel_kernel::{Millis, Scheduler, TaskId, Vm, VmId};
use dotterel_platform::{Grant, RunningTask, TaskState, VmReport};

use super::Workers;
use super::state::{Lease, Owned, Task};

/// Renewals in a row that do not list a task as running before it counts as ended.
const MISSED_LIMIT: u8 = 2;

impl LeaseHandler for Workers {
    fn granted(&self, grant: &Grant, permit: Option<Permit>) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((owned, scheduler)) = state.owned(&grant.vm) {
            lose(owned, scheduler);
            let data_centre = self.inner.data_centre.clone();
            let vm = Vm::new(grant.vm.clone(), data_centre, grant.capacity, grant.epoch);
            let key = scheduler.fleet_mut().insert(vm);
            owned.lease = Some(Lease { key, permit });
            owned.leaving |= grant.leaving;
            for running in &grant.running {
                adopt(owned, scheduler, running, now);
            }
        }
        state.apply(&grant.vm, now);
        drop(state);
        self.pump();
    }

    fn renewed(&self, vm: &VmId, granted: &VmReport, permit: Option<Permit>) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((owned, scheduler)) = state.owned(vm) {
            if let Some(lease) = &mut owned.lease {
                lease.permit = permit;
            }
            owned.leaving |= granted.leaving;
            let named = std::mem::take(&mut owned.forgetting);
            owned.forget.drain(..named);
            reap(owned, scheduler, granted);
        }
        state.apply(vm, now);
        drop(state);
        self.pump();
    }

    fn lost(&self, vm: &VmId) {
        if let Some((owned, scheduler)) = self.state().owned(vm) {
            lose(owned, scheduler);
        }
    }

    fn tasks(&self, vm: &VmId) -> RenewalBatch {
        let mut state = self.state();
        let Some((owned, _)) = state.owned(vm) else {
            return RenewalBatch::default();
        };
        owned.forgetting = owned.forget.len();
        RenewalBatch {
            renew: owned.tasks.iter().map(|task| task.id).collect(),
            forget: owned.forget.clone(),
        }
    }
}

/// Counts a task that runs on the VM already.
fn adopt(owned: &mut Owned, scheduler: &mut Scheduler, running: &RunningTask, now: Millis) {
    let Some(lease) = &owned.lease else {
        return;
    };
    let hold = scheduler
        .fleet_mut()
        .adopt(lease.key, running.size, false, now);
    match owned.tasks.iter_mut().find(|task| task.id == running.task) {
        Some(task) => task.hold = hold,
        None => owned.tasks.push(Task {
            id: running.task,
            hold,
            live: false,
            missed: 0,
        }),
    }
}

/// Gives back the capacity of tasks that no longer run, other than those dispatched here.
///
/// The answer to one renewal may have left before the task's start arrived.
fn reap(owned: &mut Owned, scheduler: &mut Scheduler, granted: &VmReport) {
    let runs = |id: TaskId| {
        let mut seen = granted.tasks.iter().filter(|seen| seen.task == id);
        seen.any(|seen| seen.state == TaskState::Running)
    };
    owned.tasks.retain_mut(|task| {
        if task.live || runs(task.id) {
            task.missed = 0;
            return true;
        }
        task.missed += 1;
        let stays = task.missed < MISSED_LIMIT;
        if !stays && let Some(hold) = task.hold {
            scheduler.release(hold);
        }
        stays
    });
}

/// Takes the VM out of the fleet; open calls go on without a hold.
fn lose(owned: &mut Owned, scheduler: &mut Scheduler) {
    if let Some(lease) = owned.lease.take() {
        scheduler.fleet_mut().remove(lease.key);
    }
    owned.tasks.retain(|task| task.live);
    for task in &mut owned.tasks {
        task.hold = None;
    }
    owned.forgetting = 0;
}
