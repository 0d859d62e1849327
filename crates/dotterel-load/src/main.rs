//! Command line of the load generator and the policy experiments.

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
  0  completed
  1  failed, for the reason printed
  2  invalid command line";

/// Compares scheduling policies and measures running entry nodes.
#[derive(Parser)]
#[command(name = "dotterel-load", version, after_help = EXAMPLES)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a fake platform and fake workers and writes settings files for entry nodes.
    Cell(cell::Options),
    /// Measures the CPU, memory and control traffic of running entry nodes, idle or under load.
    Control(control::Options),
    /// Replays an experiment in virtual time, once per policy.
    Experiment(experiment::Options),
    /// Sends requests to running entry nodes and counts the responses by fate.
    Run(http_load::Options),
    /// Measures the memory used by the scheduler's state.
    Footprint,
    /// Times individual decisions of the scheduler under the standard policy.
    Decisions(decision::Options),
}

fn main() -> ExitCode {
    match run(Args::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("dotterel-load: {err:#}");
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
