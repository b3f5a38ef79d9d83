//! The open loop: submissions leave when they arrive, whatever became of the earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dfs_ids::Millis;
use dfs_ids::SubmissionId;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::arrival::Arrival;
use super::arrival::arrivals;
use super::clients;
use super::mix::Mix;
use super::outcome::End;
use super::outcome::SeenOutcome;
use super::outcome::Settled;
use super::send::Prepared;
use super::tally::Tally;
use crate::client::Client;
use crate::submit::random_id;

/// Sends the whole mix; ends at the latest when its duration and its drain time are over.
pub async fn run(mix: &Mix, entries: &[SocketAddr], round_trip: Duration) -> Tally {
    let mut run = Run::new(mix, entries, round_trip);
    for arrival in arrivals(mix) {
        sleep_until(run.start + arrival.at).await;
        run.send(arrival);
        run.collect();
    }
    run.drain().await
}

/// A load while it runs.
struct Run<'a> {
    mix: &'a Mix,
    entries: &'a [SocketAddr],
    round_trip: Duration,
    /// By index of the group in the mix.
    clients: Vec<Client>,
    /// Start of the names of its submissions; unique among all runs.
    name: String,
    /// One for each submission that may be open.
    permits: Arc<Semaphore>,
    open: JoinSet<Settled>,
    tally: Tally,
    start: Instant,
    /// When submissions that are still open are given up.
    stop: Instant,
}

impl<'a> Run<'a> {
    fn new(mix: &'a Mix, entries: &'a [SocketAddr], round_trip: Duration) -> Self {
        let start = Instant::now();
        Self {
            mix,
            entries,
            round_trip,
            clients: clients(mix),
            name: random_id("load"),
            permits: Arc::new(Semaphore::new(mix.max_open as usize)),
            open: JoinSet::new(),
            tally: Tally::new(mix),
            start,
            stop: start + mix.duration_ms.into() + mix.drain_ms.into(),
        }
    }

    fn send(&mut self, arrival: Arrival) {
        let send_lag = (self.start + arrival.at).elapsed();
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            let end = SeenOutcome::NotSent.into();
            self.add(&settled(&arrival, send_lag, end));
            return;
        };
        let prepared = Prepared::new(self.mix, &arrival, self.name(&arrival), self.round_trip);
        let client = self.clients[arrival.group].clone();
        let entry = self.entries[arrival.serial % self.entries.len()];
        let stop = self.stop;
        self.open.spawn(async move {
            let end = timeout_at(stop, prepared.send(&client, entry)).await;
            drop(permit);
            let end = end.unwrap_or(SeenOutcome::Unfinished.into());
            settled(&arrival, send_lag, end)
        });
    }

    fn name(&self, arrival: &Arrival) -> SubmissionId {
        let name = format!("{}-{}", self.name, arrival.serial);
        name.parse().expect("a random name and a number")
    }

    /// Counts the submissions that have ended.
    fn collect(&mut self) {
        while let Some(ended) = self.open.try_join_next() {
            self.add(&ended.expect("a submission does not panic"));
        }
    }

    /// Waits for the submissions that are still open.
    async fn drain(mut self) -> Tally {
        while let Some(ended) = self.open.join_next().await {
            self.add(&ended.expect("a submission does not panic"));
        }
        self.tally
    }

    fn add(&mut self, settled: &Settled) {
        self.tally.add(settled, self.start.elapsed());
    }
}

fn settled(arrival: &Arrival, send_lag: Duration, end: End) -> Settled {
    Settled {
        group: arrival.group,
        class: arrival.class,
        tasks: arrival.run_times.len(),
        work: arrival.run_times.iter().copied().sum::<Millis>().into(),
        send_lag,
        end,
    }
}
