//! Open-loop load and policy experiments.

use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use dotterel_load::scenario::RawPolicy;
use dotterel_load::{RawScenario, Scenario, Trace, decision, replay, report};

/// Measures policies and running entry nodes.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays an experiment under each of its policies, in virtual time.
    Experiment {
        /// The experiment's TOML file.
        file: PathBuf,
        /// Overrides the seed of the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Where to write the figures as CSV.
        #[arg(long)]
        csv: Option<PathBuf>,
    },
    /// Times single decisions of the standard policy.
    Decisions {
        /// Numbers of VMs.
        #[arg(long, value_delimiter = ',', default_value = "48,480,3400")]
        vms: Vec<u32>,
        /// Decisions for each number.
        #[arg(long, default_value_t = 100_000)]
        rounds: usize,
    },
}

fn main() -> Result<()> {
    match Args::parse().command {
        Command::Experiment { file, seed, csv } => experiment(&file, seed, csv),
        Command::Decisions { vms, rounds } => {
            decisions(&vms, rounds);
            Ok(())
        }
    }
}

fn experiment(file: &PathBuf, seed: Option<u64>, csv: Option<PathBuf>) -> Result<()> {
    let text = fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))?;
    let mut raw: RawScenario = toml::from_str(&text)?;
    raw.seed = seed.unwrap_or(raw.seed);
    let scenario = Scenario::try_from(raw)?;
    let mut outcomes = Vec::new();
    for load in &scenario.raw.loads {
        let trace = Trace::draw(&scenario, *load);
        if let Some(name) = &scenario.raw.alone {
            let class = scenario.raw.classes.iter().position(|c| c.name == *name);
            let only = trace.only(class.context("`alone` names no class")?);
            let policy = RawPolicy {
                name: "standard".to_owned(),
                plugins: None,
            };
            let mut outcome = replay(&scenario, &only, &policy, *load)?;
            outcome.policy = "alone".to_owned();
            outcomes.push(outcome);
        }
        for policy in &scenario.raw.policies {
            outcomes.push(replay(&scenario, &trace, policy, *load)?);
        }
    }
    print!("{}", report::table(&scenario, &outcomes));
    if let Some(path) = csv {
        fs::write(&path, report::csv(&scenario, &outcomes))
            .with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

fn decisions(vms: &[u32], rounds: usize) {
    println!(
        "{:>6} {:>6} {:>8} {:>11} {:>11} {:>13} {:>13} {:>13}",
        "vms",
        "fill",
        "queued",
        "submit p50",
        "submit p99",
        "handover p50",
        "handover p99",
        "placements/s"
    );
    for count in vms {
        for (fill, queued) in [(0.5, 0), (0.9, 0), (1.0, 10_000)] {
            let cost = decision::measure(*count, fill, queued, rounds);
            let micros = |nanos: u64| nanos as f64 / 1000.0;
            println!(
                "{count:>6} {fill:>6.2} {queued:>8} {:>8.1} us {:>8.1} us {:>10.1} us {:>10.1} us {:>13.0}",
                micros(cost.submits.value_at_quantile(0.5)),
                micros(cost.submits.value_at_quantile(0.99)),
                micros(cost.handovers.value_at_quantile(0.5)),
                micros(cost.handovers.value_at_quantile(0.99)),
                cost.rate,
            );
        }
    }
}
