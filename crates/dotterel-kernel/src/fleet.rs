//! The VMs that a node owns and what it has placed on them.

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
    /// Names one VM in a [`Fleet`].
    pub struct VmKey;

    /// Names one hold in a [`Fleet`].
    pub struct HoldKey;
}

/// A VM whose worker lease this node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub id: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it can hold.
    pub capacity: Size,
    /// What is held on it now.
    pub used: Size,
    /// How many of its slots run long work.
    pub long_slots: u32,
    /// The epoch of the worker lease.
    pub epoch: Epoch,
    /// False while the VM leaves, is set aside or its lease is in doubt.
    pub accepting: bool,
}

impl Vm {
    /// Returns a VM with nothing on it.
    #[must_use]
    pub fn new(id: VmId, data_centre: DataCentre, capacity: Size, epoch: Epoch) -> Self {
        Self {
            id,
            data_centre,
            capacity,
            used: Size::ZERO,
            long_slots: 0,
            epoch,
            accepting: true,
        }
    }

    /// Returns what is still free.
    #[must_use]
    pub fn room(&self) -> Size {
        self.capacity.minus(&self.used)
    }
}

/// A part of a VM's capacity set apart for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The VM.
    pub vm: VmKey,
    /// The amount.
    pub size: Size,
    /// Whether the task counts as long work.
    pub long: bool,
    /// When the hold was taken.
    pub since: Millis,
}

/// All VMs that a node owns, with their holds.
///
/// The sum of the holds on a VM never exceeds its capacity, but for adopted ones.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: SlotMap<VmKey, Vm>,
    holds: SlotMap<HoldKey, Hold>,
    index: Index,
    totals: Totals,
    /// Holds that went with their VMs and have not been collected yet.
    lost: Vec<(HoldKey, Hold)>,
    /// Counts the changes that may let a waiting task start.
    gains: u64,
}

impl Fleet {
    /// Adds a VM.
    pub fn insert(&mut self, vm: Vm) -> VmKey {
        self.totals.add(&vm);
        self.gains += 1;
        let key = self.vms.insert(vm);
        self.index.update(key, &self.vms[key]);
        key
    }

    /// Takes a VM out together with its holds.
    pub fn remove(&mut self, key: VmKey) -> Option<Vm> {
        let vm = self.vms.remove(key)?;
        self.index.remove(key);
        let mut long = Size::ZERO;
        let lost = &mut self.lost;
        self.holds.retain(|hold_key, hold| {
            let kept = hold.vm != key;
            if !kept {
                if hold.long {
                    long = long.plus(&hold.size);
                }
                lost.push((hold_key, *hold));
            }
            kept
        });
        self.totals.subtract(&vm, &long);
        Some(vm)
    }

    /// Returns a VM.
    #[must_use]
    pub fn get(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// Returns a hold.
    #[must_use]
    pub fn held(&self, key: HoldKey) -> Option<&Hold> {
        self.holds.get(key)
    }

    /// Says whether the VM takes new work.
    pub fn set_accepting(&mut self, key: VmKey, accepting: bool) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if vm.accepting == accepting {
            return;
        }
        vm.accepting = accepting;
        self.totals.accepting(&vm.capacity, accepting);
        self.index.update(key, vm);
        self.gains += u64::from(accepting);
    }

    /// Returns all VMs.
    pub fn iter(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// Returns the accepting VMs of one sort with at least `slots` free, the tightest first.
    pub fn tight(&self, accelerated: bool, slots: u32) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.index.tight(accelerated, slots);
        keys.map(|key| (key, &self.vms[key]))
    }

    /// Returns the accepting VMs of one sort with at least `slots` free, the emptiest first.
    pub fn wide(&self, accelerated: bool, slots: u32) -> impl Iterator<Item = (VmKey, &Vm)> {
        let keys = self.index.wide(accelerated, slots);
        keys.map(|key| (key, &self.vms[key]))
    }

    /// Returns the sums over all VMs.
    #[must_use]
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns a count that grows with every change that may let a waiting task start.
    #[must_use]
    pub const fn gains(&self) -> u64 {
        self.gains
    }

    /// Takes one hold that went with its VM; each is handed out once.
    pub fn take_lost(&mut self) -> Option<(HoldKey, Hold)> {
        self.lost.pop()
    }

    /// Returns the number of VMs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns true when there is no VM.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Sets a part of a VM apart, or returns none when it does not fit.
    pub fn hold(&mut self, key: VmKey, size: Size, long: bool, now: Millis) -> Option<HoldKey> {
        let vm = self.vms.get(key)?;
        if !size.fits(&vm.room()) {
            return None;
        }
        self.adopt(key, size, long, now)
    }

    /// Counts a task that already runs on a VM, even if it exceeds the capacity known here.
    pub fn adopt(&mut self, key: VmKey, size: Size, long: bool, now: Millis) -> Option<HoldKey> {
        let vm = self.vms.get_mut(key)?;
        let long_slots = u32::from(long) * size.slots;
        vm.used = vm.used.plus(&size);
        vm.long_slots += long_slots;
        self.totals.taken(&size, long);
        self.index.update(key, vm);
        Some(self.holds.insert(Hold {
            vm: key,
            size,
            long,
            since: now,
        }))
    }

    /// Gives a hold back; a hold whose VM is gone returns none.
    pub fn release(&mut self, key: HoldKey) -> Option<Hold> {
        let hold = self.holds.remove(key)?;
        if let Some(vm) = self.vms.get_mut(hold.vm) {
            let long_slots = u32::from(hold.long) * hold.size.slots;
            vm.used = vm.used.minus(&hold.size);
            vm.long_slots -= long_slots;
            self.totals.given(&hold.size, hold.long);
            self.index.update(hold.vm, vm);
            self.gains += 1;
        }
        Some(hold)
    }
}
