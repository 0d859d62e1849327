//! VMs listed in the registry.

use dotterel_kernel::Millis;

use super::{Cell, LossReason, LostVm};
use crate::job::Phase;
use crate::vm::{RunPhase, Vm, VmInfo, VmKey, VmRun};

impl Cell {
    /// Adds or updates a VM from its registry entry.
    pub fn vm_listed(&mut self, info: VmInfo, now: Millis) -> VmKey {
        if let Some(key) = self.vm_by_id(&info.id) {
            let incarnation = self.vms[key].info.incarnation;
            if incarnation == info.incarnation {
                let vm = &mut self.vms[key];
                vm.listed = true;
                self.plan_needed |= vm.info.draining != info.draining;
                vm.recorded &= vm.info.address == info.address;
                vm.info = info;
                return key;
            }
            if incarnation > info.incarnation {
                return key;
            }
            self.note_lost_runs(key, LossReason::Restarted, now);
            let unreported = self.take_unreported(key);
            self.release_lost_runs(key, LossReason::Restarted, now);
            self.remove_vm(key);
            let key = self.add_vm(info);
            self.stop_on_restarted_vm(key, unreported);
            return key;
        }
        self.add_vm(info)
    }

    fn add_vm(&mut self, info: VmInfo) -> VmKey {
        self.plan_needed = true;
        let id = info.id.clone();
        let mut vm = Vm::new(info);
        vm.risked_until = self.risked_until(&vm.info.address);
        let key = self.vms.insert(vm);
        let at = self.vm_index.partition_point(|(known, _)| *known < id);
        self.vm_index.insert(at, (id, key));
        key
    }

    /// Removes and returns the runs that the VM's previous incarnation never reported although their
    /// starts were sent: the orders may have reached the new incarnation.
    fn take_unreported(&mut self, key: VmKey) -> Vec<VmRun> {
        let vm = &mut self.vms[key];
        let unreported: Vec<VmRun> = vm
            .runs
            .iter()
            .filter(|vm_run| !vm_run.reported && !vm_run.is_unsent())
            .cloned()
            .collect();
        for vm_run in &unreported {
            vm.remove(vm_run.task, vm_run.run);
        }
        unreported
    }

    /// Orders a VM's new incarnation to stop runs that it may have been ordered to start.
    fn stop_on_restarted_vm(&mut self, key: VmKey, runs: Vec<VmRun>) {
        for mut vm_run in runs {
            vm_run.phase = RunPhase::Stopping { acked_at: None };
            if let Some(task) = self.task_mut(vm_run.task)
                && task.last_run == vm_run.run
                && matches!(task.phase, Phase::Placed(_))
            {
                task.phase = Phase::Placed(key);
            }
            let (task, run) = (vm_run.task, vm_run.run);
            self.vms[key].add(vm_run);
            self.push_stop(key, task, run, "VM restarted");
        }
    }

    /// Marks a VM as no longer listed in the registry.
    pub fn vm_unlisted(&mut self, id: &str, now: Millis) {
        if let Some(key) = self.vm_by_id(id) {
            let vm = &mut self.vms[key];
            if vm.listed {
                vm.listed = false;
                vm.unlisted_at = now;
            }
        }
    }

    /// Returns the VM with an id.
    #[must_use]
    pub fn vm_by_id(&self, id: &str) -> Option<VmKey> {
        let at = self
            .vm_index
            .binary_search_by(|(known, _)| known.as_str().cmp(id));
        at.ok().map(|at| self.vm_index[at].1)
    }

    /// Records that another VM uses a VM's address, so that the VM is gone.
    pub fn vm_replaced(&mut self, key: VmKey, now: Millis) {
        if self.vms.contains_key(key) {
            self.release_lost_runs(key, LossReason::Replaced, now);
            self.remove_vm(key);
        }
    }

    /// Releases the runs of a VM on which they have certainly ended, and notes the loss for the log.
    pub(super) fn release_lost_runs(&mut self, key: VmKey, reason: LossReason, now: Millis) {
        self.note_lost_runs(key, reason, now);
        let Some(vm) = self.vms.get(key) else {
            return;
        };
        let runs = vm.runs.iter();
        let runs = runs.map(|vm_run| (vm_run.task, vm_run.run, now.since(vm_run.ordered_at)));
        let lost = LostVm {
            vm: vm.info.id.clone(),
            reason,
            silent: now.since(vm.answered_at),
            runs: runs.collect(),
        };
        self.note_late_starts(key);
        for (task, run, _) in &lost.runs {
            self.release(key, *task, *run);
        }
        self.lost_vms.push(lost);
    }

    /// Removes a VM without runs.
    pub(super) fn remove_vm(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.remove(key)
            && vm.recorded
        {
            self.mark_vm_list_row(super::vm_list_row(&vm.info.id));
        }
        self.vm_index.retain(|(_, known)| *known != key);
    }
}
