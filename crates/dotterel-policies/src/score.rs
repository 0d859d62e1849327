//! Scores rate the VMs on which a task could be placed.

mod least_loaded;
mod pack;
mod random;
mod spread;
