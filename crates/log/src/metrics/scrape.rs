//! Exposition of the metrics in the `OpenMetrics` text format.

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Router;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use super::Counter;
use super::Gauge;
use super::Metrics;
use super::Series;

/// `Content-Type` of the `OpenMetrics` text format.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Prefix of the names of all metrics but `process_start_time_seconds`.
const PREFIX: &str = "dragonflyshed_";
/// First bound, factor and number of the buckets for times: 1 ms to 33 s, in microseconds.
const TIME_BUCKETS: (f64, f64, u16) = (1_000.0, 2.0, 16);
/// First bound, factor and number of the buckets for ratios: 1 to 35, in thousandths.
const RATIO_BUCKETS: (f64, f64, u16) = (1_000.0, 1.25, 17);

/// Labels of a histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    group: String,
    service: String,
}

type HistogramFamily = Family<Labels, Histogram, fn() -> Histogram>;

/// Histograms since the start of the process, in the order of [`Series::ALL`].
#[derive(Debug)]
pub(super) struct CumulativeHistograms([HistogramFamily; Series::ALL.len()]);

impl CumulativeHistograms {
    pub(super) fn new() -> Self {
        Self(Series::ALL.map(|series| {
            let new_histogram: fn() -> Histogram = match series {
                Series::QueueWaitUs | Series::RunTimeUs | Series::ResponseUs => || {
                    let (first, factor, count) = TIME_BUCKETS;
                    Histogram::new(exponential_buckets(first, factor, count))
                },
                Series::ResponsePermille | Series::MessagesPerTaskPermille => || {
                    let (first, factor, count) = RATIO_BUCKETS;
                    Histogram::new(exponential_buckets(first, factor, count))
                },
            };
            HistogramFamily::new_with_constructor(new_histogram)
        }))
    }

    #[expect(clippy::cast_precision_loss, reason = "samples stay far below 2^52 µs")]
    pub(super) fn record(&self, group: &GroupId, service: &ServiceName, values: &[(Series, u64)]) {
        let labels = Labels {
            group: group.to_string(),
            service: service.to_string(),
        };
        for (series, value) in values {
            let histogram = self.0[*series as usize].get_or_create(&labels);
            histogram.observe(*value as f64);
        }
    }
}

impl Metrics {
    /// Renders all metrics in the `OpenMetrics` text format.
    ///
    /// # Errors
    ///
    /// Returns an error if `prometheus_client` can't encode them.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(self.clone()));
        for (series, family) in Series::ALL.iter().zip(&self.shared.cumulative.0) {
            let help = "Distribution since the start of the process";
            registry.register(format!("{PREFIX}{series}"), help, family.clone());
        }
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

impl Collector for Metrics {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for counter in Counter::ALL {
            let value = ConstCounter::new(self.total(counter));
            let name = format!("{PREFIX}{counter}");
            let help = "Total since the start of the process";
            let metric = encoder.encode_descriptor(&name, help, None, value.metric_type())?;
            value.encode(metric)?;
        }
        for gauge in Gauge::ALL {
            let value = ConstGauge::new(self.value(gauge));
            let name = format!("{PREFIX}{gauge}");
            let metric =
                encoder.encode_descriptor(&name, "Current value", None, value.metric_type())?;
            value.encode(metric)?;
        }
        self.encode_failures(&mut encoder)?;
        let start_time = ConstGauge::new(self.shared.start_time_s);
        let name = "process_start_time_seconds";
        let help = "Start of the process, in seconds since 1970";
        let metric = encoder.encode_descriptor(name, help, None, start_time.metric_type())?;
        start_time.encode(metric)
    }
}

impl Metrics {
    fn encode_failures(&self, encoder: &mut DescriptorEncoder) -> Result<(), fmt::Error> {
        let name = format!("{PREFIX}failures");
        let help = "Submissions that were refused or failed, by reason";
        let metric_type = ConstCounter::new(0_u64).metric_type();
        let mut metric = encoder.encode_descriptor(&name, help, None, metric_type)?;
        for (reason, total) in self.failures() {
            let labels = [("reason", reason.to_string())];
            ConstCounter::new(total).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

/// Current time in seconds since the Unix epoch.
pub(super) fn unix_time_s() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs_f64()
}

/// Routes that serve the metrics at `/metrics`.
pub fn metrics_router(metrics: Metrics) -> Router {
    let handler = move || {
        let text = metrics.render();
        async move {
            (
                [(CONTENT_TYPE, OPENMETRICS_CONTENT_TYPE)],
                text.unwrap_or_default(),
            )
                .into_response()
        }
    };
    Router::new().route("/metrics", get(handler))
}
