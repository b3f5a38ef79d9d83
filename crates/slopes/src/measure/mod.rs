//! Measures the slopes on this machine, over the loopback interface.

mod cluster;
mod config;
mod daemon;
mod idle;
mod relay;
mod store;
mod task;

use std::time::Duration;
use std::time::Instant;

pub use relay::Relay;
pub use relay::Traffic;

use crate::Point;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

/// Part of the measurement that runs on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Lease renewals that carry nothing else.
    Renewals,
    /// Opening of sessions.
    Attach,
    /// Idle sessions of an entry.
    EntrySessions,
    /// Idle sessions of an agent.
    AgentSessions,
    /// Single requests, tasks of jobs and open tasks.
    Tasks,
    /// Whole configurations and changes to them.
    Config,
    /// Configuration changes by the number of agents that receive them.
    ChangeAgents,
    /// Load of idle and starting entries on the platform's store.
    Store,
}

/// Measures one part and returns its slopes only.
///
/// # Errors
///
/// A process did not start, a request failed, or the cluster was not ready in time.
pub async fn run(part: Part) -> Result<Slopes, SlopesError> {
    let mut slopes = Slopes::default();
    match part {
        Part::Renewals => idle::renewals(&mut slopes).await?,
        Part::Attach => idle::attach(&mut slopes).await?,
        Part::EntrySessions => idle::entry_sessions(&mut slopes).await?,
        Part::AgentSessions => idle::agent_sessions(&mut slopes).await?,
        Part::Tasks => task::tasks(&mut slopes).await?,
        Part::Config => config::configurations(&mut slopes).await?,
        Part::ChangeAgents => config::changes_by_agents(&mut slopes).await?,
        Part::Store => store::store(&mut slopes).await?,
    }
    Ok(slopes)
}

/// Records points of several slopes at the same `x`.
struct Recorder<'a> {
    slopes: &'a mut Slopes,
    x_label: &'static str,
    x: f64,
}

impl Recorder<'_> {
    fn add(&mut self, name: SlopeName, y: f64) {
        let point = Point {
            x: self.x,
            y,
            load_average: load_average(),
        };
        self.slopes.add(name, self.x_label, point);
    }
}

/// Sleeps and returns the seconds that have really elapsed: a busy machine wakes the task late,
/// which would distort a rate computed from the nominal length.
async fn sleep_measured(length: Duration) -> f64 {
    let start = Instant::now();
    tokio::time::sleep(length).await;
    start.elapsed().as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn usize_to_f64(count: usize) -> f64 {
    count as f64
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}
