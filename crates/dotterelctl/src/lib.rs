//! The operators' command line.
//!
//! Each command is one module under [`command`] that turns an answer of an entry node into text.
//! [`client`] speaks HTTP, [`table`] aligns columns and [`exit`] names the exit codes.

pub mod args;
pub mod client;
pub mod command;
pub mod exit;
pub mod moment;
pub mod table;

pub use args::{Args, Command};
pub use client::{Client, Reply};
pub use exit::Exit;
pub use table::Table;
