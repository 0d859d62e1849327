//! Resource amounts of tasks and VMs.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a processor core.
    pub milli_cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Task slots.
    pub slots: u32,
    /// Connections between the owner and the VM.
    pub connections: u32,
}

impl Size {
    /// None of any resource.
    pub const ZERO: Self = Self {
        milli_cores: 0,
        memory_mb: 0,
        accelerators: 0,
        slots: 0,
        connections: 0,
    };

    /// Returns true if `self` fits into `available` in every resource.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.milli_cores <= available.milli_cores
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
            && self.connections <= available.connections
    }

    /// Returns how many times `unit` fits into `self`. Resources of which `unit` takes none set no
    /// limit.
    #[must_use]
    pub fn count_fitting(&self, unit: &Self) -> u32 {
        let quotients = [
            self.milli_cores.checked_div(unit.milli_cores),
            self.memory_mb.checked_div(unit.memory_mb),
            self.accelerators.checked_div(unit.accelerators),
            self.slots.checked_div(unit.slots),
            self.connections.checked_div(unit.connections),
        ];
        quotients.into_iter().flatten().min().unwrap_or(u32::MAX)
    }

    /// Adds each resource, saturating.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            slots: self.slots.saturating_add(other.slots),
            connections: self.connections.saturating_add(other.connections),
        }
    }

    /// Subtracts each resource, saturating at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
            connections: self.connections.saturating_sub(other.connections),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m cores, {} MB, {} accelerators, {} slots, {} connections",
            self.milli_cores, self.memory_mb, self.accelerators, self.slots, self.connections
        )
    }
}
