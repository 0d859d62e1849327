//! Starts that may still be carried out after their VM has been given up.
//!
//! A start without a reply may be carried out seconds later. That does no harm while the VM has no
//! lease, so its task may start elsewhere once the lease has expired. If the VM replies again, a stop
//! has to bar the start before the VM gets another lease.

use dotterel_kernel::Millis;

use super::tick::STOP_RETRY_INTERVAL;
use super::{Cell, Order};
use crate::spec::TaskName;
use crate::vm::{Delivery, LateStart, RunPhase, START_ORDER_TIMEOUT, VmKey, VmRun};

/// Time for which a start without a reply may still be carried out, which can take seconds.
pub(super) const LATE_START_RETENTION: Millis = Millis::secs(30);

impl Cell {
    /// Records that a start got no reply. If its VM has restarted, the next life may carry it out before this leader
    /// knows of that life, so a successor has to count on the longest lease there.
    pub fn start_unanswered(&mut self, key: VmKey, now: Millis) {
        let Some(vm) = self.vms.get_mut(key).filter(|vm| vm.fenced) else {
            return;
        };
        let clock = vm.clock + now.since(vm.answered_at);
        let lease = self.limits.lease_max - self.limits.lease_ttl;
        vm.settles_at = vm.settles_at.max(clock + START_ORDER_TIMEOUT + lease);
        if std::mem::take(&mut vm.settled) {
            self.mark_vm_record(key);
        }
    }

    /// Notes which runs of a VM may still start after they have been released.
    pub(super) fn note_late_starts(&mut self, key: VmKey, now: Millis) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        for vm_run in vm.runs.iter().filter(|vm_run| may_start_late(vm_run)) {
            vm.late_starts.push(LateStart {
                task: vm_run.task,
                run: vm_run.run,
                tenant: vm_run.tenant,
                size: vm_run.size,
                released_at: now,
                barred_at: Millis::ZERO,
            });
        }
    }

    /// Orders VMs that reply again to stop the runs that may still start there.
    pub(super) fn bar_late_starts(&mut self, key: VmKey, now: Millis) {
        let Some(vm) = self.vms.get_mut(key).filter(|vm| vm.fenced) else {
            return;
        };
        for late in &mut vm.late_starts {
            if now.since(late.barred_at) < STOP_RETRY_INTERVAL {
                continue;
            }
            late.barred_at = now;
            // The run occupies no capacity, so the stored list of stops need not name the VM.
            self.orders.push(Order::Stop {
                vm: key,
                task: late.task,
                run: late.run,
                reason: "start may be carried out late",
            });
        }
    }

    /// Records that a VM has acknowledged the stop of a run, which can't start any more.
    pub(super) fn late_start_barred(&mut self, key: VmKey, task: TaskName, run: u32) {
        if let Some(vm) = self.vms.get_mut(key) {
            vm.late_starts
                .retain(|late| (late.task, late.run) != (task, run));
            self.plan_needed |= vm.late_starts.is_empty();
        }
    }
}

/// Returns true if a start order was sent, and the VM has neither reported the run nor acknowledged a
/// stop.
fn may_start_late(vm_run: &VmRun) -> bool {
    let is_open = matches!(
        vm_run.phase,
        RunPhase::Starting | RunPhase::Stopping { acked_at: None }
    );
    let is_sent = matches!(vm_run.delivery, Delivery::Sent { .. });
    is_sent && is_open && !vm_run.reported
}
