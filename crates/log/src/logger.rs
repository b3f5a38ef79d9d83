//! Set-up of the process-wide logger, and writing of events to it.

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
use crate::Metrics;
use crate::ProcessEvent;
use crate::ProcessName;
use crate::RateLimiter;

/// Completed once the default logger of `spdlog` writes in the format of events.
static DEFAULT_LOGGER_INIT: Once = Once::new();

/// Capacity of the queue to the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

static RATE_LIMITER: LazyLock<RateLimiter> = LazyLock::new(RateLimiter::default);

/// Errors from setting up logging or metrics.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// `spdlog` could not build the logger or its sink.
    #[snafu(display("cannot set up the log on standard output"))]
    Logger {
        /// Error from `spdlog`.
        source: spdlog::Error,
    },
    /// The UDP socket to the statsd server could not be opened.
    #[snafu(display(
        "cannot open a UDP socket for statsd at {address}: check log.statsd_address and the limit of open files"
    ))]
    Socket {
        /// Value of `log.statsd_address`.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The statsd client could not use the address.
    #[snafu(display("cannot send metrics to {address}: check log.statsd_address"))]
    Statsd {
        /// Value of `log.statsd_address`.
        address: SocketAddr,
        /// Error from `cadence`.
        source: cadence::MetricError,
    },
    /// The thread that flushes metrics could not be started.
    #[snafu(display("cannot start the thread that flushes metrics: check the limit of threads"))]
    Thread {
        /// Error from the operating system.
        source: io::Error,
    },
}

/// Sets up logging to standard output, and the metrics of this process.
///
/// A separate thread writes the lines from a bounded queue. If standard output is not read, lines
/// are dropped and counted, but [`emit`] does not block.
///
/// # Errors
///
/// Returns an error if the logger, the statsd client or the flush thread can't be set up.
pub fn init(settings: &LogSettings, process: &ProcessName) -> Result<Metrics, LogError> {
    let queue = ThreadPool::builder()
        .capacity(MAX_QUEUED_LINES)
        .build_arc()
        .context(LoggerSnafu)?;
    let sink = AsyncPoolSink::builder()
        .sink(line_sink(io::stdout())?)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(queue)
        .error_handler(|error| {
            if let spdlog::Error::SendToChannel(_, dropped) = error
                && let spdlog::error::SendToChannelErrorDropped::Record(record) = dropped
            {
                RATE_LIMITER.record_dropped(event_number(record.payload()));
            }
        })
        .build_arc()
        .context(LoggerSnafu)?;
    let logger = logger_with_sink(settings.level, sink)?;
    // From here on `emit` no longer installs its own default logger.
    DEFAULT_LOGGER_INIT.call_once(|| {});
    spdlog::set_default_logger(logger);
    let metrics = Metrics::new(settings.statsd_address, process)?;
    if settings.statsd_address.is_some() {
        metrics.start_flushing()?;
    }
    Ok(metrics)
}

/// Builds a logger that writes one line per event of at least this level, without a queue.
///
/// # Errors
///
/// Returns [`LogError::Logger`] if `spdlog` can't build it.
pub fn new_logger(
    level: LogLevel,
    writer: impl Write + Send + 'static,
) -> Result<Arc<Logger>, LogError> {
    logger_with_sink(level, line_sink(writer)?)
}

fn line_sink(writer: impl Write + Send + 'static) -> Result<Arc<dyn Sink>, LogError> {
    let line_pattern = pattern!("{date}T{time}.{millisecond}{tz_offset} {level} {payload}{eol}");
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(PatternFormatter::new(line_pattern))
        .build_arc()
        .context(LoggerSnafu)?;
    Ok(sink)
}

fn logger_with_sink(level: LogLevel, sink: Arc<dyn Sink>) -> Result<Arc<Logger>, LogError> {
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(level)))
        .build_arc()
        .context(LoggerSnafu)
}

/// Writes an event to the log of this process, subject to the rate limit.
///
/// Before [`init`] events are written at the default level, so that rejected settings can be
/// reported.
pub fn emit(event: impl Into<Event>) {
    DEFAULT_LOGGER_INIT.call_once(|| {
        if let Ok(logger) = new_logger(LogLevel::default(), io::stdout()) {
            spdlog::set_default_logger(logger);
        }
    });
    let event = event.into();
    let logger = spdlog::default_logger();
    if !logger.should_log(spdlog_level(event.level())) {
        return;
    }
    let admission = RATE_LIMITER.admit(event.kind(), Instant::now());
    for (number, lines) in admission.dropped {
        emit_to(&logger, ProcessEvent::LinesLeftOut { number, lines });
    }
    if admission.is_admitted {
        emit_to(&logger, event);
    }
}

/// Parses the event number at the start of a line; 0 if there is none.
fn event_number(payload: &str) -> u16 {
    let number = payload.split(' ').next().unwrap_or_default();
    number.parse().unwrap_or_default()
}

/// Writes an event to the given logger, without a rate limit.
pub fn emit_to(logger: &Logger, event: impl Into<Event>) {
    let event = event.into();
    spdlog::log!(logger: logger, spdlog_level(event.level()), "{event}");
}

const fn spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Sets the level of the process's log: less severe events are not written.
pub fn set_level(level: LogLevel) {
    let filter = LevelFilter::MoreSevereEqual(spdlog_level(level));
    spdlog::default_logger().set_level_filter(filter);
}
