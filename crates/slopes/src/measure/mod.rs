//! Measures every slope on this machine, over loopback.

mod cluster;
mod config;
mod daemon;
mod idle;
mod relay;
mod store;
mod task;

use std::time::Duration;
use std::time::Instant;

pub use relay::Passed;
pub use relay::Relay;

use crate::Point;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;

/// A part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Renewals.
    Renewals,
    /// Opening of sessions.
    Attach,
    /// Idle sessions of an entry.
    EntrySessions,
    /// Idle sessions of an agent.
    AgentSessions,
    /// Tasks.
    Tasks,
    /// Configurations.
    Config,
    /// Changes by the number of agents that are told.
    ChangeAgents,
    /// Table service and object store.
    Store,
}

/// Measures one part.
///
/// # Errors
///
/// A process did not start or a request failed.
pub async fn run(part: Part) -> Result<Slopes, SlopesError> {
    let mut slopes = Slopes::default();
    match part {
        Part::Renewals => idle::renewals(&mut slopes).await?,
        Part::Attach => idle::attach(&mut slopes).await?,
        Part::EntrySessions => idle::entry_sessions(&mut slopes).await?,
        Part::AgentSessions => idle::agent_sessions(&mut slopes).await?,
        Part::Tasks => task::tasks(&mut slopes).await?,
        Part::Config => config::config(&mut slopes).await?,
        Part::ChangeAgents => config::change_agents(&mut slopes).await?,
        Part::Store => store::store(&mut slopes).await?,
    }
    Ok(slopes)
}

/// Adds points that share a size.
struct Sample<'a> {
    slopes: &'a mut Slopes,
    size: &'static str,
    x: f64,
}

impl Sample<'_> {
    fn add(&mut self, name: SlopeName, y: f64) {
        let point = Point {
            x: self.x,
            y,
            load_average: load_average(),
        };
        self.slopes.add(name, self.size, point);
    }
}

/// Waits and returns the seconds that have really passed.
async fn window(length: Duration) -> f64 {
    let start = Instant::now();
    tokio::time::sleep(length).await;
    start.elapsed().as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn float(count: u64) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn size_float(count: usize) -> f64 {
    count as f64
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}
