//! Running a role from its settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use dfs_agent::Agent;
use dfs_conf::AgentSettings;
use dfs_conf::EntrySettings;
use dfs_conf::LogSettings;
use dfs_conf::SettingsError;
use dfs_entry::Entry;
use dfs_entry::ShutdownOutcome;
use dfs_log::ErrorText;
use dfs_log::Listener;
use dfs_log::Metrics;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::cli::Cli;
use crate::cli::Options;
use crate::cli::PlatformRole;
use crate::cli::Role;
use crate::reload::SettingsFile;
use crate::signal::Signals;

/// Exit code of a process that failed or could not start.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a shutdown that ended with requests unfinished.
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
    #[snafu(display("settings file {}: {source}", path.display()))]
    Settings {
        /// The file.
        path: PathBuf,
        /// Every fault.
        source: SettingsError,
    },
    /// The example settings could not be printed.
    #[snafu(display("cannot print the settings: {source}"))]
    Print {
        /// What the library says.
        source: serde_json::Error,
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
    /// The metrics address can't be bound.
    #[snafu(display(
        "cannot serve metrics on {address}: {source}: choose another log.metrics_address"
    ))]
    Metrics {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The entry could not be started.
    #[snafu(transparent)]
    Entry {
        /// What failed.
        source: dfs_entry::StartError,
    },
    /// A role could not be started on the platform.
    #[snafu(transparent)]
    Platform {
        /// What failed.
        source: dfs_platform::StartError,
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
        Role::Entry(options) => match load::<EntrySettings>(&options)? {
            Some((settings, path)) => runtime()?.block_on(run_entry(settings, path)),
            None => Ok(ExitCode::SUCCESS),
        },
        Role::Agent(options) => match load::<AgentSettings>(&options)? {
            Some((settings, path)) => runtime()?.block_on(run_agent(settings, path)),
            None => Ok(ExitCode::SUCCESS),
        },
        Role::Platform { role } => lean_runtime()?.block_on(run_hosted(role)),
    }
}

/// Settings of a role.
trait Settings: Serialize + Sized {
    fn parse(json: &str) -> Result<Self, SettingsError>;
    fn defaults() -> Self;
}

impl Settings for EntrySettings {
    fn parse(json: &str) -> Result<Self, SettingsError> {
        Self::from_json(json)
    }

    fn defaults() -> Self {
        Self::example()
    }
}

impl Settings for AgentSettings {
    fn parse(json: &str) -> Result<Self, SettingsError> {
        Self::from_json(json)
    }

    fn defaults() -> Self {
        Self::example()
    }
}

/// The settings to run with and their file, or none if there is nothing to run.
fn load<S: Settings>(options: &Options) -> Result<Option<(S, PathBuf)>, RunError> {
    let Some(path) = &options.settings else {
        println!(
            "{}",
            serde_json::to_string_pretty(&S::defaults()).context(PrintSnafu)?
        );
        return Ok(None);
    };
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings = S::parse(&text).context(SettingsSnafu { path });
    if let Err(error) = &settings {
        let error = ErrorText::new(error);
        dfs_log::emit(ProcessEvent::SettingsRejected { error });
    }
    let settings = settings?;
    Ok((!options.check_settings).then(|| (settings, path.clone())))
}

fn runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

/// One thread: the platform gives a process a part of one core.
fn lean_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

async fn run_hosted(role: PlatformRole) -> Result<ExitCode, RunError> {
    let signals = Signals::listen().context(SignalsSnafu)?;
    let path = dfs_platform::settings_path()?;
    match role {
        PlatformRole::Entry => {
            let file = SettingsFile::new(path, dfs_platform::check_entry);
            stop_entry(dfs_platform::start_entry().await?, file, signals).await
        }
        PlatformRole::Agent => {
            let file = SettingsFile::new(path, dfs_platform::check_agent);
            stop_agent(dfs_platform::start_agent().await?, file, signals).await
        }
    }
}

async fn run_entry(settings: EntrySettings, path: PathBuf) -> Result<ExitCode, RunError> {
    let signals = Signals::listen().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Entry(settings.entry.clone()))?;
    serve(&settings.log, &metrics).await?;
    let file = SettingsFile::new(path, |text| {
        let settings = EntrySettings::from_json(text).map_err(|error| error.to_string())?;
        Ok(settings.log.level)
    });
    stop_entry(Entry::start(settings, metrics).await?, file, signals).await
}

async fn run_agent(settings: AgentSettings, path: PathBuf) -> Result<ExitCode, RunError> {
    let signals = Signals::listen().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Agent(settings.agent.clone()))?;
    serve(&settings.log, &metrics).await?;
    let file = SettingsFile::new(path, |text| {
        let settings = AgentSettings::from_json(text).map_err(|error| error.to_string())?;
        Ok(settings.log.level)
    });
    stop_agent(Agent::start(settings, metrics).await?, file, signals).await
}

async fn serve(settings: &LogSettings, metrics: &Metrics) -> Result<(), RunError> {
    if let Some(address) = settings.metrics_address {
        let served = dfs_log::serve_metrics(address, metrics.clone()).await;
        let address = served.context(MetricsSnafu { address })?;
        let listener = Listener::Metrics;
        dfs_log::emit(ProcessEvent::Listening { listener, address });
    }
    Ok(())
}

async fn stop_entry(
    entry: Entry,
    mut file: SettingsFile,
    mut signals: Signals,
) -> Result<ExitCode, RunError> {
    signals.stop_or(|| file.reload()).await;
    Ok(exit_code(entry.stop(signals.stop()).await))
}

async fn stop_agent(
    agent: Agent,
    mut file: SettingsFile,
    mut signals: Signals,
) -> Result<ExitCode, RunError> {
    signals.stop_or(|| file.reload()).await;
    Ok(exit_code(agent.stop(signals.stop()).await))
}

fn exit_code(outcome: ShutdownOutcome) -> ExitCode {
    match outcome {
        ShutdownOutcome::Drained => ExitCode::SUCCESS,
        ShutdownOutcome::TimedOut | ShutdownOutcome::Forced => ExitCode::from(EXIT_CUT),
    }
}
