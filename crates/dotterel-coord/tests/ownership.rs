//! Ownership of VMs, judged by what the stand-in workers saw.

#[path = "ownership/faults.rs"]
mod faults;
#[path = "ownership/judge.rs"]
mod judge;
#[path = "ownership/lease.rs"]
mod lease;
#[path = "ownership/node.rs"]
mod node;
#[path = "ownership/questions.rs"]
mod questions;
#[path = "ownership/scenarios.rs"]
mod scenarios;
