//! Scores: which of the possible VMs suits a task best.

mod least_loaded;
mod pack;
mod random;
mod spread;
