//! How much a VM is given: adaptive concurrency, and setting failing VMs aside.

mod adaptive;
mod set_aside;

pub use self::adaptive::{Adaptive, Outcome};
pub use self::set_aside::{Health, SetAside, Standing};
