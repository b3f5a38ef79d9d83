//! The open loop: submissions leave when they arrive, whatever became of the earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use crate::submit::random_id;

/// Sends the whole mix; ends at the latest when its duration and its drain time are over.
pub async fn run(mix: &Mix, entries: &[SocketAddr], round_trip: Duration) -> Tally {
    let clients = clients(mix);
    let run: String = random_id("load");
    let permits = Arc::new(Semaphore::new(mix.max_open as usize));
    let mut open = JoinSet::new();
    let mut tally = Tally::new(mix);
    let start = Instant::now();
    let stop = start + mix.duration_ms.into() + mix.drain_ms.into();
    for arrival in arrivals(mix) {
        let due = start + arrival.at;
        sleep_until(due).await;
        let send_lag = due.elapsed();
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            let end = SeenOutcome::NotSent.into();
            tally.add(&settled(&arrival, send_lag, end), start.elapsed());
            continue;
        };
        let name = format!("{run}-{}", arrival.serial);
        let name = name.parse().expect("a random name and a number");
        let prepared = Prepared::new(mix, &arrival, name, round_trip);
        let client = clients[arrival.group].clone();
        let entry = entries[arrival.serial % entries.len()];
        open.spawn(async move {
            let end = timeout_at(stop, prepared.send(&client, entry)).await;
            drop(permit);
            let end = end.unwrap_or(SeenOutcome::Unfinished.into());
            settled(&arrival, send_lag, end)
        });
        while let Some(ended) = open.try_join_next() {
            tally.add(
                &ended.expect("a submission does not panic"),
                start.elapsed(),
            );
        }
    }
    while let Some(ended) = open.join_next().await {
        tally.add(
            &ended.expect("a submission does not panic"),
            start.elapsed(),
        );
    }
    tally
}

fn settled(arrival: &Arrival, send_lag: Duration, end: End) -> Settled {
    Settled {
        group: arrival.group,
        class: arrival.class,
        tasks: arrival.run_times.len(),
        work: arrival
            .run_times
            .iter()
            .copied()
            .sum::<dfs_ids::Millis>()
            .into(),
        send_lag,
        end,
    }
}
