//! Admissions refuse tasks on arrival.

mod bounded;
mod fits;
mod in_time;
mod within_quota;
