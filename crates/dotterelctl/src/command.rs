//! The commands, with one module for each.

pub mod account;
pub mod apply;
pub mod config;
pub mod get;
pub mod status;
pub mod validate;
pub mod why;

use serde::Serialize;

use crate::args::{Args, Command};
use crate::client::Client;
use crate::error::CommandError;

/// Runs the command and returns its output.
///
/// # Errors
///
/// Returns the error of the command, which determines the exit code.
pub async fn run(client: &Client, args: &Args) -> Result<String, CommandError> {
    match &args.command {
        Command::Apply { file, expect } => apply::run(client, file, *expect, args.json).await,
        Command::Validate { file } => validate::run(file, args.json),
        Command::Config { command } => config::run(command, args.json),
        Command::Get { service } => get::run(client, service).await,
        Command::Account { service, hours } => {
            account::run(client, service.as_deref(), *hours, args.json).await
        }
        Command::Why { request } => why::run(client, request, args.json).await,
        Command::Status => status::run(client, args.json).await,
    }
}

fn json_text<T: Serialize>(value: &T) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value);
    text.map(|text| text + "\n")
        .map_err(|err| CommandError::Unreachable(err.to_string()))
}

fn read_file(path: &std::path::Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|err| CommandError::Usage(format!("{}: {err}", path.display())))
}
