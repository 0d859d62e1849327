//! VMs listed in the registry.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{Phase, Release};
use crate::spec::TaskName;
use crate::vm::{RunPhase, Vm, VmInfo, VmKey, VmRun};

/// A VM that was lost, and the runs released with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostVm {
    /// Id of the VM.
    pub vm: CompactString,
    /// Why the runs on it have certainly ended.
    pub reason: LossReason,
    /// Time since its last reply.
    pub silent: Millis,
    /// Time since its lease expired; zero if it may not have.
    pub expired: Millis,
    /// The same if the release had to wait for a renewal of the leadership, and otherwise zero.
    pub waited: Millis,
    /// Runs released, with the time since each was ordered to start.
    pub runs: Vec<(TaskName, u32, Millis)>,
}

/// Why the runs on a VM have certainly ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Its lease has expired; the VM may have crashed or be disconnected.
    LeaseExpired,
    /// Another incarnation runs under its id.
    Restarted,
    /// Another VM uses its address.
    Replaced,
}

impl Cell {
    /// Adds or updates a VM from its registry entry.
    ///
    /// An entry may come from another writer, so it can't show that the VM's current life has ended:
    /// one of a later life, or at another address, is kept aside until the VM replies as it says,
    /// or until none of the current life's runs can be left. Until then nothing is started there.
    /// An entry of the current life is taken over in full, as VMs may shrink and grow while they run.
    pub fn vm_listed(&mut self, info: VmInfo, now: Millis) -> VmKey {
        let Some(key) = self.vm_by_id(&info.id) else {
            return self.add_vm(info);
        };
        let vm = &mut self.vms[key];
        if vm.info.is_same_process(&info) {
            self.plan_needed |= !vm.listed || vm.info.draining != info.draining;
            vm.listed = true;
            vm.unconfirmed = None;
            vm.set_entry(info);
            return key;
        }
        let is_older = info.incarnation < vm.info.incarnation;
        if is_older && (vm.has_replied() || vm.may_have_runs()) {
            return key;
        }
        if vm.may_have_runs() {
            vm.unlist(now);
            vm.note_next_life(&info, now);
            vm.unconfirmed = Some(info);
            return key;
        }
        self.replace_vm(key, info)
    }

    /// Replaces a VM without runs by another life of it, or one at another address.
    fn replace_vm(&mut self, key: VmKey, info: VmInfo) -> VmKey {
        let former = &mut self.vms[key];
        let may_be_stopping = former.may_be_stopping;
        let late_starts = std::mem::take(&mut former.late_starts);
        let awaited = former.awaited;
        let former_fence = former.fence.unwrap_or(former.former_fence);
        self.remove_vm(key);
        let key = self.add_vm(info);
        let vm = &mut self.vms[key];
        vm.may_be_stopping = may_be_stopping;
        vm.late_starts = late_starts;
        vm.awaited = awaited;
        vm.former_fence = former_fence;
        key
    }

    /// Replaces a VM by a later life of it. Runs that may have been ordered there are stopped.
    fn restart_vm(&mut self, key: VmKey, info: VmInfo, reason: LossReason, now: Millis) -> VmKey {
        self.note_lost_runs(key, reason, now);
        let unreported = self.take_unreported(key);
        self.release_lost_runs(key, reason, now);
        let key = self.replace_vm(key, info);
        self.vms[key].restarted_at = now;
        self.stop_on_restarted_vm(key, unreported);
        key
    }

    /// Replaces a VM by the life of it that has replied. What it may run is known only from an entry
    /// of the same life.
    pub(super) fn vm_restarted(&mut self, key: VmKey, incarnation: u64, now: Millis) -> VmKey {
        self.note_ended_life(key, now);
        let vm = &mut self.vms[key];
        let replied = VmInfo {
            id: vm.info.id.clone(),
            address: vm.info.address.clone(),
            incarnation,
            ..VmInfo::default()
        };
        let is_later = incarnation > vm.info.incarnation;
        let entry = vm.unconfirmed.take();
        let entry = entry.filter(|entry| entry.incarnation >= incarnation);
        let is_confirmed = entry
            .as_ref()
            .is_some_and(|entry| entry.is_same_process(&replied));
        let key = if is_later {
            self.restart_vm(key, replied, LossReason::Restarted, now)
        } else if self.vms[key].runs.is_empty() {
            // The life that an entry named has never replied.
            self.replace_vm(key, replied)
        } else {
            self.restart_vm(key, replied, LossReason::LeaseExpired, now)
        };
        let vm = &mut self.vms[key];
        vm.restarted_at = now;
        vm.answered_at = now;
        match entry {
            Some(entry) if is_confirmed => vm.set_entry(entry),
            entry => {
                vm.unlist(now);
                vm.unconfirmed = entry;
            }
        }
        key
    }

    /// Records that a VM has replied at an address. An entry with another one isn't the VM's own.
    pub fn vm_replied_at(&mut self, key: VmKey, address: &str, now: Millis) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if vm.info.address != address {
            vm.info.address = address.into();
            vm.recorded = false;
            vm.unlist(now);
        }
    }

    /// Takes over an entry that was kept aside if the VM has replied as it says.
    pub(super) fn confirm_entry(&mut self, key: VmKey) {
        let vm = &mut self.vms[key];
        let info = &vm.info;
        if let Some(entry) = vm.unconfirmed.take_if(|entry| entry.is_same_process(info)) {
            vm.set_entry(entry);
            vm.listed = true;
            self.plan_needed = true;
        }
    }

    /// Drops an entry that was kept aside, as another VM uses the address in it.
    pub fn entry_refuted(&mut self, key: VmKey, address: &str) {
        if let Some(vm) = self.vms.get_mut(key) {
            vm.unconfirmed.take_if(|entry| entry.address == address);
        }
    }

    /// Takes over the entries of VMs on which nothing can be running any more.
    pub(super) fn settle_entries(&mut self) {
        let free = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.unconfirmed.is_some() && !vm.may_have_runs());
        let free: Vec<VmKey> = free.map(|(key, _)| key).collect();
        for key in free {
            if let Some(entry) = self.vms[key].unconfirmed.take() {
                self.replace_vm(key, entry);
            }
        }
    }

    /// Releases the runs of a VM whose lease has certainly expired.
    pub(super) fn vm_expired(&mut self, key: VmKey, now: Millis) {
        let vm = &mut self.vms[key];
        let incarnation = vm.info.incarnation;
        let next = vm
            .unconfirmed
            .take_if(|entry| entry.incarnation > incarnation);
        match next {
            // A start that was never reported may have reached the later life.
            Some(entry) => {
                self.restart_vm(key, entry, LossReason::LeaseExpired, now);
            }
            None => self.release_lost_runs(key, LossReason::LeaseExpired, now),
        }
    }

    /// Adds a VM that an earlier term has given runs. An entry that names another life or address is
    /// kept aside.
    pub(super) fn vm_recorded(&mut self, info: VmInfo, now: Millis) -> VmKey {
        let listed = self.vm_by_id(&info.id);
        if let Some(key) = listed.filter(|key| self.vms[*key].info.is_same_process(&info)) {
            return key;
        }
        let entry = listed.map(|key| self.vms[key].info.clone());
        if let Some(key) = listed {
            self.remove_vm(key);
        }
        let key = self.add_vm(info);
        let vm = &mut self.vms[key];
        vm.unlist(now);
        if let Some(entry) = entry.filter(|entry| entry.incarnation >= vm.info.incarnation) {
            vm.note_next_life(&entry, now);
            vm.unconfirmed = Some(entry);
        }
        key
    }

    fn add_vm(&mut self, info: VmInfo) -> VmKey {
        self.plan_needed = true;
        let id = info.id.clone();
        let mut vm = Vm::new(info);
        vm.former_fence = self.removed_fence;
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
            self.note_other_run(key, task, run);
            self.push_stop(key, task, run, "VM restarted");
        }
    }

    /// Marks a VM as no longer listed in the registry.
    pub fn vm_unlisted(&mut self, id: &str, now: Millis) {
        if let Some(key) = self.vm_by_id(id) {
            let vm = &mut self.vms[key];
            vm.unlist(now);
            vm.unconfirmed = None;
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
        self.note_ended_life(key, now);
        if let Some(vm) = self.vms.get_mut(key) {
            let entry = vm.unconfirmed.take();
            let entry = entry.filter(|entry| entry.address != vm.info.address);
            self.release_lost_runs(key, LossReason::Replaced, now);
            self.remove_vm(key);
            if let Some(entry) = entry {
                self.add_vm(entry);
            }
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
        let expiry = self.confirmation.take_expiry(key);
        let lost = LostVm {
            vm: vm.info.id.clone(),
            reason,
            silent: now.since(vm.answered_at),
            expired: expiry.map_or(Millis::ZERO, |expiry| expiry.expired(now)),
            waited: expiry.map_or(Millis::ZERO, |expiry| expiry.waited(now)),
            runs: runs.collect(),
        };
        self.note_late_starts(key, now);
        for (task, run, _) in &lost.runs {
            self.release(key, *task, *run, Release::Lost(reason), now);
        }
        self.lost_vms.push(lost);
    }

    /// Removes a VM without runs.
    pub(super) fn remove_vm(&mut self, key: VmKey) {
        if let Some(vm) = self.vms.remove(key) {
            let fence = vm.fence.unwrap_or_default();
            self.removed_fence = self.removed_fence.max(fence);
            if vm.recorded {
                self.mark_vm_list_row(super::vm_list_row(&vm.info.id));
            }
            self.removed_vms.insert(key, vm.info.id);
        }
        self.confirmation.take_expiry(key);
        self.vm_index.retain(|(_, known)| *known != key);
    }
}
