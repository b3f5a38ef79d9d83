//! Command-line tool of dragonflyshed for callers, who submit work, and for operators.

mod cli;
mod client;
mod completions;
mod config;
mod demo;
mod error;
mod exit;
mod explain;
mod input;
mod load;
mod options;
mod output;
mod status;
mod submit;

use std::process::ExitCode;

use clap::Parser;
use snafu::ResultExt;

use crate::cli::Cli;
use crate::cli::Command;
use crate::error::Error;
use crate::error::RuntimeSnafu;
use crate::exit::Exit;

fn main() -> ExitCode {
    let exit = run(Cli::parse()).unwrap_or_else(|error| {
        eprintln!("error: {}", error.chain());
        error.exit()
    });
    exit.into()
}

fn run(cli: Cli) -> Result<Exit, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let exit = runtime.block_on(dispatch(cli.command));
    // Does not wait for a thread that is blocked reading standard input.
    runtime.shutdown_background();
    exit
}

async fn dispatch(command: Command) -> Result<Exit, Error> {
    match command {
        Command::Job(command) => submit::run_job(command).await,
        Command::Request(command) => submit::run_request(command).await,
        Command::Inventory(command) => config::run_inventory(command).await,
        Command::Rules(command) => config::run_rules(command).await,
        Command::Config(command) => config::run_config(command).await,
        Command::Status(args) => status::run(args).await,
        Command::Explain(args) => explain::run(&args),
        Command::Load(args) => load::run(args).await,
        Command::Demo => demo::run().await,
        Command::Completions { shell } => completions::run(shell),
    }
}
