//! Open-loop load and policy experiments.
