//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

const EXAMPLES: &str = "\
Examples:
  dotterelctl validate quotes.toml
  dotterelctl config check cell.json --against cell-in-force.json
  dotterelctl --entry 127.0.0.1:8080 get quotes > quotes.toml
  dotterelctl --entry 127.0.0.1:8080 apply quotes.toml
  dotterelctl --entry 127.0.0.1:8080 account --hours 12
  dotterelctl --entry 127.0.0.1:8080 why 019af2c4-7d1e-7c52-b0a4-3f6f0c1d2e3f
  dotterelctl --entry 127.0.0.1:8080 --json status

Exit codes:
  0  done
  1  the node refused the call, or a checked configuration has errors
  2  the command line or a local file is at fault
  3  no entry node could be reached
  4  another operator changed the document first";

/// Edits documents and shows what happened to every request.
#[derive(Clone, Debug, Parser)]
#[command(name = "dotterelctl", version, after_help = EXAMPLES)]
pub struct Args {
    /// IP address and port of any entry node.
    #[arg(long, default_value = "127.0.0.1:8080", global = true)]
    pub entry: String,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Timeout of each call, in milliseconds.
    #[arg(long, default_value_t = 5000, global = true)]
    pub timeout_ms: u64,
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Apply a document.
    ///
    /// The revision that the edit is based on is taken from --expect, or from the first line that
    /// `get` writes. A document without either is applied only if the service has none yet.
    Apply {
        /// The document in TOML.
        file: PathBuf,
        /// The revision that the edit is based on.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Check a document locally, without a node.
    Validate {
        /// The document in TOML.
        file: PathBuf,
    },
    /// Check the operator's configuration of a cell.
    Config {
        /// The command.
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Print the current document of a service, ready to edit and apply.
    Get {
        /// The service.
        service: String,
    },
    /// Print how many requests ran, are waiting and were dropped.
    Account {
        /// Show only this service.
        #[arg(long)]
        service: Option<String>,
        /// Cover this many past hours.
        #[arg(long, default_value_t = 12)]
        hours: u64,
    },
    /// Show the outcome of one request and the reason for it.
    Why {
        /// The request's id, from the Dotterelrelay-Request header of the response.
        request: String,
    },
    /// Print the nodes, the VMs and the current documents.
    Status,
}

/// The subcommands of `config`.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a configuration locally, without a node.
    ///
    /// Uses the parser of the running node. Prints errors and warnings with line, column and field, and with
    /// --against what differs from the version in force. API keys are never printed.
    Check {
        /// The configuration in JSON.
        file: PathBuf,
        /// The version in force, to compare with.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
        /// CPU of the smallest usual task, in thousandths of a core, to compare with caps.
        #[arg(long, default_value_t = 0)]
        min_cpu: u32,
        /// Memory of the smallest usual task, in MB, to compare with caps.
        #[arg(long, default_value_t = 0)]
        min_mem_mb: u32,
        /// Count warnings as errors for the exit code.
        #[arg(long)]
        strict: bool,
    },
}
