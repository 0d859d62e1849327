//! Open-loop load and policy experiments.

fn main() {}
