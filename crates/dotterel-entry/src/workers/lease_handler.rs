//! Applies the lease events that the keepers report.

use dotterel_coord::{LeaseHandler, Permit, RenewalBatch};
use dotterel_kernel::{Millis, Scheduler, TaskId, Vm, VmId};
use dotterel_platform::{Grant, RunningTask, TaskState, VmReport};

use super::Workers;
use super::state::{HeldLease, Task, VmEntry};

/// A task has ended once this many consecutive renewals don't list it as running.
///
/// One renewal is not enough, because the VM may have replied before the task's start arrived.
const MAX_MISSED_RENEWALS: u8 = 2;

impl LeaseHandler for Workers {
    fn granted(&self, grant: &Grant, permit: Option<Permit>) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((entry, scheduler)) = state.entry(&grant.vm) {
            remove_lease(entry, scheduler);
            let data_centre = self.inner.data_centre.clone();
            let vm = Vm::new(grant.vm.clone(), data_centre, grant.capacity, grant.epoch);
            let key = scheduler.fleet_mut().insert(vm);
            entry.lease = Some(HeldLease { key, permit });
            entry.leaving |= grant.leaving;
            for running in &grant.running {
                adopt(entry, scheduler, running, now);
            }
        }
        state.apply(&grant.vm, now);
        drop(state);
        self.place_queued();
    }

    fn renewed(&self, vm: &VmId, report: &VmReport, permit: Option<Permit>) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        if let Some((entry, scheduler)) = state.entry(vm) {
            if let Some(lease) = &mut entry.lease {
                lease.permit = permit;
            }
            entry.leaving |= report.leaving;
            let acknowledged = std::mem::take(&mut entry.forget_sent);
            entry.forget.drain(..acknowledged);
            remove_ended_tasks(entry, scheduler, report);
        }
        state.apply(vm, now);
        drop(state);
        self.place_queued();
    }

    fn lost(&self, vm: &VmId) {
        if let Some((entry, scheduler)) = self.state().entry(vm) {
            remove_lease(entry, scheduler);
        }
    }

    fn tasks(&self, vm: &VmId) -> RenewalBatch {
        let mut state = self.state();
        let Some((entry, _)) = state.entry(vm) else {
            return RenewalBatch::default();
        };
        entry.forget_sent = entry.forget.len();
        RenewalBatch {
            renew: entry.tasks.iter().map(|task| task.id).collect(),
            forget: entry.forget.clone(),
        }
    }
}

/// Holds capacity for a task that already runs on the VM.
fn adopt(entry: &mut VmEntry, scheduler: &mut Scheduler, running: &RunningTask, now: Millis) {
    let Some(lease) = &entry.lease else {
        return;
    };
    let hold = scheduler
        .fleet_mut()
        .adopt(lease.key, running.size, false, now);
    match entry.tasks.iter_mut().find(|task| task.id == running.task) {
        Some(task) => task.hold = hold,
        None => entry.tasks.push(Task {
            id: running.task,
            hold,
            unsettled: false,
            missed_renewals: 0,
        }),
    }
}

/// Releases the capacity of tasks that no longer run, except unsettled ones.
fn remove_ended_tasks(entry: &mut VmEntry, scheduler: &mut Scheduler, report: &VmReport) {
    let is_running = |id: TaskId| {
        let mut seen = report.tasks.iter().filter(|seen| seen.task == id);
        seen.any(|seen| seen.state == TaskState::Running)
    };
    entry.tasks.retain_mut(|task| {
        if task.unsettled || is_running(task.id) {
            task.missed_renewals = 0;
            return true;
        }
        task.missed_renewals += 1;
        let keep = task.missed_renewals < MAX_MISSED_RENEWALS;
        if !keep && let Some(hold) = task.hold {
            scheduler.release(hold);
        }
        keep
    });
}

/// Removes the VM from the fleet; unsettled tasks are kept without their holds.
fn remove_lease(entry: &mut VmEntry, scheduler: &mut Scheduler) {
    if let Some(lease) = entry.lease.take() {
        scheduler.fleet_mut().remove(lease.key);
    }
    entry.tasks.retain(|task| task.unsettled);
    for task in &mut entry.tasks {
        task.hold = None;
    }
    entry.forget_sent = 0;
}
