//! Filters: which VMs a task must not go to.

mod keep_clear;
mod short_reserve;
