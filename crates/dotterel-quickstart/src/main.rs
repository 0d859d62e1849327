//! The whole system in one process on loopback, for a first look.

fn main() {}
