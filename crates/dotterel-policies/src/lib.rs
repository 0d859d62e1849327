//! Placement, ordering and admission plug-ins for the kernel.
//!
//! Each plug-in stands in a file of its own and registers itself; a new one needs nothing else
//! but its file and the `mod` line. [`STANDARD`] and [`BASELINE`] are the two sets of names in use.
//!
//! ```
//! use dotterel_kernel::Scheduler;
//!
//! let scheduler = Scheduler::new(dotterel_policies::standard());
//! assert_eq!(scheduler.load().queued, 0);
//! ```

mod admission;
mod filter;
mod order;
mod score;

use dotterel_kernel::PolicySet;

/// The policy that the daemons run.
pub const STANDARD: &[&str] = &[
    "fits",
    "within-quota",
    "bounded",
    "in-time",
    "short-reserve",
    "keep-clear",
    "accelerator-room",
    "spread",
    "pack",
    "due",
];

/// Arrival order with the least loaded VM, for comparison.
pub const BASELINE: &[&str] = &["fits", "within-quota", "fifo", "least-loaded"];

/// Arrival order with a random VM, for comparison.
pub const RANDOM: &[&str] = &["fits", "within-quota", "fifo", "random"];

/// Returns the plug-ins of [`STANDARD`].
///
/// # Panics
///
/// Panics when a plug-in of this crate was not linked, which is a fault of the build.
#[must_use]
pub fn standard() -> PolicySet {
    PolicySet::from_names(STANDARD.iter().copied()).expect("the plug-ins register themselves")
}

/// Makes the linker keep this crate's plug-ins in programs that only use their names.
pub const fn link() {}
