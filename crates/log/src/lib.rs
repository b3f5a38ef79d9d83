//! Structured log events on standard output, and metrics for scraping and statsd.
//!
//! Every event has a stable number and a fixed set of fields.

mod event;
mod limit;
mod logger;
mod metrics;

pub use event::AccusedTasks;
pub use event::ClientLimit;
pub use event::ConfigEvent;
pub use event::ConfigSource;
pub use event::ErrorText;
pub use event::Event;
pub use event::EventKind;
pub use event::Listener;
pub use event::NotReadyCause;
pub use event::ProcessEvent;
pub use event::ProcessName;
pub use event::RequestEvent;
pub use event::SessionEvent;
pub use event::TargetEvent;
pub use event::TaskList;
pub use limit::Admission;
pub use limit::DroppedLines;
pub use limit::RateLimiter;
pub use logger::LogError;
pub use logger::emit;
pub use logger::emit_to;
pub use logger::init;
pub use logger::new_logger;
pub use logger::set_level;
pub use metrics::Counter;
pub use metrics::FLUSH_BUDGET_BYTES;
pub use metrics::FLUSH_INTERVAL;
pub use metrics::Gauge;
pub use metrics::MAX_SERIES_PAIRS;
pub use metrics::Metrics;
pub use metrics::Series;
pub use metrics::Statistic;
pub use metrics::metrics_router;
