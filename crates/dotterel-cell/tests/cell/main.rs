//! A cell's decisions, without a network.

mod advice;
mod capacity;
mod durable;
mod gangs;
mod stall;
mod support;
mod takeover;
