//! The `experiment` command: replays a scenario under each of its policies.

use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;

use crate::scenario::RawPolicy;
use crate::{RawScenario, ReplayOutcome, Scenario, Trace, replay, report};

/// Scenario to replay and where the results go.
#[derive(Args)]
pub struct Options {
    /// TOML file of the experiment.
    file: PathBuf,
    /// Seed to use instead of the one in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// CSV file to write the results to.
    #[arg(long)]
    csv: Option<PathBuf>,
}

/// Replays an experiment and prints a table of the results.
///
/// # Errors
///
/// Returns an error when the scenario is invalid or a file cannot be read or written.
pub fn run(options: &Options) -> Result<()> {
    let path = options.file.display();
    let text = fs::read_to_string(&options.file).with_context(|| format!("reading {path}"))?;
    let mut raw: RawScenario = toml::from_str(&text)?;
    raw.seed = options.seed.unwrap_or(raw.seed);
    let scenario = Scenario::try_from(raw)?;
    let mut outcomes = Vec::new();
    for load in &scenario.raw.loads {
        let trace = Trace::draw(&scenario, *load);
        outcomes.extend(replay_reference(&scenario, &trace, *load)?);
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

/// Replays the class that the scenario names in `alone`, without the other classes.
fn replay_reference(
    scenario: &Scenario,
    trace: &Trace,
    load: f64,
) -> Result<Option<ReplayOutcome>> {
    let Some(name) = &scenario.raw.alone else {
        return Ok(None);
    };
    let class = scenario.raw.classes.iter().position(|c| c.name == *name);
    let reference =
        trace.only_class(class.context("`alone` does not name a class of the scenario")?);
    let policy = RawPolicy {
        name: "standard".to_owned(),
        plugins: None,
    };
    let mut outcome = replay(scenario, &reference, &policy, load)?;
    outcome.policy = "alone".to_owned();
    Ok(Some(outcome))
}
