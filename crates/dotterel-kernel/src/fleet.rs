//! The VMs that a node owns and the capacity held on them.

mod index;
mod total;

use index::Index;
pub use total::Totals;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::id::{DataCentre, Epoch, VmId};
use crate::size::Size;
use crate::time::Millis;

new_key_type! {
    /// Identifies a VM in a [`Fleet`].
    pub struct VmKey;

    /// Identifies a hold in a [`Fleet`].
    pub struct HoldKey;
}

/// A VM whose worker lease this node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Total capacity.
    pub capacity: Size,
    /// Capacity held by tasks.
    pub used: Size,
    /// Number of slots held by long work.
    pub long_slots: u32,
    /// Capacity held by long work.
    pub long_used: Size,
    /// Epoch of the worker lease.
    pub epoch: Epoch,
    /// Whether the VM accepts new work. False while the VM is leaving or ejected, or while its lease
    /// may have expired.
    pub accepting: bool,
}

impl Vm {
    /// Creates a VM without holds.
    #[must_use]
    pub fn new(id: VmId, data_centre: DataCentre, capacity: Size, epoch: Epoch) -> Self {
        Self {
            id,
            data_centre,
            capacity,
            used: Size::ZERO,
            long_slots: 0,
            long_used: Size::ZERO,
            epoch,
            accepting: true,
        }
    }

    /// Returns the capacity that is not held.
    #[must_use]
    pub fn available(&self) -> Size {
        self.capacity.minus(&self.used)
    }

    /// Returns how many tasks of size `short_task_size` would fit beside the long work if the VM
    /// ran no other short work. Zero unless the VM accepts work.
    #[must_use]
    pub fn short_task_capacity(&self, short_task_size: &Size) -> u32 {
        if self.accepting {
            self.capacity
                .minus(&self.long_used)
                .count_fitting(short_task_size)
        } else {
            0
        }
    }
}

/// Capacity of a VM held for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Key of the VM.
    pub vm: VmKey,
    /// Amount of capacity.
    pub size: Size,
    /// Whether the task counts as long work.
    pub is_long: bool,
    /// Time at which the hold was created.
    pub since: Millis,
}

/// All VMs that a node owns, with their holds.
///
/// The sum of the holds on a VM never exceeds its capacity, except for adopted holds.
#[derive(Debug)]
pub struct Fleet {
    vms: SlotMap<VmKey, Vm>,
    holds: SlotMap<HoldKey, Hold>,
    index: Index,
    totals: Totals,
    /// Holds of removed VMs that [`Fleet::pop_orphan`] has not returned yet.
    orphans: Vec<(HoldKey, Hold)>,
    /// Size of a typical short task.
    short_task_size: Size,
    /// Incremented by every change that may let a queued task start.
    capacity_generation: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        let short_task_size = Size {
            slots: 1,
            ..Size::ZERO
        };
        Self {
            vms: SlotMap::with_key(),
            holds: SlotMap::with_key(),
            index: Index::default(),
            totals: Totals::default(),
            orphans: Vec::new(),
            short_task_size,
            capacity_generation: 0,
        }
    }
}

impl Fleet {
    /// Adds a VM.
    pub fn insert(&mut self, vm: Vm) -> VmKey {
        self.totals.add(&vm, &self.short_task_size);
        self.capacity_generation += 1;
        let key = self.vms.insert(vm);
        self.index.update(key, &self.vms[key]);
        key
    }

    /// Removes a VM together with its holds.
    pub fn remove(&mut self, key: VmKey) -> Option<Vm> {
        let vm = self.vms.remove(key)?;
        self.index.remove(key);
        let orphans = &mut self.orphans;
        self.holds.retain(|hold_key, hold| {
            let retained = hold.vm != key;
            if !retained {
                orphans.push((hold_key, *hold));
            }
            retained
        });
        self.totals.subtract(&vm, &self.short_task_size);
        Some(vm)
    }

    /// Returns a VM.
    #[must_use]
    pub fn get(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// Returns a hold.
    #[must_use]
    pub fn get_hold(&self, key: HoldKey) -> Option<&Hold> {
        self.holds.get(key)
    }

    /// Sets whether the VM accepts new work.
    pub fn set_accepting(&mut self, key: VmKey, accepting: bool) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if vm.accepting == accepting {
            return;
        }
        self.totals.subtract(vm, &self.short_task_size);
        vm.accepting = accepting;
        self.totals.add(vm, &self.short_task_size);
        self.index.update(key, vm);
        self.capacity_generation += u64::from(accepting);
    }

    /// Iterates over all VMs.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// Iterates over the accepting VMs that are not full, with or without accelerators, the fullest
    /// first.
    pub fn fullest_first(&self, accelerated: bool) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.index.fullest_first(accelerated);
        keys.map(|key| (key, &self.vms[key]))
    }

    /// Iterates over the accepting VMs that are not full, with or without accelerators, the
    /// emptiest first.
    pub fn emptiest_first(&self, accelerated: bool) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.index.emptiest_first(accelerated);
        keys.map(|key| (key, &self.vms[key]))
    }

    /// Sets the size of a typical short task. Takes time linear in the number of VMs.
    pub fn set_short_task_size(&mut self, short_task_size: Size) {
        self.short_task_size = short_task_size;
        self.totals.short_task_capacity = 0;
        for vm in self.vms.values() {
            self.totals.short_task_capacity += vm.short_task_capacity(&short_task_size);
        }
    }

    /// Returns the size of a typical short task.
    #[must_use]
    pub const fn short_task_size(&self) -> &Size {
        &self.short_task_size
    }

    /// Returns the sums over all VMs.
    #[must_use]
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns a counter that every change that may let a queued task start increments.
    #[must_use]
    pub const fn capacity_generation(&self) -> u64 {
        self.capacity_generation
    }

    /// Removes and returns one hold of a removed VM.
    pub fn pop_orphan(&mut self) -> Option<(HoldKey, Hold)> {
        self.orphans.pop()
    }

    /// Returns the number of VMs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns true if there are no VMs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Holds capacity on a VM, or returns none if it does not fit.
    pub fn hold(&mut self, key: VmKey, size: Size, is_long: bool, now: Millis) -> Option<HoldKey> {
        let vm = self.vms.get(key)?;
        if !size.fits(&vm.available()) {
            return None;
        }
        self.adopt(key, size, is_long, now)
    }

    /// Holds capacity for a task that already runs on a VM, even beyond the VM's known capacity.
    pub fn adopt(&mut self, key: VmKey, size: Size, is_long: bool, now: Millis) -> Option<HoldKey> {
        let vm = self.vms.get_mut(key)?;
        vm.used = vm.used.plus(&size);
        self.totals.used = self.totals.used.plus(&size);
        if is_long {
            let before = vm.short_task_capacity(&self.short_task_size);
            vm.long_slots += size.slots;
            vm.long_used = vm.long_used.plus(&size);
            self.totals.long_used = self.totals.long_used.plus(&size);
            self.totals.short_task_capacity -=
                before - vm.short_task_capacity(&self.short_task_size);
        }
        self.index.update(key, vm);
        Some(self.holds.insert(Hold {
            vm: key,
            size,
            is_long,
            since: now,
        }))
    }

    /// Releases a hold. Returns none if the hold or its VM no longer exists.
    pub fn release(&mut self, key: HoldKey) -> Option<Hold> {
        let hold = self.holds.remove(key)?;
        if let Some(vm) = self.vms.get_mut(hold.vm) {
            vm.used = vm.used.minus(&hold.size);
            self.totals.used = self.totals.used.minus(&hold.size);
            if hold.is_long {
                let before = vm.short_task_capacity(&self.short_task_size);
                vm.long_slots -= hold.size.slots;
                vm.long_used = vm.long_used.minus(&hold.size);
                self.totals.long_used = self.totals.long_used.minus(&hold.size);
                self.totals.short_task_capacity +=
                    vm.short_task_capacity(&self.short_task_size) - before;
            }
            self.index.update(hold.vm, vm);
            self.capacity_generation += 1;
        }
        Some(hold)
    }
}
