//! Entry point of the operators' command-line tool.

use std::process::ExitCode;

use clap::Parser;
use dotterelctl::{Args, Client, CommandError, command};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let client = Client::new(&args.entry, args.timeout_ms);
    match command::run(&client, &args).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(err @ CommandError::Unsound(_)) => {
            print!("{err}");
            err.exit_code()
        }
        Err(err) => {
            eprintln!("dotterelctl: {err}");
            err.exit_code()
        }
    }
}
