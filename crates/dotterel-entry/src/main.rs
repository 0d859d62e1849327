//! Runs an entry node until it is signalled to stop.

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
  SIGTERM, SIGINT   graceful shutdown: hands leases over, completes requests in flight

Exit codes:
  0  graceful shutdown, or the checked settings are valid
  1  failed to start or to run
  2  invalid command line
  3  invalid settings";

const EXIT_INVALID_SETTINGS: u8 = 3;

/// Accepts callers' requests and runs them on VMs.
#[derive(Debug, Parser)]
#[command(name = "dotterel-entry", version, after_help = EXAMPLES)]
struct Args {
    /// Runs a node with the settings in this file.
    #[arg(long, value_name = "FILE", required_unless_present = "check_config")]
    config: Option<PathBuf>,

    /// Validates the settings in this file and exits.
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
        Err(err) => {
            eprintln!("{}: {err}", path.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check {
        println!("{}: sound", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("dotterel-entry: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    logging::start(settings.log).map_err(|err| anyhow::anyhow!("{err}"))?;
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
