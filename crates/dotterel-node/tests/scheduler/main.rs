//! Tests of the scheduler on a platform in memory.

mod faults;
mod odd_entries;
mod outages;
mod restarted_vm;
mod support;
mod two_leaders;
mod world;
