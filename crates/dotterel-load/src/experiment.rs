//! The command that replays an experiment under each of its policies.

use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;

use crate::scenario::RawPolicy;
use crate::{Outcome, RawScenario, Scenario, Trace, replay, report};

/// What to replay.
#[derive(Args)]
pub struct Options {
    /// The experiment's TOML file.
    file: PathBuf,
    /// Overrides the seed of the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Where to write the figures as CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
}

/// Replays an experiment and prints its table.
///
/// # Errors
///
/// Returns what is wrong with the file, or an error of reading or writing one.
pub fn run(options: &Options) -> Result<()> {
    let path = options.file.display();
    let text = fs::read_to_string(&options.file).with_context(|| format!("reading {path}"))?;
    let mut raw: RawScenario = toml::from_str(&text)?;
    raw.seed = options.seed.unwrap_or(raw.seed);
    let scenario = Scenario::try_from(raw)?;
    let mut outcomes = Vec::new();
    for load in &scenario.raw.loads {
        let trace = Trace::draw(&scenario, *load);
        outcomes.extend(alone(&scenario, &trace, *load)?);
        for policy in &scenario.raw.policies {
            outcomes.push(replay(&scenario, &trace, policy, *load)?);
        }
    }
    print!("{}", report::table(&scenario, &outcomes));
    if let Some(path) = &options.csv {
        fs::write(path, report::csv(&scenario, &outcomes))
            .with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}

/// Replays the reference class without the others.
fn alone(scenario: &Scenario, trace: &Trace, load: f64) -> Result<Option<Outcome>> {
    let Some(name) = &scenario.raw.alone else {
        return Ok(None);
    };
    let class = scenario.raw.classes.iter().position(|c| c.name == *name);
    let only = trace.only(class.context("`alone` names no class")?);
    let policy = RawPolicy {
        name: "standard".to_owned(),
        plugins: None,
    };
    let mut outcome = replay(scenario, &only, &policy, load)?;
    outcome.policy = "alone".to_owned();
    Ok(Some(outcome))
}
