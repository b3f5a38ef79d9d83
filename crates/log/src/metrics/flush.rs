//! Periodic, rate-limited sending of metrics over statsd.

use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Weak;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::Metric;
use cadence::MetricResult;
use cadence::StatsdClient;
use dfs_wire::api::FailureReason;
use snafu::ResultExt;

use super::Counter;
use super::Gauge;
use super::Statistic;
use super::handle::Shared;
use super::handle::lock;
use super::name::name_segment;
use super::series::KeyHistograms;
use super::series::SeriesKey;
use crate::LogError;
use crate::ProcessName;
use crate::logger::SocketSnafu;
use crate::logger::StatsdSnafu;
use crate::logger::ThreadSnafu;

/// Interval between periodic flushes.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(10);

/// Bytes after which a flush leaves the remaining histograms to the next one.
///
/// With [`FLUSH_INTERVAL`] this limits the metrics of a process to about 1 KB/s. The last histograms
/// sent can exceed it.
pub const FLUSH_BUDGET_BYTES: usize = 10_000;

/// Largest datagram; fits into an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Totals at the last flush. A flush sends the differences.
#[derive(Debug, Default)]
pub(super) struct FlushedTotals {
    counters: [u64; Counter::ALL.len()],
    failures: Vec<(FailureReason, u64)>,
}

pub(super) fn statsd_client(
    address: SocketAddr,
    process: &ProcessName,
) -> Result<StatsdClient, LogError> {
    let local_address: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local_address).context(SocketSnafu { address })?;
    socket
        .set_nonblocking(true)
        .context(SocketSnafu { address })?;
    let sink = BufferedUdpMetricSink::with_capacity(address, socket, MAX_DATAGRAM_BYTES)
        .context(StatsdSnafu { address })?;
    let prefix = match process {
        ProcessName::Entry(id) => format!("dragonflyshed.entry.{}", name_segment(id.as_str())),
        ProcessName::Agent(id) => format!("dragonflyshed.agent.{}", name_segment(id.as_str())),
    };
    Ok(StatsdClient::from_sink(&prefix, sink))
}

/// The thread ends when `shared` has been dropped elsewhere.
pub(super) fn spawn_flush_thread(shared: Weak<Shared>) -> Result<(), LogError> {
    let flush_periodically = move || {
        loop {
            thread::sleep(FLUSH_INTERVAL);
            match shared.upgrade() {
                Some(shared) => flush(&shared),
                None => return,
            }
        }
    };
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(flush_periodically)
        .context(ThreadSnafu)?;
    Ok(())
}

pub(super) fn flush(shared: &Shared) {
    let Some(client) = &shared.statsd else {
        return;
    };
    let mut bytes = send_counters(client, shared);
    bytes += send_failures(client, shared);
    bytes += send_gauges(client, shared);
    send_histograms(client, shared, bytes);
    // Metrics are lossy: what the socket does not accept is dropped.
    let _ = client.flush();
}

fn send_counters(client: &StatsdClient, shared: &Shared) -> usize {
    let mut flushed = lock(&shared.flushed);
    let mut bytes = 0;
    for counter in Counter::ALL {
        let total = shared.counters[counter as usize].load(Ordering::Relaxed);
        let last = std::mem::replace(&mut flushed.counters[counter as usize], total);
        if total > last {
            bytes += buffered_bytes(&client.count(&counter.to_string(), total - last));
        }
    }
    bytes
}

fn send_failures(client: &StatsdClient, shared: &Shared) -> usize {
    let totals = lock(&shared.failures).clone();
    let mut flushed = lock(&shared.flushed);
    let last = std::mem::replace(&mut flushed.failures, totals.clone());
    let last_total = |reason| {
        last.iter()
            .find(|(known, _)| *known == reason)
            .map_or(0, |(_, total)| *total)
    };
    totals
        .into_iter()
        .map(|(reason, total)| (reason, total - last_total(reason)))
        .filter(|(_, increase)| *increase > 0)
        .map(|(reason, increase)| {
            buffered_bytes(&client.count(&format!("refusals.{reason}"), increase))
        })
        .sum()
}

fn send_gauges(client: &StatsdClient, shared: &Shared) -> usize {
    // An unchanged value is sent again, because the datagram with it may have been lost.
    Gauge::ALL
        .into_iter()
        .map(|gauge| {
            let value = shared.gauges[gauge as usize].load(Ordering::Relaxed);
            buffered_bytes(&client.gauge(&gauge.to_string(), value))
        })
        .sum()
}

/// Sends pending histograms, oldest first, until the budget is used up.
///
/// `bytes_before` is what this flush has sent already.
fn send_histograms(client: &StatsdClient, shared: &Shared, bytes_before: usize) {
    let pending_keys = lock(&shared.pending).key_count();
    let mut bytes = bytes_before;
    for _ in 0..pending_keys {
        if bytes >= FLUSH_BUDGET_BYTES {
            return;
        }
        let oldest = lock(&shared.pending).pop_oldest();
        let Some((key, histograms)) = oldest else {
            return;
        };
        let sent_bytes = send_statistics(client, &key, &histograms);
        if sent_bytes == 0 {
            // The socket accepts nothing: stop, so that the remaining keys keep their samples.
            return;
        }
        bytes += sent_bytes;
    }
}

fn send_statistics(client: &StatsdClient, owner: &SeriesKey, histograms: &KeyHistograms) -> usize {
    histograms
        .statistics()
        .map(|(series, statistic, value)| {
            let name = format!("group.{owner}.{series}.{statistic}");
            match statistic {
                Statistic::Count => buffered_bytes(&client.count(&name, value)),
                Statistic::P50 | Statistic::P99 | Statistic::Max => {
                    buffered_bytes(&client.gauge(&name, value))
                }
            }
        })
        .sum()
}

/// Bytes of a metric with its line end; 0 if the statsd client did not accept it.
fn buffered_bytes<M: Metric>(metric: &MetricResult<M>) -> usize {
    metric
        .as_ref()
        .map_or(0, |metric| metric.as_metric_str().len() + 1)
}
