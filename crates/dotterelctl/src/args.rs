//! The command line's arguments.

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

/// Edits documents and reads the account that the system keeps of every request.
#[derive(Clone, Debug, Parser)]
#[command(name = "dotterelctl", version, after_help = EXAMPLES)]
pub struct Args {
    /// IP address and port of any entry node.
    #[arg(long, default_value = "127.0.0.1:8080", global = true)]
    pub entry: String,
    /// Print JSON in place of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// Longest wait for an answer, in milliseconds.
    #[arg(long, default_value_t = 5000, global = true)]
    pub timeout_ms: u64,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Put a document in force.
    ///
    /// The revision that the edit started from is taken from --expect or from the first line that
    /// `get` writes. A document without either is taken as new.
    Apply {
        /// The document in TOML.
        file: PathBuf,
        /// The revision that the edit started from.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Check a document without a node.
    Validate {
        /// The document in TOML.
        file: PathBuf,
    },
    /// Print the document in force, ready to edit and apply.
    Get {
        /// The service.
        service: String,
    },
    /// Print what ran, what waits and what was dropped.
    Account {
        /// Only this service.
        #[arg(long)]
        service: Option<String>,
        /// How far back to look.
        #[arg(long, default_value_t = 12)]
        hours: u64,
    },
    /// Tell what became of one request and why.
    Why {
        /// The request, as in the answer's Dotterelrelay-Request header.
        request: String,
    },
    /// Print the nodes, the VMs and the documents in force.
    Status,
}
