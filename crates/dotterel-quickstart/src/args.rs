//! Command-line arguments.

use std::net::SocketAddr;

use clap::Parser;
use log::LevelFilter;

const EXAMPLES: &str = "\
Examples:
  dotterel-quickstart
  dotterel-quickstart --for 30
  dotterel-quickstart --listen 127.0.0.1:9000 --log info";

/// Runs the whole system in one process on loopback.
#[derive(Clone, Debug, Parser)]
#[command(name = "dotterel-quickstart", version, after_help = EXAMPLES)]
pub(crate) struct Args {
    /// Address on which the first entry node listens for callers.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
    /// Stop after this time; by default the process runs until SIGINT (Ctrl-C) or SIGTERM.
    #[arg(long = "for", value_name = "SECONDS")]
    pub seconds: Option<u64>,
    /// Minimum log level: off, error, warn, info, debug or trace.
    #[arg(long, value_name = "LEVEL", default_value = "warn")]
    pub log: LevelFilter,
}
