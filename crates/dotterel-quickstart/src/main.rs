//! The whole system in one process on loopback, for a first look.
//!
//! Starts a stand-in platform, four stand-in workers and two entry nodes in two data centres, puts
//! the sample documents in force, sends a few requests and prints the account.

mod args;
mod cell;
mod tour;

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
        Err(fault) => {
            eprintln!("dotterel-quickstart: {fault:#}");
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
    logging::start(log).map_err(|fault| anyhow::anyhow!("log: {fault}"))?;
    let cell = Cell::start(args.listen)
        .await
        .context("starting the cell")?;
    tour::show(&cell).await?;
    wait(args.seconds).await?;
    println!("stopping: leases are handed over and open requests answered");
    cell.stop().await;
    println!("stopped");
    Ok(())
}

/// Waits for a signal, or for the time that the command line gives.
async fn wait(seconds: Option<u64>) -> anyhow::Result<()> {
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
