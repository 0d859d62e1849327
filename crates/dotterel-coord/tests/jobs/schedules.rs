//! Random schedules of faults.
