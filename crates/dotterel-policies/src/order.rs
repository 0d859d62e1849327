//! Orders sort the queued tasks.

mod due;
mod fifo;
