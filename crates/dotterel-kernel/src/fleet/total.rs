//! Sums over the VMs of a fleet, updated with every change.

use super::Vm;
use crate::size::Size;

/// Sums over the VMs of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Capacity of the accepting VMs.
    pub capacity: Size,
    /// Capacity held on all VMs.
    pub used: Size,
    /// Capacity held by long work on all VMs.
    pub long_used: Size,
    /// Number of typical short tasks that fit beside long work on the accepting VMs.
    pub short_task_capacity: u32,
    /// The distinct capacities of the VMs.
    shapes: Vec<Shape>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shape {
    capacity: Size,
    vms: u32,
    accepting: u32,
}

impl Totals {
    /// Returns true if `size` would fit on some VM that is empty.
    #[must_use]
    pub fn fits_any_vm(&self, size: &Size) -> bool {
        self.shapes.iter().any(|shape| size.fits(&shape.capacity))
    }

    /// Returns true if `size` would fit on some accepting VM that is empty.
    #[must_use]
    pub fn fits_accepting_vm(&self, size: &Size) -> bool {
        let mut accepting_shapes = self.shapes.iter().filter(|shape| shape.accepting > 0);
        accepting_shapes.any(|shape| size.fits(&shape.capacity))
    }

    /// Returns the dominant share of `size`: the largest fraction that it takes of any resource of
    /// the accepting VMs.
    #[must_use]
    pub fn dominant_share(&self, size: &Size) -> f64 {
        let fraction = |requested: u32, total: u32| match (requested, total) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            _ => f64::from(requested) / f64::from(total),
        };
        fraction(size.slots, self.capacity.slots)
            .max(fraction(size.milli_cores, self.capacity.milli_cores))
            .max(fraction(size.memory_mb, self.capacity.memory_mb))
            .max(fraction(size.accelerators, self.capacity.accelerators))
            .max(fraction(size.connections, self.capacity.connections))
    }

    pub(super) fn add(&mut self, vm: &Vm, short_task_size: &Size) {
        if vm.accepting {
            self.capacity = self.capacity.plus(&vm.capacity);
        }
        self.used = self.used.plus(&vm.used);
        self.long_used = self.long_used.plus(&vm.long_used);
        self.short_task_capacity += vm.short_task_capacity(short_task_size);
        let shape = self.shape(&vm.capacity);
        shape.vms += 1;
        shape.accepting += u32::from(vm.accepting);
    }

    pub(super) fn subtract(&mut self, vm: &Vm, short_task_size: &Size) {
        if vm.accepting {
            self.capacity = self.capacity.minus(&vm.capacity);
        }
        self.used = self.used.minus(&vm.used);
        self.long_used = self.long_used.minus(&vm.long_used);
        self.short_task_capacity -= vm.short_task_capacity(short_task_size);
        let shape = self.shape(&vm.capacity);
        shape.vms -= 1;
        shape.accepting -= u32::from(vm.accepting);
        self.shapes.retain(|shape| shape.vms > 0);
    }

    fn shape(&mut self, capacity: &Size) -> &mut Shape {
        let found = self.shapes.iter().position(|s| s.capacity == *capacity);
        let index = found.unwrap_or(self.shapes.len());
        if index == self.shapes.len() {
            self.shapes.push(Shape {
                capacity: *capacity,
                vms: 0,
                accepting: 0,
            });
        }
        &mut self.shapes[index]
    }
}
