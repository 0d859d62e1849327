//! VMs as the registry lists them.

use dotterel_kernel::Millis;

use super::{Cell, Order};
use crate::job::Phase;
use crate::spec::TaskName;
use crate::vm::{RunOn, RunPhase, Vm, VmInfo, VmKey};

impl Cell {
    /// Takes in an entry of the registry.
    pub fn vm_listed(&mut self, info: VmInfo) -> VmKey {
        if let Some(key) = self.vm_by_id(&info.id) {
            let born = self.vms[key].info.incarnation;
            if born == info.incarnation {
                let vm = &mut self.vms[key];
                vm.listed = true;
                self.dirty |= vm.info.draining != info.draining;
                vm.info = info;
                return key;
            }
            if born > info.incarnation {
                return key;
            }
            let unseen = self.take_unseen(key);
            self.lose_vm(key);
            let key = self.add_vm(info);
            self.bar_runs(key, unseen);
            return key;
        }
        self.add_vm(info)
    }

    fn add_vm(&mut self, info: VmInfo) -> VmKey {
        self.dirty = true;
        let id = info.id.clone();
        let key = self.vms.insert(Vm::new(info));
        let at = self.vm_ids.partition_point(|(known, _)| *known < id);
        self.vm_ids.insert(at, (id, key));
        key
    }

    /// Takes the runs off a VM that its former life may never have had: their orders may have
    /// reached the new life.
    fn take_unseen(&mut self, key: VmKey) -> Vec<RunOn> {
        let vm = &mut self.vms[key];
        let unseen: Vec<RunOn> = vm.runs.iter().filter(|on| !on.seen).cloned().collect();
        for on in &unseen {
            vm.remove(on.task, on.run);
        }
        unseen
    }

    /// Has a VM's new life stop runs that it may have been ordered to start.
    fn bar_runs(&mut self, key: VmKey, runs: Vec<RunOn>) {
        for mut on in runs {
            on.phase = RunPhase::Stopping { acked: None };
            if let Some(task) = self.task_mut(on.task)
                && task.run == on.run
                && matches!(task.phase, Phase::Placed(_))
            {
                task.phase = Phase::Placed(key);
            }
            self.orders.push(Order::Stop {
                vm: key,
                task: on.task,
                run: on.run,
                reason: "VM has started anew",
            });
            self.vms[key].add(on);
        }
    }

    /// Takes in that an entry has gone from the registry.
    pub fn vm_unlisted(&mut self, id: &str, now: Millis) {
        if let Some(key) = self.vm_by_id(id) {
            let vm = &mut self.vms[key];
            if vm.listed {
                vm.listed = false;
                vm.unlisted = now;
            }
        }
    }

    /// Finds a VM.
    #[must_use]
    pub fn vm_by_id(&self, id: &str) -> Option<VmKey> {
        let at = self
            .vm_ids
            .binary_search_by(|(known, _)| known.as_str().cmp(id));
        at.ok().map(|at| self.vm_ids[at].1)
    }

    /// Drops a VM that is known to be gone, with all that ran on it.
    pub(crate) fn lose_vm(&mut self, key: VmKey) {
        let runs: Vec<(TaskName, u32)> = match self.vms.get(key) {
            Some(vm) => vm.runs.iter().map(|on| (on.task, on.run)).collect(),
            None => return,
        };
        for (task, run) in runs {
            self.release(key, task, run);
        }
        self.vms.remove(key);
        self.vm_ids.retain(|(_, known)| *known != key);
    }
}
