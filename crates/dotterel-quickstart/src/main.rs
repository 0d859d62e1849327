//! Demonstration of the whole system in one process on loopback.
//!
//! Starts a fake platform, four fake workers and two entry nodes in two data centres, applies the
//! sample documents, sends a few requests and prints the status and the account.

mod args;
mod cell;
mod demo;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use dotterel_entry::logging;
use dotterel_entry::settings::{LogFormat, LogSettings};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::Args;
use crate::cell::Cell;

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("dotterel-quickstart: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &Args) -> anyhow::Result<()> {
    let log = LogSettings {
        level: args.log,
        format: LogFormat::Text,
    };
    logging::start(log).map_err(|err| anyhow::anyhow!("log: {err}"))?;
    let cell = Cell::start(args.listen)
        .await
        .context("starting the cell")?;
    demo::run(&cell).await?;
    wait_for_stop(args.seconds).await?;
    println!("stopping: leases are handed over and open requests answered");
    cell.stop().await;
    println!("stopped");
    Ok(())
}

/// Waits for SIGTERM or SIGINT, at most `seconds` if given.
async fn wait_for_stop(seconds: Option<u64>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let timer = async {
        match seconds {
            Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = timer => {}
    }
    Ok(())
}
