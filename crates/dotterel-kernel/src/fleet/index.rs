//! Index of accepting VMs by their free slots.

use slotmap::SecondaryMap;

use super::{Vm, VmKey};

/// Free slots beyond this count share the last bucket.
const BUCKETS: usize = 65;

/// Where a VM stands in the index.
#[derive(Clone, Copy, Debug)]
struct Spot {
    shelf: usize,
    bucket: usize,
    position: usize,
}

/// VMs that accept work, by accelerators and free slots, each change in constant time.
#[derive(Debug)]
pub(super) struct Index {
    /// VMs without accelerators, then those with; each a list of buckets by free slots.
    shelves: [Vec<Vec<VmKey>>; 2],
    spots: SecondaryMap<VmKey, Spot>,
}

impl Default for Index {
    fn default() -> Self {
        let shelf = || vec![Vec::new(); BUCKETS];
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
        let bucket = (vm.room().slots as usize).min(BUCKETS - 1);
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

    /// Returns the VMs of one shelf with at least `slots` free, the tightest first.
    pub(super) fn tight(&self, accelerated: bool, slots: u32) -> impl Iterator<Item = VmKey> + '_ {
        let shelf = &self.shelves[usize::from(accelerated)];
        shelf[first(slots)..].iter().flatten().copied()
    }

    /// Returns the VMs of one shelf with at least `slots` free, the emptiest first.
    pub(super) fn wide(&self, accelerated: bool, slots: u32) -> impl Iterator<Item = VmKey> + '_ {
        let shelf = &self.shelves[usize::from(accelerated)];
        shelf[first(slots)..].iter().rev().flatten().copied()
    }
}

fn first(slots: u32) -> usize {
    (slots as usize).min(BUCKETS - 1)
}
