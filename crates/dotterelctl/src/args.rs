//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

const EXAMPLES: &str = "\
Examples:
  dotterelctl validate quotes.toml
  dotterelctl --entry 127.0.0.1:8080 get quotes > quotes.toml
  dotterelctl --entry 127.0.0.1:8080 apply quotes.toml
  dotterelctl --entry 127.0.0.1:8080 account --hours 12
  dotterelctl --entry 127.0.0.1:8080 why 019af2c4-7d1e-7c52-b0a4-3f6f0c1d2e3f
  dotterelctl --entry 127.0.0.1:8080 --json status

Exit codes:
  0  done
  1  the node refused the call
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
