//! `dragonflyshedd`: the daemon with a subcommand for each role.

mod cli;
mod reload;
mod run;
mod signal;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

fn main() -> ExitCode {
    abort_on_panic();
    #[cfg(feature = "failpoints")]
    let _scenario = fail::FailScenario::setup();
    match run::run(Cli::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("dragonflyshedd: {error}");
            ExitCode::from(run::EXIT_FAILED)
        }
    }
}

/// Ends the process on any panic: without its core it would keep sessions and callers waiting, while
/// a process that is gone is replaced.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}
