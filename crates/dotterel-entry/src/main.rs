//! The entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use dotterel_entry::{Dependencies, Node, Settings, logging};
use tokio::signal::unix::{SignalKind, signal};

const EXAMPLES: &str = "\
Examples:
  dotterel-entry --config /etc/dotterelrelay/entry.toml
  dotterel-entry --check-config /etc/dotterelrelay/entry.toml

Signals:
  SIGTERM, SIGINT   planned stop: leases go to their heirs, requests in flight are answered

Exit codes:
  0  stopped as planned, or the checked settings are sound
  1  could not start or run
  2  wrong command line
  3  the settings are faulty";

const EXIT_SETTINGS: u8 = 3;

/// Takes callers' requests and runs them on VMs.
#[derive(Debug, Parser)]
#[command(name = "dotterel-entry", version, after_help = EXAMPLES)]
struct Args {
    /// Runs a node with the settings in this file.
    #[arg(long, value_name = "FILE", required_unless_present = "check_config")]
    config: Option<PathBuf>,

    /// Checks the settings in this file and exits.
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    check_config: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let check = args.check_config.is_some();
    let Some(path) = args.check_config.or(args.config) else {
        return ExitCode::FAILURE;
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{}: {fault}", path.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: sound", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("dotterel-entry: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    logging::init(settings.log).map_err(|fault| anyhow::anyhow!("{fault}"))?;
    let deps = Dependencies::http(&settings);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings, deps).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}
