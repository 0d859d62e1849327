//! Open-loop load and policy experiments.

use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand};
use dotterel_load::{cell, control, decision, experiment, footprint, http_load};

const EXAMPLES: &str = "\
Examples:
  dotterel-load experiment docs/experiments/head-of-line.toml --csv head-of-line.csv
  dotterel-load decisions
  dotterel-load run --help

Exit codes:
  0  done
  1  it could not be run, for the reason printed
  2  wrong command line";

/// Measures policies and running entry nodes.
#[derive(Parser)]
#[command(name = "dotterel-load", version, after_help = EXAMPLES)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs stand-ins for the platform and workers and writes settings for entry nodes.
    Cell(cell::Options),
    /// Samples what running entry nodes spend on control, idle or under a steady load.
    Control(control::Options),
    /// Replays an experiment under each of its policies, in virtual time.
    Experiment(experiment::Options),
    /// Loads running entry nodes and counts the fates that they tell.
    Run(http_load::Options),
    /// Measures the memory of a scheduler's state.
    Footprint,
    /// Times single decisions of the standard policy.
    Decisions(decision::Options),
}

fn main() -> ExitCode {
    match run(Args::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("dotterel-load: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> Result<()> {
    match command {
        Command::Cell(options) => cell::run(&options).await,
        Command::Control(options) => control::run(&options).await,
        Command::Experiment(options) => experiment::run(&options),
        Command::Run(options) => http_load::run(&options).await,
        Command::Footprint => footprint::run(),
        Command::Decisions(options) => {
            decision::run(&options);
            Ok(())
        }
    }
}
