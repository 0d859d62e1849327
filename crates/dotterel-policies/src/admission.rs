//! Admissions: which tasks are told at once that they will not run.

mod bounded;
mod fits;
mod in_time;
mod within_quota;
