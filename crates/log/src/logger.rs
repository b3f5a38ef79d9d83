//! The logger of the process.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Once;

use dfs_conf::LogLevel;
use dfs_conf::LogSettings;
use snafu::ResultExt;
use snafu::Snafu;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::WriteSink;

use crate::Event;
use crate::Metrics;
use crate::ProcessName;

/// Done once a logger with the format of events is the default one of the library.
static INSTALL: Once = Once::new();

/// Why logs or metrics could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The logging library refused the logger.
    #[snafu(display("cannot set up the log on standard error"))]
    Logger {
        /// The library's error.
        source: spdlog::Error,
    },
    /// No UDP socket for the statsd server.
    #[snafu(display(
        "cannot open a UDP socket for statsd at {address}: check log.statsd_address and the limit of open files"
    ))]
    Socket {
        /// Address from the settings.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The statsd library refused the address.
    #[snafu(display("cannot send metrics to {address}: check log.statsd_address"))]
    Statsd {
        /// Address from the settings.
        address: SocketAddr,
        /// The library's error.
        source: cadence::MetricError,
    },
    /// No thread for the periodic flush of metrics.
    #[snafu(display("cannot start the thread that flushes metrics: check the limit of threads"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

/// Sets up the log of this process and its metrics.
///
/// # Errors
///
/// If the log or the UDP socket of the metrics can't be set up.
pub fn init(settings: &LogSettings, process: &ProcessName) -> Result<Metrics, LogError> {
    let logger = logger(settings.level, io::stderr())?;
    INSTALL.call_once(|| {});
    spdlog::set_default_logger(logger);
    let metrics = Metrics::new(settings.statsd_address, process)?;
    if settings.statsd_address.is_some() {
        metrics.start_flushing()?;
    }
    Ok(metrics)
}

/// A logger that writes one line for each event of at least this severity.
///
/// # Errors
///
/// If the library refuses the logger.
pub fn logger(
    level: LogLevel,
    writer: impl Write + Send + 'static,
) -> Result<Arc<Logger>, LogError> {
    let line = pattern!("{date}T{time}.{millisecond}{tz_offset} {level} {payload}{eol}");
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .context(LoggerSnafu)?;
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(severity(level)))
        .build_arc()
        .context(LoggerSnafu)
}

/// Writes an event to the log of this process.
///
/// Before [`init`] the level is the default one, so that rejected settings can be reported.
pub fn emit(event: impl Into<Event>) {
    INSTALL.call_once(|| {
        if let Ok(logger) = logger(LogLevel::default(), io::stderr()) {
            spdlog::set_default_logger(logger);
        }
    });
    emit_to(&spdlog::default_logger(), event);
}

/// Writes an event to a logger.
pub fn emit_to(logger: &Logger, event: impl Into<Event>) {
    let event = event.into();
    spdlog::log!(logger: logger, severity(event.level()), "{event}");
}

const fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Changes the least severe events that are written by this process.
pub fn set_level(level: LogLevel) {
    let filter = LevelFilter::MoreSevereEqual(severity(level));
    spdlog::default_logger().set_level_filter(filter);
}
