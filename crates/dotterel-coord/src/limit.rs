//! How much a VM is given: adaptive concurrency, and setting failing VMs aside.

mod adaptive;
mod outlier;

pub use self::adaptive::{AdaptiveLimit, CallOutcome};
pub use self::outlier::{EjectionState, Health, OutlierDetector};
