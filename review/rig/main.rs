//! The trials of the review: `rig CASE FOLDER`, from the root of the repository after the build of
//! the deploy file.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0`, the disruption is left out.

mod cases;
mod wire;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::Ordering;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    world::limit_trial(std::time::Duration::from_secs(117));
    let trial = std::panic::catch_unwind(|| cases::run(&case, &folder, trouble));
    exit(match trial {
        Ok(broken) => i32::from(broken),
        Err(_) => {
            if !world::CANNOT_RUN.load(Ordering::SeqCst) {
                println!("the trial itself has failed");
            }
            2
        }
    });
}
