//! Filters: which VMs a task must not go to.

mod accelerator_room;
mod keep_clear;
mod short_reserve;
