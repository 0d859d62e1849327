//! Open-loop load and policy experiments.
//!
//! An experiment replays one trace of arrivals against the real scheduler and a small model of
//! workers, in virtual time, once for each policy. All arrivals are drawn before the replay, so a
//! slow system does not slow them down and every wait counts from the intended arrival.

pub mod cell;
pub mod control;
pub mod decision;
pub mod experiment;
pub mod footprint;
pub mod http_load;
pub mod packing;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod stats;
pub mod trace;

pub use replay::replay;
pub use scenario::{RawScenario, Scenario, ScenarioError};
pub use stats::Outcome;
pub use trace::{Arrival, Trace};
