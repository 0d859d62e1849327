//! Run times and running tasks of each class.

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use crate::document::Kind;
use crate::fleet::{Hold, VmKey};
use crate::id::Service;
use crate::plugin::TaskSpec;
use crate::run_time::RunTimeHistogram;
use crate::time::Millis;

new_key_type! {
    /// Identifies one class of one service.
    pub(super) struct ClassKey;
}

/// Run time above which a class counts as long.
const LONG_RUN_TIME: Millis = Millis(1000);
/// Fraction of the tasks of a short class that run no longer than [`LONG_RUN_TIME`].
const SHORT_QUANTILE: f32 = 0.9;

#[derive(Debug)]
struct Class {
    service: Service,
    name: CompactString,
    run_times: RunTimeHistogram,
    replicas: ReplicaCounts,
}

/// Number of long tasks of one class on each VM.
#[derive(Debug, Default)]
pub(super) struct ReplicaCounts {
    /// Sorted by VM.
    counts: Vec<(VmKey, u32)>,
}

impl ReplicaCounts {
    /// Returns how many long tasks of the class run on a VM.
    pub(super) fn count_on(&self, vm: VmKey) -> u32 {
        self.search(vm).map_or(0, |index| self.counts[index].1)
    }

    fn add(&mut self, vm: VmKey) {
        match self.search(vm) {
            Ok(index) => self.counts[index].1 += 1,
            Err(index) => self.counts.insert(index, (vm, 1)),
        }
    }

    fn remove(&mut self, vm: VmKey) {
        let Ok(index) = self.search(vm) else {
            return;
        };
        self.counts[index].1 -= 1;
        if self.counts[index].1 == 0 {
            self.counts.remove(index);
        }
    }

    fn search(&self, vm: VmKey) -> Result<usize, usize> {
        self.counts.binary_search_by_key(&vm, |entry| entry.0)
    }
}

/// All classes seen so far.
#[derive(Debug, Default)]
pub(super) struct Classes {
    arena: SlotMap<ClassKey, Class>,
    /// Sorted by service and name.
    sorted_keys: Vec<ClassKey>,
}

impl Classes {
    /// Returns the key of a class and adds the class if it is new.
    pub(super) fn get_or_insert(&mut self, service: &Service, name: &str) -> ClassKey {
        let found = self.sorted_keys.binary_search_by(|key| {
            let class = &self.arena[*key];
            (&class.service, class.name.as_str()).cmp(&(service, name))
        });
        match found {
            Ok(index) => self.sorted_keys[index],
            Err(index) => {
                let key = self.arena.insert(Class {
                    service: service.clone(),
                    name: name.into(),
                    run_times: RunTimeHistogram::default(),
                    replicas: ReplicaCounts::default(),
                });
                self.sorted_keys.insert(index, key);
                key
            }
        }
    }

    pub(super) fn run_times(&self, key: ClassKey) -> &RunTimeHistogram {
        &self.arena[key].run_times
    }

    pub(super) fn record(&mut self, key: ClassKey, run_time: Millis) {
        self.arena[key].run_times.record(run_time);
    }

    pub(super) fn replicas(&self, key: ClassKey) -> &ReplicaCounts {
        &self.arena[key].replicas
    }

    /// Counts a long hold of the class.
    pub(super) fn add_hold(&mut self, key: ClassKey, held: &Hold) {
        if held.is_long {
            self.arena[key].replicas.add(held.vm);
        }
    }

    /// Removes a long hold of the class from the count.
    pub(super) fn remove_hold(&mut self, key: ClassKey, held: &Hold) {
        if held.is_long {
            self.arena[key].replicas.remove(held.vm);
        }
    }

    /// Replaces the declared run time by the measured one once enough tasks have finished.
    pub(super) fn apply_measured(&self, key: ClassKey, spec: &mut TaskSpec) {
        let run_times = &self.arena[key].run_times;
        if let Some(mean) = run_times.mean() {
            spec.expected_run = mean;
        }
        if let Some(run_time) = run_times.quantile(SHORT_QUANTILE) {
            spec.is_long = run_time > LONG_RUN_TIME;
        }
        spec.is_long |= spec.kind == Kind::Service;
    }
}
