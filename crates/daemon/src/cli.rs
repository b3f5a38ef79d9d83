//! Command-line interface of the daemon.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// The dragonflyshed daemon.
#[derive(Debug, Parser)]
#[command(version, about, after_help = EXAMPLES)]
pub struct Cli {
    /// Role of the process.
    #[command(subcommand)]
    pub role: Role,
}

const EXAMPLES: &str = "Examples:
  dragonflyshedd entry --print-settings > entry.json
  dragonflyshedd entry --settings entry.json --check-settings
  dragonflyshedd entry --settings entry.json
  dragonflyshedd agent --settings agent.json";

/// Roles, each with its options.
#[derive(Debug, Subcommand)]
pub enum Role {
    /// Takes submissions and places tasks on agents.
    Entry(Options),
    /// Runs tasks on the target next to it.
    Agent(Options),
    /// Runs a role on the users' platform, with the settings file that the platform names.
    Platform {
        /// Role of the process.
        #[command(subcommand)]
        role: PlatformRole,
    },
}

/// Roles on the users' platform, which take no options since the platform provides the settings.
#[derive(Debug, Clone, Copy, Subcommand)]
pub enum PlatformRole {
    /// Takes jobs of clients and places their tasks on agents.
    Entry,
    /// Runs tasks on the worker of its machine.
    Agent,
}

/// Options of the roles that read their settings from the command line.
#[derive(Debug, Args)]
pub struct Options {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE", required_unless_present = "print_settings")]
    pub settings: Option<PathBuf>,
    /// Checks the settings and exits.
    #[arg(long)]
    pub check_settings: bool,
    /// Prints example settings with every default and exits.
    #[arg(long, conflicts_with_all = ["settings", "check_settings"])]
    pub print_settings: bool,
}
