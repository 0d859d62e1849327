//! Classes of work as the scheduler has met them.

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use crate::document::Kind;
use crate::fleet::{Hold, VmKey};
use crate::id::Service;
use crate::plugin::Ask;
use crate::runtime::Runtimes;
use crate::time::Millis;

new_key_type! {
    /// Names one class of one service.
    pub(super) struct ClassKey;
}

/// Work of a class that runs at least this long counts as long.
const LONG_RUN: Millis = Millis(1000);
/// The part of a class's tasks that must run short for the class to count as short.
const SHORT_PART: f32 = 0.9;

#[derive(Debug)]
struct Class {
    service: Service,
    name: CompactString,
    runtimes: Runtimes,
    peers: Peers,
}

/// The VMs that run long tasks of one class.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Sorted by VM.
    counts: Vec<(VmKey, u32)>,
}

impl Peers {
    /// Returns how many tasks of the class a VM runs.
    pub(super) fn on(&self, vm: VmKey) -> u32 {
        self.find(vm).map_or(0, |index| self.counts[index].1)
    }

    fn join(&mut self, vm: VmKey) {
        match self.find(vm) {
            Ok(index) => self.counts[index].1 += 1,
            Err(index) => self.counts.insert(index, (vm, 1)),
        }
    }

    fn leave(&mut self, vm: VmKey) {
        let Ok(index) = self.find(vm) else {
            return;
        };
        self.counts[index].1 -= 1;
        if self.counts[index].1 == 0 {
            self.counts.remove(index);
        }
    }

    fn find(&self, vm: VmKey) -> Result<usize, usize> {
        self.counts.binary_search_by_key(&vm, |entry| entry.0)
    }
}

/// All classes met so far, with what was learned of each.
#[derive(Debug, Default)]
pub(super) struct Classes {
    arena: SlotMap<ClassKey, Class>,
    /// Sorted by service and name.
    sorted: Vec<ClassKey>,
}

impl Classes {
    /// Returns the key of a class, new or known.
    pub(super) fn key(&mut self, service: &Service, name: &str) -> ClassKey {
        let found = self.sorted.binary_search_by(|key| {
            let class = &self.arena[*key];
            (&class.service, class.name.as_str()).cmp(&(service, name))
        });
        match found {
            Ok(index) => self.sorted[index],
            Err(index) => {
                let key = self.arena.insert(Class {
                    service: service.clone(),
                    name: name.into(),
                    runtimes: Runtimes::default(),
                    peers: Peers::default(),
                });
                self.sorted.insert(index, key);
                key
            }
        }
    }

    pub(super) fn runtimes(&self, key: ClassKey) -> &Runtimes {
        &self.arena[key].runtimes
    }

    pub(super) fn record(&mut self, key: ClassKey, span: Millis) {
        self.arena[key].runtimes.record(span);
    }

    pub(super) fn peers(&self, key: ClassKey) -> &Peers {
        &self.arena[key].peers
    }

    /// Counts a hold of the class.
    pub(super) fn join(&mut self, key: ClassKey, held: &Hold) {
        if held.long {
            self.arena[key].peers.join(held.vm);
        }
    }

    /// Counts a hold of the class as gone.
    pub(super) fn leave(&mut self, key: ClassKey, held: &Hold) {
        if held.long {
            self.arena[key].peers.leave(held.vm);
        }
    }

    /// Replaces what was declared by what was learned, once enough tasks have finished.
    pub(super) fn correct(&self, key: ClassKey, ask: &mut Ask) {
        let runtimes = &self.arena[key].runtimes;
        if let Some(mean) = runtimes.mean() {
            ask.expected = mean;
        }
        if let Some(span) = runtimes.quantile(SHORT_PART) {
            ask.long = span > LONG_RUN;
        }
        ask.long |= ask.kind == Kind::Service;
    }
}
