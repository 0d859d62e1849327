//! Tests of a cell's decisions, without network access.

mod advice;
mod capacity;
mod durable;
mod gangs;
mod replace;
mod stall;
mod stored_lists;
mod support;
mod takeover;
