//! Measures a cell under faults, in real time.
//!
//! `cargo bench -p dotterel-entry --bench faults -- [EXPERIMENT|all] [--short] [--seed N]`
//!
//! Each experiment starts a new cell of two data centres with two nodes and twelve workers of eight
//! slots each, under open-loop load. The phase before the fault is the baseline of the run.

#[expect(dead_code, reason = "some items are used by the scenarios only")]
#[path = "../../tests/promises/callers.rs"]
mod callers;
#[expect(dead_code, reason = "some items are used by the scenarios only")]
#[path = "../../tests/promises/cell.rs"]
mod cell;
mod experiments;
mod load;
#[expect(dead_code, reason = "some items are used by the scenarios only")]
#[path = "../../tests/promises/monitor.rs"]
mod monitor;
#[expect(dead_code, reason = "some items are used by the scenarios only")]
#[path = "../../tests/promises/node.rs"]
mod node;
#[path = "../../tests/promises/relay.rs"]
mod relay;
mod report;
mod takeover;

use std::process::ExitCode;

const DEFAULT_SEED: u64 = 20_261;

/// Command-line options.
struct Options {
    names: Vec<String>,
    short: bool,
    seed: u64,
}

fn parse(mut args: impl Iterator<Item = String>) -> Result<Options, String> {
    let mut options = Options {
        names: Vec::new(),
        short: false,
        seed: DEFAULT_SEED,
    };
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--short" => options.short = true,
            "--seed" => {
                let text = args.next().unwrap_or_default();
                let seed = text.parse();
                options.seed = seed.map_err(|err| format!("--seed {text}: {err}"))?;
            }
            // Cargo appends this argument.
            "--bench" => {}
            "all" => options.names.extend(experiments::NAMES.map(str::to_owned)),
            name if experiments::NAMES.contains(&name) => options.names.push(name.to_owned()),
            other => {
                let known = experiments::NAMES.join(", ");
                return Err(format!(
                    "{other} is not an experiment; there are {known}, all"
                ));
            }
        }
    }
    Ok(options)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let options = match parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(2);
        }
    };
    for name in &options.names {
        println!(
            "\n### {name}: seed {}, short {}",
            options.seed, options.short
        );
        experiments::run(name, options.seed, options.short).await;
    }
    ExitCode::SUCCESS
}
