//! VMs in use against a lower bound.
//!
//! The bound adds up what runs and divides it by what one VM holds, resource by resource, as if
//! tasks could be cut into pieces. No placement can use fewer VMs, whatever it knows in advance.

use dotterel_kernel::{Fleet, Size};

/// Sums of sizes, wide enough for whole fleets.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    cores: f64,
    memory: f64,
    accelerators: f64,
    slots: f64,
}

/// VMs in use at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// VMs that run anything.
    pub used: u32,
    /// The fewest that could run it.
    pub bound: u32,
}

impl Sum {
    fn add(&mut self, size: &Size) {
        self.cores += f64::from(size.milli_cores);
        self.memory += f64::from(size.memory_mb);
        self.accelerators += f64::from(size.accelerators);
        self.slots += f64::from(size.slots);
    }

    fn minus(&self, size: &Size, count: f64) -> Self {
        let left = |all: f64, one: u32| (all - f64::from(one) * count).max(0.0);
        Self {
            cores: left(self.cores, size.milli_cores),
            memory: left(self.memory, size.memory_mb),
            accelerators: left(self.accelerators, size.accelerators),
            slots: left(self.slots, size.slots),
        }
    }

    /// Returns how many VMs of this capacity the sum fills at least.
    fn vms(&self, capacity: &Size) -> f64 {
        let part = |sum: f64, one: u32| if one == 0 { 0.0 } else { sum / f64::from(one) };
        part(self.cores, capacity.milli_cores)
            .max(part(self.memory, capacity.memory_mb))
            .max(part(self.slots, capacity.slots))
            .max(part(self.accelerators, capacity.accelerators))
            .ceil()
    }
}

/// Compares the VMs in use with the fewest possible.
///
/// The fleet has one shape with accelerators at most and one without.
#[must_use]
pub fn compare(fleet: &Fleet) -> Use {
    let mut sum = Sum::default();
    let mut used = 0;
    let mut plain = Size::ZERO;
    let mut accelerated = Size::ZERO;
    for (_, vm) in fleet.iter() {
        sum.add(&vm.used);
        used += u32::from(vm.used != Size::ZERO);
        if vm.capacity.accelerators > 0 {
            accelerated = vm.capacity;
        } else {
            plain = vm.capacity;
        }
    }
    let accelerators = Sum {
        accelerators: sum.accelerators,
        ..Sum::default()
    };
    let first = accelerators.vms(&accelerated);
    let rest = sum.minus(&accelerated, first);
    let shape = if plain == Size::ZERO {
        accelerated
    } else {
        plain
    };
    Use {
        used,
        bound: (first + rest.vms(&shape)) as u32,
    }
}

/// Returns the mean of the VMs in use and of the bound.
#[must_use]
pub fn mean(samples: &[Use]) -> Option<(f64, f64)> {
    let count = samples.len() as f64;
    let used: u32 = samples.iter().map(|sample| sample.used).sum();
    let bound: u32 = samples.iter().map(|sample| sample.bound).sum();
    (!samples.is_empty()).then(|| (f64::from(used) / count, f64::from(bound) / count))
}
