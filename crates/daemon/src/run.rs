//! Running a role from its settings.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use dfs_agent::Agent;
use dfs_conf::AgentSettings;
use dfs_conf::EntrySettings;
use dfs_entry::Entry;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

use crate::cli::Cli;
use crate::cli::Options;
use crate::cli::Role;
use crate::signal::StopSignals;

/// Exit code of a process that failed or could not start.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a planned stop that cut requests off.
const EXIT_CUT: u8 = 3;

/// Why the daemon ended.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings file could not be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("settings file {}: {message}", path.display()))]
    Settings {
        /// The file.
        path: PathBuf,
        /// Every fault.
        message: String,
    },
    /// The runtime could not be started.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// What the system says.
        source: std::io::Error,
    },
    /// Signals could not be handled.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// What the system says.
        source: std::io::Error,
    },
    /// Logs or metrics could not be set up.
    #[snafu(transparent)]
    Log {
        /// What failed.
        source: dfs_log::LogError,
    },
    /// The entry could not be started.
    #[snafu(transparent)]
    Entry {
        /// What failed.
        source: dfs_entry::StartError,
    },
    /// The agent could not be started.
    #[snafu(transparent)]
    Agent {
        /// What failed.
        source: dfs_agent::StartError,
    },
}

/// Runs the role until it is stopped.
pub fn run(cli: Cli) -> Result<ExitCode, RunError> {
    match cli.role {
        Role::Entry(options) => {
            let Some(settings) = load::<EntrySettings>(&options)? else {
                return Ok(ExitCode::SUCCESS);
            };
            runtime()?.block_on(run_entry(settings))
        }
        Role::Agent(options) => {
            let Some(settings) = load::<AgentSettings>(&options)? else {
                return Ok(ExitCode::SUCCESS);
            };
            runtime()?.block_on(run_agent(settings))
        }
    }
}

/// The settings to run with, or none if there is nothing to run.
fn load<S: DeserializeOwned>(options: &Options) -> Result<Option<S>, RunError> {
    let Some(path) = &options.settings else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings = parse(path, &text)?;
    Ok((!options.check_settings).then_some(settings))
}

fn parse<S: DeserializeOwned>(path: &Path, text: &str) -> Result<S, RunError> {
    serde_json::from_str(text).map_err(|error| RunError::Settings {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

async fn run_entry(settings: EntrySettings) -> Result<ExitCode, RunError> {
    let mut signals = StopSignals::listen().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Entry(settings.entry.clone()))?;
    let entry = Entry::start(settings, metrics).await?;
    signals.next().await;
    let kind = tokio::select! {
        kind = entry.stop() => kind,
        () = signals.next() => return Ok(second_signal()),
    };
    Ok(match kind {
        dfs_entry::StopKind::Drained => ExitCode::SUCCESS,
        dfs_entry::StopKind::BoundPassed => ExitCode::from(EXIT_CUT),
    })
}

async fn run_agent(settings: AgentSettings) -> Result<ExitCode, RunError> {
    let mut signals = StopSignals::listen().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Agent(settings.agent.clone()))?;
    let agent = Agent::start(settings, metrics).await?;
    signals.next().await;
    let kind = tokio::select! {
        kind = agent.stop() => kind,
        () = signals.next() => return Ok(second_signal()),
    };
    Ok(match kind {
        dfs_agent::StopKind::Drained => ExitCode::SUCCESS,
        dfs_agent::StopKind::BoundPassed => ExitCode::from(EXIT_CUT),
    })
}

fn second_signal() -> ExitCode {
    dfs_log::emit(ProcessEvent::SecondSignal { open: 0 });
    ExitCode::from(EXIT_CUT)
}
