//! Open-loop load and policy experiments.

pub mod cell;
pub mod control;
