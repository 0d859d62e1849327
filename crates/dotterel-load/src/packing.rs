//! Compares the number of VMs in use with a lower bound.
//!
//! The bound divides the total of each resource in use by the capacity of one VM, as if tasks could
//! be split. No placement can use fewer VMs, even one computed with all tasks known in advance.

use dotterel_kernel::{Fleet, Size};

/// Total resources in use, as `f64` because the totals of a whole fleet can overflow `u32`.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceTotals {
    cores: f64,
    memory: f64,
    accelerators: f64,
    slots: f64,
}

/// VMs in use at one point in time, and the lower bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmUsage {
    /// VMs that run at least one task.
    pub used: u32,
    /// Lower bound on the VMs needed for the same tasks.
    pub bound: u32,
}

impl ResourceTotals {
    fn add(&mut self, size: &Size) {
        self.cores += f64::from(size.milli_cores);
        self.memory += f64::from(size.memory_mb);
        self.accelerators += f64::from(size.accelerators);
        self.slots += f64::from(size.slots);
    }

    /// Subtracts `count` times `size`, down to zero.
    fn minus(&self, size: &Size, count: f64) -> Self {
        let remaining = |total: f64, each: u32| (total - f64::from(each) * count).max(0.0);
        Self {
            cores: remaining(self.cores, size.milli_cores),
            memory: remaining(self.memory, size.memory_mb),
            accelerators: remaining(self.accelerators, size.accelerators),
            slots: remaining(self.slots, size.slots),
        }
    }

    /// Returns the lower bound on the VMs of this capacity that hold the total.
    fn min_vms(&self, capacity: &Size) -> f64 {
        let ratio = |total: f64, capacity: u32| {
            if capacity == 0 {
                0.0
            } else {
                total / f64::from(capacity)
            }
        };
        ratio(self.cores, capacity.milli_cores)
            .max(ratio(self.memory, capacity.memory_mb))
            .max(ratio(self.slots, capacity.slots))
            .max(ratio(self.accelerators, capacity.accelerators))
            .ceil()
    }
}

/// Counts the VMs in use and computes the lower bound.
///
/// Assumes that all VMs with accelerators have the same capacity, and all VMs without them too.
#[must_use]
pub fn measure_usage(fleet: &Fleet) -> VmUsage {
    let mut total = ResourceTotals::default();
    let mut used = 0;
    let mut plain_capacity = Size::ZERO;
    let mut accelerated_capacity = Size::ZERO;
    for (_, vm) in fleet.iter() {
        total.add(&vm.used);
        used += u32::from(vm.used != Size::ZERO);
        if vm.capacity.accelerators > 0 {
            accelerated_capacity = vm.capacity;
        } else {
            plain_capacity = vm.capacity;
        }
    }
    let accelerators = ResourceTotals {
        accelerators: total.accelerators,
        ..ResourceTotals::default()
    };
    let accelerated_vms = accelerators.min_vms(&accelerated_capacity);
    let remainder = total.minus(&accelerated_capacity, accelerated_vms);
    let rest_capacity = if plain_capacity == Size::ZERO {
        accelerated_capacity
    } else {
        plain_capacity
    };
    VmUsage {
        used,
        bound: (accelerated_vms + remainder.min_vms(&rest_capacity)) as u32,
    }
}

/// Returns the mean number of VMs in use and the mean bound, or `None` without samples.
#[must_use]
pub fn mean_usage(samples: &[VmUsage]) -> Option<(f64, f64)> {
    let count = samples.len() as f64;
    let used: u32 = samples.iter().map(|sample| sample.used).sum();
    let bound: u32 = samples.iter().map(|sample| sample.bound).sum();
    (!samples.is_empty()).then(|| (f64::from(used) / count, f64::from(bound) / count))
}
