//! Index of the accepting VMs by utilisation.

use slotmap::SecondaryMap;

use super::{Vm, VmKey};

/// Number of buckets for VMs with free capacity, by the mean utilisation of cores and memory.
const BUCKETS: usize = 64;

/// Position of a VM in the index.
#[derive(Clone, Copy, Debug)]
struct Location {
    group: usize,
    bucket: usize,
    position: usize,
}

/// The accepting VMs, by accelerators and utilisation. Updates take constant time.
#[derive(Debug)]
pub(super) struct Index {
    /// Buckets by utilisation, for VMs without accelerators and then for those with accelerators.
    groups: [Vec<Vec<VmKey>>; 2],
    locations: SecondaryMap<VmKey, Location>,
}

impl Default for Index {
    fn default() -> Self {
        // The last bucket holds full VMs.
        let group = || vec![Vec::new(); BUCKETS + 1];
        Self {
            groups: [group(), group()],
            locations: SecondaryMap::new(),
        }
    }
}

impl Index {
    /// Moves a VM to the bucket of its current state.
    pub(super) fn update(&mut self, key: VmKey, vm: &Vm) {
        let group = usize::from(vm.capacity.accelerators > 0);
        let bucket = bucket(vm);
        let current = self.locations.get(key);
        if vm.accepting && current.is_some_and(|l| l.group == group && l.bucket == bucket) {
            return;
        }
        self.remove(key);
        if vm.accepting {
            let list = &mut self.groups[group][bucket];
            let position = list.len();
            list.push(key);
            let location = Location {
                group,
                bucket,
                position,
            };
            self.locations.insert(key, location);
        }
    }

    /// Removes a VM.
    pub(super) fn remove(&mut self, key: VmKey) {
        let Some(location) = self.locations.remove(key) else {
            return;
        };
        let list = &mut self.groups[location.group][location.bucket];
        list.swap_remove(location.position);
        if let Some(moved) = list.get(location.position)
            && let Some(other) = self.locations.get_mut(*moved)
        {
            other.position = location.position;
        }
    }

    /// Iterates over the VMs of one group that are not full, the fullest first.
    pub(super) fn fullest_first(&self, accelerated: bool) -> impl Iterator<Item = VmKey> + '_ {
        let group = &self.groups[usize::from(accelerated)];
        group[..BUCKETS].iter().rev().flatten().copied()
    }

    /// Iterates over the VMs of one group that are not full, the emptiest first.
    pub(super) fn emptiest_first(&self, accelerated: bool) -> impl Iterator<Item = VmKey> + '_ {
        let group = &self.groups[usize::from(accelerated)];
        group[..BUCKETS].iter().flatten().copied()
    }
}

/// Returns the bucket of a VM. Every task takes a slot and a connection, so a VM without a free
/// slot or a free connection is full.
fn bucket(vm: &Vm) -> usize {
    let available = vm.available();
    if available.slots == 0 || available.connections == 0 {
        return BUCKETS;
    }
    let scaled = |used: u32, total: u32| match total {
        0 => 0,
        _ => (u64::from(used) * BUCKETS as u64 / u64::from(total)) as usize,
    };
    let cores = scaled(vm.used.milli_cores, vm.capacity.milli_cores);
    let memory = scaled(vm.used.memory_mb, vm.capacity.memory_mb);
    ((cores + memory) / 2).min(BUCKETS - 1)
}
