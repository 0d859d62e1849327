//! Sums over a fleet, kept up to date with every change.

use super::Vm;
use crate::size::Size;

/// Sums over the VMs of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Capacity of the VMs that accept work.
    pub capacity: Size,
    /// What is held on all VMs.
    pub used: Size,
    /// What long work holds on all VMs.
    pub long: Size,
    /// How many short tasks of typical size fit beside long work on accepting VMs.
    pub short_room: u32,
    /// Each distinct capacity with its number of VMs.
    shapes: Vec<(Size, u32)>,
}

impl Totals {
    /// Returns true when an empty VM of some present shape could hold `size`.
    #[must_use]
    pub fn could_hold(&self, size: &Size) -> bool {
        self.shapes.iter().any(|(shape, _)| size.fits(shape))
    }

    /// Returns the largest part of any resource that `size` takes of the accepting VMs.
    #[must_use]
    pub fn share(&self, size: &Size) -> f64 {
        let part = |asked: u32, all: u32| match (asked, all) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            _ => f64::from(asked) / f64::from(all),
        };
        part(size.slots, self.capacity.slots)
            .max(part(size.milli_cores, self.capacity.milli_cores))
            .max(part(size.memory_mb, self.capacity.memory_mb))
            .max(part(size.accelerators, self.capacity.accelerators))
            .max(part(size.connections, self.capacity.connections))
    }

    pub(super) fn add(&mut self, vm: &Vm, unit: &Size) {
        if vm.accepting {
            self.capacity = self.capacity.plus(&vm.capacity);
        }
        self.used = self.used.plus(&vm.used);
        self.long = self.long.plus(&vm.long);
        self.short_room += vm.short_room(unit);
        match self.shapes.iter_mut().find(|s| s.0 == vm.capacity) {
            Some(shape) => shape.1 += 1,
            None => self.shapes.push((vm.capacity, 1)),
        }
    }

    pub(super) fn subtract(&mut self, vm: &Vm, unit: &Size) {
        if vm.accepting {
            self.capacity = self.capacity.minus(&vm.capacity);
        }
        self.used = self.used.minus(&vm.used);
        self.long = self.long.minus(&vm.long);
        self.short_room -= vm.short_room(unit);
        if let Some(shape) = self.shapes.iter_mut().find(|s| s.0 == vm.capacity) {
            shape.1 -= 1;
        }
        self.shapes.retain(|shape| shape.1 > 0);
    }
}
