//! `dragonflyshedd`: the daemon, with one subcommand per role.

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

/// Aborts the process on any panic: if only the panicking task ended, sessions and callers would
/// keep waiting for it, whereas a process that exits is replaced.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}
