//! Placement, ordering and admission plug-ins for the scheduler.
//!
//! Each plug-in registers itself in its own file; a new one needs only that file and a `mod` line.
//! [`STANDARD`] is the set that the daemons run; [`BASELINE`] and [`RANDOM`] serve for comparison.
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

/// Order of arrival and the least loaded VM, for comparison.
pub const BASELINE: &[&str] = &["fits", "within-quota", "fifo", "least-loaded"];

/// Order of arrival and a random VM, for comparison.
pub const RANDOM: &[&str] = &["fits", "within-quota", "fifo", "random"];

/// Returns the plug-ins of [`STANDARD`].
///
/// # Panics
///
/// Panics if a plug-in of this crate is not linked into the program.
#[must_use]
pub fn standard() -> PolicySet {
    PolicySet::from_names(STANDARD.iter().copied()).expect("the plug-ins register themselves")
}

/// Makes the linker keep the plug-ins in programs that refer to them only by name.
pub const fn link() {}
