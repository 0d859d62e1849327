//! Orders: which waiting task goes first.

mod due;
mod fifo;
