//! Starts a role from its settings and runs it until it is stopped.

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

/// Exit code when the daemon fails or cannot start.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a shutdown that left requests unfinished.
const EXIT_UNFINISHED: u8 = 3;

/// Why the daemon failed.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings file could not be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    Read {
        /// Path from the command line.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Settings {
        /// Path from the command line.
        path: PathBuf,
        /// All validation errors of the file.
        source: SettingsError,
    },
    /// The example settings could not be printed.
    #[snafu(display("cannot print the settings: {source}"))]
    Print {
        /// Cause reported by the JSON serializer.
        source: serde_json::Error,
    },
    /// The async runtime could not be started.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// Signal handlers could not be installed.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// Logs or metrics could not be set up.
    #[snafu(transparent)]
    Log {
        /// Cause reported by the crate that failed.
        source: dfs_log::LogError,
    },
    /// The metrics address could not be bound.
    #[snafu(display(
        "cannot serve metrics on {address}: {source}: choose another log.metrics_address"
    ))]
    Metrics {
        /// Configured `log.metrics_address`.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The entry could not be started.
    #[snafu(transparent)]
    Entry {
        /// Cause reported by the crate that failed.
        source: dfs_entry::StartError,
    },
    /// A role could not be started on the platform.
    #[snafu(transparent)]
    Platform {
        /// Cause reported by the crate that failed.
        source: dfs_platform::StartError,
    },
    /// The agent could not be started.
    #[snafu(transparent)]
    Agent {
        /// Cause reported by the crate that failed.
        source: dfs_agent::StartError,
    },
}

/// Runs the role until it is stopped, and returns its exit code.
pub fn run(cli: Cli) -> Result<ExitCode, RunError> {
    match cli.role {
        Role::Entry(options) => match load_settings::<EntrySettings>(&options)? {
            Some((settings, path)) => multi_thread_runtime()?.block_on(run_entry(settings, path)),
            None => Ok(ExitCode::SUCCESS),
        },
        Role::Agent(options) => match load_settings::<AgentSettings>(&options)? {
            Some((settings, path)) => multi_thread_runtime()?.block_on(run_agent(settings, path)),
            None => Ok(ExitCode::SUCCESS),
        },
        Role::Platform { role } => single_thread_runtime()?.block_on(run_on_platform(role)),
    }
}

/// Settings type of a role.
trait RoleSettings: Serialize + Sized {
    fn parse(json: &str) -> Result<Self, SettingsError>;
    fn example() -> Self;
}

impl RoleSettings for EntrySettings {
    fn parse(json: &str) -> Result<Self, SettingsError> {
        Self::from_json(json)
    }

    fn example() -> Self {
        Self::example()
    }
}

impl RoleSettings for AgentSettings {
    fn parse(json: &str) -> Result<Self, SettingsError> {
        Self::from_json(json)
    }

    fn example() -> Self {
        Self::example()
    }
}

/// Returns the settings and their path, or `None` after `--print-settings` or `--check-settings`.
fn load_settings<S: RoleSettings>(options: &Options) -> Result<Option<(S, PathBuf)>, RunError> {
    let Some(path) = &options.settings else {
        println!(
            "{}",
            serde_json::to_string_pretty(&S::example()).context(PrintSnafu)?
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

fn multi_thread_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

/// Uses one thread, because the platform allots a process only a fraction of a core.
fn single_thread_runtime() -> Result<tokio::runtime::Runtime, RunError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

async fn run_on_platform(role: PlatformRole) -> Result<ExitCode, RunError> {
    let signals = Signals::install().context(SignalsSnafu)?;
    let path = dfs_platform::settings_path()?;
    match role {
        PlatformRole::Entry => {
            let file = SettingsFile::new(path, dfs_platform::check_entry);
            run_entry_until_stopped(dfs_platform::start_entry().await?, file, signals).await
        }
        PlatformRole::Agent => {
            let file = SettingsFile::new(path, dfs_platform::check_agent);
            run_agent_until_stopped(dfs_platform::start_agent().await?, file, signals).await
        }
    }
}

async fn run_entry(settings: EntrySettings, path: PathBuf) -> Result<ExitCode, RunError> {
    let signals = Signals::install().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Entry(settings.entry.clone()))?;
    serve_metrics(&settings.log, &metrics)?;
    let file = SettingsFile::new(path, |text| {
        let settings = EntrySettings::from_json(text).map_err(|error| error.to_string())?;
        Ok(settings.log.level)
    });
    run_entry_until_stopped(Entry::start(settings, metrics).await?, file, signals).await
}

async fn run_agent(settings: AgentSettings, path: PathBuf) -> Result<ExitCode, RunError> {
    let signals = Signals::install().context(SignalsSnafu)?;
    let metrics = dfs_log::init(&settings.log, &ProcessName::Agent(settings.agent.clone()))?;
    serve_metrics(&settings.log, &metrics)?;
    let file = SettingsFile::new(path, |text| {
        let settings = AgentSettings::from_json(text).map_err(|error| error.to_string())?;
        Ok(settings.log.level)
    });
    run_agent_until_stopped(Agent::start(settings, metrics).await?, file, signals).await
}

fn serve_metrics(settings: &LogSettings, metrics: &Metrics) -> Result<(), RunError> {
    if let Some(address) = settings.metrics_address {
        let served = dfs_listen::serve_metrics(address, metrics.clone());
        let address = served.context(MetricsSnafu { address })?;
        let listener = Listener::Metrics;
        dfs_log::emit(ProcessEvent::Listening { listener, address });
    }
    Ok(())
}

async fn run_entry_until_stopped(
    entry: Entry,
    mut file: SettingsFile,
    mut signals: Signals,
) -> Result<ExitCode, RunError> {
    signals.wait_for_stop_or_reload(|| file.reload()).await;
    Ok(exit_code(entry.stop(signals.wait_for_stop()).await))
}

async fn run_agent_until_stopped(
    agent: Agent,
    mut file: SettingsFile,
    mut signals: Signals,
) -> Result<ExitCode, RunError> {
    signals.wait_for_stop_or_reload(|| file.reload()).await;
    Ok(exit_code(agent.stop(signals.wait_for_stop()).await))
}

fn exit_code(outcome: ShutdownOutcome) -> ExitCode {
    match outcome {
        ShutdownOutcome::Drained => ExitCode::SUCCESS,
        ShutdownOutcome::TimedOut | ShutdownOutcome::Forced => ExitCode::from(EXIT_UNFINISHED),
    }
}
