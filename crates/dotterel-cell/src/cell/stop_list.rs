//! The stored list of VMs on which runs may be stopping.
//!
//! A run that is being stopped occupies capacity without being listed by its VM, for up to the stop
//! timeout. A successor that doesn't know of such runs would have to leave all VMs unused for that
//! long. The leader therefore sends a stop only once the store names the VM, and a successor delays its
//! first starts only on the VMs that it finds there.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::{Cell, Order};
use crate::spec::TaskName;
use crate::vm::{RunPhase, StopRecord, Vm, VmKey};

impl Cell {
    /// Restores the list that an earlier term stored.
    pub fn restore_stop_list(&mut self, ids: &[CompactString]) {
        for id in ids {
            if let Some(key) = self.vm_by_id(id) {
                self.vms[key].may_be_stopping = true;
            }
        }
    }

    /// Assumes that runs may be stopping on all VMs, for when an earlier term stored no list.
    pub fn assume_stops_on_all(&mut self) {
        for vm in self.vms.values_mut() {
            vm.may_be_stopping = true;
        }
    }

    /// Issues a stop order, or holds it until the store names the VM.
    pub(super) fn push_stop(&mut self, vm: VmKey, task: TaskName, run: u32, reason: &'static str) {
        let order = Order::Stop {
            vm,
            task,
            run,
            reason,
        };
        match self.vms[vm].stops {
            StopRecord::Durable => self.orders.push(order),
            StopRecord::Pending => self.held_stops.push(order),
            StopRecord::None => {
                self.vms[vm].stops = StopRecord::Pending;
                self.stops_changed = true;
                self.held_stops.push(order);
            }
        }
    }

    /// Returns the ids and the keys of the VMs to store. VMs that aren't among them need another
    /// write before their next stop.
    pub(super) fn take_stop_list(&mut self, now: Millis) -> (Vec<CompactString>, Vec<VmKey>) {
        let (mut ids, mut keys) = (Vec::new(), Vec::new());
        for (key, vm) in &mut self.vms {
            if may_have_stops(vm, now) {
                ids.push(vm.info.id.clone());
                keys.push(key);
            } else {
                vm.stops = StopRecord::None;
            }
        }
        self.stops_changed = false;
        (ids, keys)
    }

    /// Records that the store names these VMs, and issues the stops that waited for it.
    pub(super) fn stop_list_committed(&mut self, keys: &[VmKey]) {
        for key in keys {
            if let Some(vm) = self.vms.get_mut(*key) {
                vm.stops = StopRecord::Durable;
            }
        }
        for order in std::mem::take(&mut self.held_stops) {
            let Order::Stop { vm, .. } = &order else {
                continue;
            };
            match self.vms.get(*vm).map(|vm| vm.stops) {
                Some(StopRecord::Durable) => self.orders.push(order),
                Some(_) => self.held_stops.push(order),
                // The VM is gone, and its runs with it.
                None => {}
            }
        }
    }
}

fn may_have_stops(vm: &Vm, now: Millis) -> bool {
    let is_stopping = |phase| matches!(phase, RunPhase::Stopping { .. });
    vm.stops == StopRecord::Pending
        || vm.may_be_stopping
        || now < vm.not_before
        || vm.runs.iter().any(|vm_run| is_stopping(vm_run.phase))
}
