//! Tests of VM ownership; they check what the stand-in workers recorded.

#[path = "ownership/checks.rs"]
mod checks;
#[path = "ownership/faults.rs"]
mod faults;
#[path = "ownership/lease.rs"]
mod lease;
#[path = "ownership/node.rs"]
mod node;
#[path = "ownership/polling.rs"]
mod polling;
#[path = "ownership/scenarios.rs"]
mod scenarios;
