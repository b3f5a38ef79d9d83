//! Measures the cost of metrics: time per task and per flush, bytes, datagrams and memory.

use std::error::Error;
use std::fs;
use std::net::UdpSocket;
use std::time::Instant;

use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use dfs_log::FLUSH_INTERVAL;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::Series;

/// Tasks that an entry starts between two flushes, at 5,800 per second.
const TASKS_PER_FLUSH: usize = 58_000;
const FLUSHES: u32 = 60;

fn main() -> Result<(), Box<dyn Error>> {
    for groups in [2, 16, 450] {
        measure(groups)?;
    }
    Ok(())
}

fn measure(groups: usize) -> Result<(), Box<dyn Error>> {
    let server = UdpSocket::bind("127.0.0.1:0")?;
    server.set_nonblocking(true)?;
    let process = ProcessName::Entry("ng-south-1".parse()?);
    let metrics = Metrics::new(Some(server.local_addr()?), &process)?;
    let group_ids = (0..groups).map(|n| format!("team-{n:03}").parse());
    let group_ids: Vec<GroupId> = group_ids.collect::<Result<_, _>>()?;
    let service: ServiceName = "member-desk".parse()?;
    let resident_before_kib = resident_kib()?;

    let (mut record_ns, mut flush_ns, mut bytes, mut datagrams) = (0, 0, 0, 0);
    for _ in 0..FLUSHES {
        let started = Instant::now();
        record_tasks(&metrics, &group_ids, &service);
        record_ns += started.elapsed().as_nanos();
        let started = Instant::now();
        metrics.flush();
        flush_ns += started.elapsed().as_nanos();
        let sizes = receive_sizes(&server);
        datagrams += sizes.len();
        bytes += sizes.iter().sum::<usize>();
    }

    let tasks = u128::from(FLUSHES) * TASKS_PER_FLUSH as u128;
    let seconds = u64::from(FLUSHES) * FLUSH_INTERVAL.as_secs();
    println!(
        "{groups} groups: {} ns per task of four samples, {} µs per flush, {} bytes/s and {datagrams} datagrams in {seconds} s, {} KiB more memory",
        record_ns / tasks,
        flush_ns / u128::from(FLUSHES) / 1_000,
        bytes as u64 / seconds,
        resident_kib()?.saturating_sub(resident_before_kib),
    );
    Ok(())
}

fn record_tasks(metrics: &Metrics, groups: &[GroupId], service: &ServiceName) {
    for n in 0..TASKS_PER_FLUSH {
        let group = &groups[n % groups.len()];
        // Multiplying by a prime spreads the values over the run times of tasks below one second.
        let value = (n as u64 * 7_919) % 1_000_000;
        let values = Series::ALL.map(|series| (series, value));
        metrics.record_all(group, service, &values);
    }
}

/// Receives all datagrams that have arrived and returns their sizes in bytes.
fn receive_sizes(server: &UdpSocket) -> Vec<usize> {
    let mut buffer = [0; 2_048];
    std::iter::from_fn(|| server.recv(&mut buffer).ok()).collect()
}

/// Resident set size of this process.
fn resident_kib() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line
        .unwrap_or("0 kB")
        .trim()
        .trim_end_matches(" kB")
        .parse()?)
}
