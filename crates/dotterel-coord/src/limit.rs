//! Limits on the work sent to a VM: adaptive concurrency and ejection of failing VMs.

mod adaptive;
mod outlier;

pub use self::adaptive::{AdaptiveLimit, CallOutcome};
pub use self::outlier::{EjectionState, Health, OutlierDetector};
