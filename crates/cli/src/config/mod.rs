//! `inventory`, `rules` and `config`: check, apply, show and compare documents, and wait for a
//! version.

mod apply;
mod check;
mod diff;
mod document;
mod error;
mod head;
mod show;
mod wait;

use crate::cli::ConfigCommand;
use crate::cli::InventoryCommand;
use crate::cli::RulesCommand;
use crate::error::Error;
use crate::exit::Exit;

use self::document::Document;

pub use error::ConfigFailure;

/// Runs `inventory`.
pub async fn run_inventory(command: InventoryCommand) -> Result<Exit, Error> {
    let document = Document::Inventory;
    match command {
        InventoryCommand::Check(args) => check::run(document, &args),
        InventoryCommand::Apply(args) => apply::run(document, args).await,
        InventoryCommand::Show(args) => show::run(document, args).await,
        InventoryCommand::Diff(args) => diff::run(document, args).await,
    }
}

/// Runs `rules`.
pub async fn run_rules(command: RulesCommand) -> Result<Exit, Error> {
    let document = Document::Rules;
    match command {
        RulesCommand::Check(args) => check::run(document, &args),
        RulesCommand::Apply(args) => apply::run(document, args).await,
        RulesCommand::Show(args) => show::run(document, args).await,
    }
}

/// Runs `config`.
pub async fn run_config(command: ConfigCommand) -> Result<Exit, Error> {
    match command {
        ConfigCommand::Wait(args) => wait::run(args).await,
    }
}
