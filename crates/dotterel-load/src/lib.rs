//! Open-loop load generation and policy experiments.
//!
//! An experiment replays one trace of arrivals against the real scheduler and a simple model of the
//! workers, in virtual time, once per policy. All arrivals are generated before the replay, so a
//! slow system does not delay them, and each wait is measured from the intended arrival time.

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
pub use stats::ReplayOutcome;
pub use trace::{Arrival, Trace};
