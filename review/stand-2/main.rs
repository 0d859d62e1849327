//! Runs a case of the review: `stand-2 CASE FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out; with `KEEP=1` the nodes' logs are kept.

use std::path::Path;
use std::process::exit;

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod store;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        println!("usage: stand-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let broken = match case.as_str() {
        "crashes" => cases::crashes(trouble, &record),
        "large" => cases::large(trouble, &record),
        "verdict" => cases::verdict(trouble, &record),
        "schedule" => cases::schedule(trouble, &record),
        "kinds" => cases::kinds(trouble, &record),
        "racks" => cases::racks(trouble, &record),
        "alone" => cases::alone(trouble, &record),
        "pending" => cases::pending(trouble, &record),
        "letters" => cases::letters(trouble, &record),
        _ => None,
    };
    match broken {
        Some(true) => record.say("the rule was broken"),
        Some(false) => record.say("the rule held"),
        None => record.say("the case couldn't run"),
    }
    exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
