//! How a live cell behaves under faults, in real time.
//!
//! `cargo bench -p dotterel-entry --bench faults -- [EXPERIMENT|all] [--short] [--seed N]`
//!
//! Every experiment starts a cell of its own with two data centres, two nodes and twelve workers
//! of eight slots in each, and sends it calls at scheduled times, whether or not earlier ones have
//! been answered. The phase before the fault is the baseline of the same run.

#[expect(dead_code, reason = "the scenarios use more of it")]
#[path = "../../tests/promises/callers.rs"]
mod callers;
#[expect(dead_code, reason = "the scenarios use more of it")]
#[path = "../../tests/promises/cell.rs"]
mod cell;
mod experiments;
mod load;
#[expect(dead_code, reason = "the scenarios use more of it")]
#[path = "../../tests/promises/node.rs"]
mod node;
#[path = "../../tests/promises/relay.rs"]
mod relay;
mod report;
mod takeover;
#[expect(dead_code, reason = "the scenarios use more of it")]
#[path = "../../tests/promises/watch.rs"]
mod watch;

use std::process::ExitCode;

const DEFAULT_SEED: u64 = 20_261;

/// What the command line asks for.
struct Asked {
    names: Vec<String>,
    short: bool,
    seed: u64,
}

fn parse(mut args: impl Iterator<Item = String>) -> Result<Asked, String> {
    let mut asked = Asked {
        names: Vec::new(),
        short: false,
        seed: DEFAULT_SEED,
    };
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--short" => asked.short = true,
            "--seed" => {
                let text = args.next().unwrap_or_default();
                let seed = text.parse();
                asked.seed = seed.map_err(|fault| format!("--seed {text}: {fault}"))?;
            }
            // Cargo adds this.
            "--bench" => {}
            "all" => asked.names.extend(experiments::NAMES.map(str::to_owned)),
            name if experiments::NAMES.contains(&name) => asked.names.push(name.to_owned()),
            other => {
                let known = experiments::NAMES.join(", ");
                return Err(format!(
                    "{other} is not an experiment; there are {known}, all"
                ));
            }
        }
    }
    Ok(asked)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let asked = match parse(std::env::args().skip(1)) {
        Ok(asked) => asked,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    for name in &asked.names {
        println!("\n### {name}: seed {}, short {}", asked.seed, asked.short);
        experiments::run(name, asked.seed, asked.short).await;
    }
    ExitCode::SUCCESS
}
