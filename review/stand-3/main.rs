//! Stand-ins, clients and judges of the cases 11 to 15 that are scripts.

mod broken_workers;
mod cluster;
mod high_priority;
mod http;
mod json;
mod no_tenants;
mod poison_job;
mod record;
mod store;
mod two_runs;
mod vm;
mod world;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("stand-3 CASE FOLDER");
        exit(2);
    };
    let folder = Path::new(folder);
    cluster::limit_time();
    let held = match case.as_str() {
        "poison-job" => poison_job::run(folder),
        "broken-workers" => broken_workers::run(folder),
        "high-priority" => high_priority::run(folder),
        "two-runs" => two_runs::run(folder),
        "no-tenants" => no_tenants::run(folder),
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    match held {
        Ok(true) => println!("held"),
        Ok(false) => {
            println!("broken");
            exit(1);
        }
        Err(err) => {
            eprintln!("the case couldn't run: {err}");
            exit(2);
        }
    }
}
