//! Open-loop load and policy experiments.

use anyhow::Result;
use clap::{Parser, Subcommand};
use dotterel_load::{cell, control, decision, experiment, footprint, http_load};

/// Measures policies and running entry nodes.
#[derive(Parser)]
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

#[tokio::main]
async fn main() -> Result<()> {
    match Args::parse().command {
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
