//! The logger of the process.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Once;
use std::time::Instant;

use dfs_conf::LogLevel;
use dfs_conf::LogSettings;
use snafu::ResultExt;
use snafu::Snafu;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::Sink;
use spdlog::sink::WriteSink;

use crate::Event;
use crate::Limiter;
use crate::Metrics;
use crate::ProcessEvent;
use crate::ProcessName;

/// Done once a logger with the format of events is the default one of the library.
static INSTALL: Once = Once::new();

/// Lines that may wait for the thread that writes them.
const QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

static LIMITER: LazyLock<Limiter> = LazyLock::new(Limiter::default);

/// Why logs or metrics could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The logging library refused the logger.
    #[snafu(display("cannot set up the log on standard output"))]
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

/// Sets up the log of this process on standard output, and its metrics.
///
/// Lines wait in a bounded queue for a thread that writes them, so that a reader which stands still
/// costs lines and no time.
///
/// # Errors
///
/// If the log or the UDP socket of the metrics can't be set up.
pub fn init(settings: &LogSettings, process: &ProcessName) -> Result<Metrics, LogError> {
    let queue = ThreadPool::builder()
        .capacity(QUEUED_LINES)
        .build_arc()
        .context(LoggerSnafu)?;
    let sink = AsyncPoolSink::builder()
        .sink(sink(io::stdout())?)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(queue)
        .error_handler(|error| {
            if let spdlog::Error::SendToChannel(_, dropped) = error
                && let spdlog::error::SendToChannelErrorDropped::Record(record) = dropped
            {
                LIMITER.lost(number_of(record.payload()));
            }
        })
        .build_arc()
        .context(LoggerSnafu)?;
    let logger = with_sink(settings.level, sink)?;
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
    with_sink(level, sink(writer)?)
}

fn sink(writer: impl Write + Send + 'static) -> Result<Arc<dyn Sink>, LogError> {
    let line = pattern!("{date}T{time}.{millisecond}{tz_offset} {level} {payload}{eol}");
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .context(LoggerSnafu)?;
    Ok(sink)
}

fn with_sink(level: LogLevel, sink: Arc<dyn Sink>) -> Result<Arc<Logger>, LogError> {
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
        if let Ok(logger) = logger(LogLevel::default(), io::stdout()) {
            spdlog::set_default_logger(logger);
        }
    });
    let event = event.into();
    let logger = spdlog::default_logger();
    if !logger.should_log(severity(event.level())) {
        return;
    }
    let verdict = LIMITER.admit(event.kind(), Instant::now());
    for (number, lines) in verdict.left_out {
        emit_to(&logger, ProcessEvent::LinesLeftOut { number, lines });
    }
    if verdict.is_written {
        emit_to(&logger, event);
    }
}

/// Number of the event of a line.
fn number_of(payload: &str) -> u16 {
    let number = payload.split(' ').next().unwrap_or_default();
    number.parse().unwrap_or_default()
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
