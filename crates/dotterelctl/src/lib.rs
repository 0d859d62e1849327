//! The operators' command line.
//!
//! Each command is one module under [`command`] that turns an answer of an entry node into text.
//! [`client`] speaks HTTP, [`table`] aligns columns and [`error`] names the exit codes.

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod table;
pub mod time_format;

pub use args::{Args, Command};
pub use client::{Client, Reply};
pub use error::CommandError;
pub use table::Table;
