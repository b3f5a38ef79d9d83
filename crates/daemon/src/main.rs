//! `dragonflyshedd`: the daemon with a subcommand for each role.

mod cli;
mod run;
mod signal;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

fn main() -> ExitCode {
    match run::run(Cli::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("dragonflyshedd: {error}");
            ExitCode::from(run::EXIT_FAILED)
        }
    }
}
