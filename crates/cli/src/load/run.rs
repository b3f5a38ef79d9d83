//! Open-loop load: submissions are sent at their arrival times, without waiting for earlier ones.

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
use super::group_clients;
use super::mix::Mix;
use super::outcome::End;
use super::outcome::EndedSubmission;
use super::outcome::ObservedOutcome;
use super::send::PreparedSubmission;
use super::tally::Tally;
use crate::client::Client;
use crate::submit::random_id;

/// Sends the whole mix; returns at the latest after its duration plus its drain time.
pub async fn run(mix: &Mix, entries: &[SocketAddr], round_trip: Duration) -> Tally {
    let mut run = LoadRun::new(mix, entries, round_trip);
    for arrival in arrivals(mix) {
        sleep_until(run.start + arrival.at).await;
        run.send(arrival);
        run.record_ended();
    }
    run.drain().await
}

/// State of a running load.
struct LoadRun<'a> {
    mix: &'a Mix,
    entries: &'a [SocketAddr],
    round_trip: Duration,
    /// By index of the group in the mix.
    clients: Vec<Client>,
    /// Prefix of the submission IDs; unique among all runs.
    id_prefix: String,
    /// One permit per submission that may be open at once.
    permits: Arc<Semaphore>,
    open: JoinSet<EndedSubmission>,
    tally: Tally,
    start: Instant,
    /// When submissions that are still open are abandoned.
    drain_deadline: Instant,
}

impl<'a> LoadRun<'a> {
    fn new(mix: &'a Mix, entries: &'a [SocketAddr], round_trip: Duration) -> Self {
        let start = Instant::now();
        Self {
            mix,
            entries,
            round_trip,
            clients: group_clients(mix),
            id_prefix: random_id("load"),
            permits: Arc::new(Semaphore::new(mix.max_open as usize)),
            open: JoinSet::new(),
            tally: Tally::new(mix),
            start,
            drain_deadline: start + mix.duration_ms.into() + mix.drain_ms.into(),
        }
    }

    fn send(&mut self, arrival: Arrival) {
        let send_lag = (self.start + arrival.at).elapsed();
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            let end = ObservedOutcome::NotSent.into();
            self.record(&ended_submission(&arrival, send_lag, end));
            return;
        };
        let submission = PreparedSubmission::new(
            self.mix,
            &arrival,
            self.submission_id(&arrival),
            self.round_trip,
        );
        let client = self.clients[arrival.group].clone();
        let entry = self.entries[arrival.serial % self.entries.len()];
        let drain_deadline = self.drain_deadline;
        self.open.spawn(async move {
            let end = timeout_at(drain_deadline, submission.send(&client, entry)).await;
            drop(permit);
            let end = end.unwrap_or(ObservedOutcome::Unfinished.into());
            ended_submission(&arrival, send_lag, end)
        });
    }

    fn submission_id(&self, arrival: &Arrival) -> SubmissionId {
        let id = format!("{}-{}", self.id_prefix, arrival.serial);
        id.parse()
            .expect("a random ID with a number is a valid submission ID")
    }

    /// Records the submissions that have ended so far, without waiting.
    fn record_ended(&mut self) {
        while let Some(ended) = self.open.try_join_next() {
            self.record(&ended.expect("a submission does not panic"));
        }
    }

    /// Waits for the open submissions and records them.
    async fn drain(mut self) -> Tally {
        while let Some(ended) = self.open.join_next().await {
            self.record(&ended.expect("a submission does not panic"));
        }
        self.tally
    }

    fn record(&mut self, ended: &EndedSubmission) {
        self.tally.record(ended, self.start.elapsed());
    }
}

fn ended_submission(arrival: &Arrival, send_lag: Duration, end: End) -> EndedSubmission {
    EndedSubmission {
        group: arrival.group,
        class: arrival.class,
        tasks: arrival.run_times.len(),
        work: arrival.run_times.iter().copied().sum::<Millis>().into(),
        send_lag,
        end,
    }
}
