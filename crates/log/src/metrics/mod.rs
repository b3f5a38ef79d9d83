//! Counters, gauges, and histograms per group and service, for scraping and statsd.

mod flush;
mod handle;
mod name;
mod scrape;
mod series;

pub use flush::FLUSH_BUDGET_BYTES;
pub use flush::FLUSH_INTERVAL;
pub use handle::Metrics;
pub use name::Counter;
pub use name::Gauge;
pub use name::Series;
pub use name::Statistic;
pub use scrape::metrics_router;
pub use series::MAX_SERIES_PAIRS;
