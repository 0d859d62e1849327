//! The operators' command-line tool.
//!
//! Each module under [`command`] implements one command and formats its output.
//! [`client`] makes the HTTP requests, [`table`] aligns columns and [`error`] defines the exit
//! codes.

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod table;
pub mod time_format;

pub use args::{Args, Command, ConfigCommand};
pub use client::{Client, Reply};
pub use error::CommandError;
pub use table::Table;
