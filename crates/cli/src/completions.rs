//! `completions`: shell completion scripts.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::cli::Cli;
use crate::error::Error;
use crate::exit::Exit;
use crate::output;

/// Prints the completion script of a shell.
pub fn run(shell: Shell) -> Result<Exit, Error> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "dragonflyshed", &mut script);
    output::write(&script)?;
    Ok(Exit::Success)
}
