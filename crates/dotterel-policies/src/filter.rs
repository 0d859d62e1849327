//! Filters exclude VMs for a task.

mod accelerator_room;
mod keep_clear;
mod short_reserve;
