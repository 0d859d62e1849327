//! Index of accepting VMs by how full they are.

use slotmap::SecondaryMap;

use super::{Vm, VmKey};

/// Buckets for VMs with room, by the mean of their cores and memory in use.
const BUCKETS: usize = 64;

/// Where a VM stands in the index.
#[derive(Clone, Copy, Debug)]
struct Spot {
    shelf: usize,
    bucket: usize,
    position: usize,
}

/// VMs that accept work, by accelerators and fullness, each change in constant time.
#[derive(Debug)]
pub(super) struct Index {
    /// VMs without accelerators, then those with; each a list of buckets by fullness.
    shelves: [Vec<Vec<VmKey>>; 2],
    spots: SecondaryMap<VmKey, Spot>,
}

impl Default for Index {
    fn default() -> Self {
        // The last bucket is for VMs that can take nothing more.
        let shelf = || vec![Vec::new(); BUCKETS + 1];
        Self {
            shelves: [shelf(), shelf()],
            spots: SecondaryMap::new(),
        }
    }
}

impl Index {
    /// Puts a VM where its present state belongs.
    pub(super) fn update(&mut self, key: VmKey, vm: &Vm) {
        let shelf = usize::from(vm.capacity.accelerators > 0);
        let bucket = bucket(vm);
        let present = self.spots.get(key);
        if vm.accepting && present.is_some_and(|s| s.shelf == shelf && s.bucket == bucket) {
            return;
        }
        self.remove(key);
        if vm.accepting {
            let list = &mut self.shelves[shelf][bucket];
            let position = list.len();
            list.push(key);
            let spot = Spot {
                shelf,
                bucket,
                position,
            };
            self.spots.insert(key, spot);
        }
    }

    /// Takes a VM out.
    pub(super) fn remove(&mut self, key: VmKey) {
        let Some(spot) = self.spots.remove(key) else {
            return;
        };
        let list = &mut self.shelves[spot.shelf][spot.bucket];
        list.swap_remove(spot.position);
        if let Some(moved) = list.get(spot.position)
            && let Some(other) = self.spots.get_mut(*moved)
        {
            other.position = spot.position;
        }
    }

    /// Returns the VMs of one shelf that have room, the fullest first.
    pub(super) fn tight(&self, accelerated: bool) -> impl Iterator<Item = VmKey> + '_ {
        let shelf = &self.shelves[usize::from(accelerated)];
        shelf[..BUCKETS].iter().rev().flatten().copied()
    }

    /// Returns the VMs of one shelf that have room, the emptiest first.
    pub(super) fn wide(&self, accelerated: bool) -> impl Iterator<Item = VmKey> + '_ {
        let shelf = &self.shelves[usize::from(accelerated)];
        shelf[..BUCKETS].iter().flatten().copied()
    }
}

/// Returns the bucket of a VM; every task takes a slot and a connection, so a VM without either
/// is full.
fn bucket(vm: &Vm) -> usize {
    let room = vm.room();
    if room.slots == 0 || room.connections == 0 {
        return BUCKETS;
    }
    let level = |used: u32, all: u32| match all {
        0 => 0,
        _ => (u64::from(used) * BUCKETS as u64 / u64::from(all)) as usize,
    };
    let cores = level(vm.used.milli_cores, vm.capacity.milli_cores);
    let memory = level(vm.used.memory_mb, vm.capacity.memory_mb);
    ((cores + memory) / 2).min(BUCKETS - 1)
}
