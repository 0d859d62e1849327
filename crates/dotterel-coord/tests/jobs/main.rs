//! Tests of durable jobs under failures; they check what the stand-in workers recorded.

mod cluster;
mod crashes;
mod owner;
mod random_faults;
mod scenarios;
