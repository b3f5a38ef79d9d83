//! Periodic sending of metrics with a bounded rate.

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
use super::name::segment;
use super::series::Owner;
use super::series::Samples;
use crate::LogError;
use crate::ProcessName;
use crate::logger::SocketSnafu;
use crate::logger::StatsdSnafu;
use crate::logger::ThreadSnafu;

/// Time between two flushes.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(10);

/// Bytes after which a flush leaves the remaining histograms to the next one.
///
/// With [`FLUSH_INTERVAL`] this bounds the metrics of a process to about 1 KB a second.
pub const FLUSH_BYTES: usize = 10_000;

/// Fits an Ethernet frame.
const DATAGRAM_BYTES: usize = 1_400;

/// Totals at the last flush.
#[derive(Debug, Default)]
pub(super) struct Sent {
    counters: [u64; Counter::ALL.len()],
    failures: Vec<(FailureReason, u64)>,
}

pub(super) fn client(address: SocketAddr, process: &ProcessName) -> Result<StatsdClient, LogError> {
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local).context(SocketSnafu { address })?;
    socket
        .set_nonblocking(true)
        .context(SocketSnafu { address })?;
    let sink = BufferedUdpMetricSink::with_capacity(address, socket, DATAGRAM_BYTES)
        .context(StatsdSnafu { address })?;
    let prefix = match process {
        ProcessName::Entry(id) => format!("dragonflyshed.entry.{}", segment(id.as_str())),
        ProcessName::Agent(id) => format!("dragonflyshed.agent.{}", segment(id.as_str())),
    };
    Ok(StatsdClient::from_sink(&prefix, sink))
}

pub(super) fn start(shared: Weak<Shared>) -> Result<(), LogError> {
    let run = move || {
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
        .spawn(run)
        .context(ThreadSnafu)?;
    Ok(())
}

pub(super) fn flush(shared: &Shared) {
    let Some(client) = &shared.client else {
        return;
    };
    let mut bytes = send_counters(client, shared);
    bytes += send_failures(client, shared);
    bytes += send_gauges(client, shared);
    send_series(client, shared, bytes);
    // Metrics are lossy: what the socket does not take is dropped.
    let _ = client.flush();
}

fn send_counters(client: &StatsdClient, shared: &Shared) -> usize {
    let mut sent = lock(&shared.sent);
    let mut bytes = 0;
    for counter in Counter::ALL {
        let total = shared.counters[counter as usize].load(Ordering::Relaxed);
        let last = std::mem::replace(&mut sent.counters[counter as usize], total);
        if total > last {
            bytes += size(&client.count(&counter.to_string(), total - last));
        }
    }
    bytes
}

fn send_failures(client: &StatsdClient, shared: &Shared) -> usize {
    let totals = lock(&shared.failures).clone();
    let mut sent = lock(&shared.sent);
    let last = std::mem::replace(&mut sent.failures, totals.clone());
    let last_of = |reason| {
        last.iter()
            .find(|(r, _)| *r == reason)
            .map_or(0, |(_, n)| *n)
    };
    totals
        .into_iter()
        .map(|(reason, total)| (reason, total - last_of(reason)))
        .filter(|(_, n)| *n > 0)
        .map(|(reason, n)| size(&client.count(&format!("refusals.{reason}"), n)))
        .sum()
}

fn send_gauges(client: &StatsdClient, shared: &Shared) -> usize {
    // Datagrams get lost, so an unchanged value is sent again.
    Gauge::ALL
        .into_iter()
        .map(|gauge| {
            let value = shared.gauges[gauge as usize].load(Ordering::Relaxed);
            size(&client.gauge(&gauge.to_string(), value))
        })
        .sum()
}

fn send_series(client: &StatsdClient, shared: &Shared, already_bytes: usize) {
    let due = lock(&shared.pending).len();
    let mut bytes = already_bytes;
    for _ in 0..due {
        if bytes >= FLUSH_BYTES {
            return;
        }
        let popped = lock(&shared.pending).pop();
        let Some((owner, samples)) = popped else {
            return;
        };
        let sent = send_samples(client, &owner, &samples);
        if sent == 0 {
            // The socket takes nothing; the other owners keep their samples.
            return;
        }
        bytes += sent;
    }
}

fn send_samples(client: &StatsdClient, owner: &Owner, samples: &Samples) -> usize {
    samples
        .figures()
        .map(|(series, statistic, value)| {
            let name = format!("group.{owner}.{series}.{statistic}");
            match statistic {
                Statistic::Count => size(&client.count(&name, value)),
                Statistic::P50 | Statistic::P99 | Statistic::Max => {
                    size(&client.gauge(&name, value))
                }
            }
        })
        .sum()
}

/// Bytes of a metric that was handed to the socket's buffer, with its line end.
fn size<M: Metric>(metric: &MetricResult<M>) -> usize {
    metric
        .as_ref()
        .map_or(0, |metric| metric.as_metric_str().len() + 1)
}
