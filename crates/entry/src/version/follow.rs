//! Follows the configuration source of an adapter.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

use dfs_conf::ConfigUpdate;
use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_log::ConfigSource;
use dfs_policy::reads::DueRead;
use dfs_policy::reads::ReadId;
use dfs_policy::reads::ReadSchedule;
use dfs_policy::reads::ReadScope;
use dfs_policy::reads::ReadTiming;
use dfs_store::ResultFuture;
use dfs_store::Revision;
use dfs_store::StoreError;
use snafu::Snafu;

use super::ActiveConfig;
use super::link::StoreHealth;
use super::traffic::AnsweredRead;
use crate::edge::ConfigChanges;
use crate::edge::ConfigFeed;

/// Reads of the configuration without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("no answer to a read of the configuration for {silent_ms}"))]
struct Overdue {
    silent_ms: Millis,
}

/// Adopts each newer version from the feed, for as long as the process lives.
pub(crate) async fn follow_feed(
    feed: Box<dyn ConfigFeed>,
    timing: ReadTiming,
    clock: Clock,
    active_config: ActiveConfig,
) {
    let mut follower = Follower {
        feed,
        timing,
        schedule: ReadSchedule::new(timing, clock.now()),
        clock,
        reads: BTreeMap::new(),
        revision: None,
        health: StoreHealth::default(),
        active_config,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    feed: Box<dyn ConfigFeed>,
    timing: ReadTiming,
    schedule: ReadSchedule,
    clock: Clock,
    /// The open reads of the schedule.
    reads: BTreeMap<ReadId, OpenRead>,
    /// Highest revision up to which changes were read.
    revision: Option<Revision>,
    health: StoreHealth,
    active_config: ActiveConfig,
}

struct OpenRead {
    sent_at: Moment,
    scope: ReadScope,
    answer: ResultFuture<'static, ConfigChanges, StoreError>,
}

impl Follower {
    /// Sends the read that is due, then waits for an answer or until the next one is due.
    async fn step(&mut self) {
        self.active_config.log_traffic();
        let now = self.clock.now();
        self.schedule.abandon_old(now);
        self.reads.retain(|id, _| self.schedule.is_open(*id));
        let due_at = self.schedule.due_at();
        if let Some(read) = self.schedule.start_due(now) {
            self.health.record_sent(now, due_at);
            self.send(read, now);
        }
        let until_due = self.schedule.due_at().since(now).max(Millis::new(1));
        tokio::select! {
            (id, answer) = poll_fn(|context| poll_any(&mut self.reads, context)) => {
                self.on_answer(id, answer);
            }
            () = tokio::time::sleep(until_due.into()) => {}
        }
    }

    fn send(&mut self, read: DueRead, now: Moment) {
        let silent_ms = self.schedule.oldest_age_ms(now).unwrap_or_default();
        // A single answer may be lost or late; the second read without one counts.
        if silent_ms >= self.timing.resend_ms + self.timing.resend_ms {
            let error = Overdue { silent_ms };
            self.health.record_failure(&self.active_config, &error);
            self.active_config.stop_waiting();
        }
        let after = match read.scope {
            ReadScope::Changes => self.revision,
            ReadScope::Full => None,
        };
        let open_read = OpenRead {
            sent_at: now,
            scope: read.scope,
            answer: self.feed.read(after, read.wait_ms),
        };
        self.reads.insert(read.id, open_read);
    }

    fn on_answer(&mut self, id: ReadId, answer: Result<ConfigChanges, StoreError>) {
        let now = self.clock.now();
        let Some(read) = self.reads.remove(&id) else {
            return;
        };
        match answer {
            Ok(changes) => {
                let read_ms = now.since(read.sent_at);
                self.active_config.record_read(AnsweredRead {
                    bytes: changes.read_bytes,
                    read_ms,
                    versions: changes.versions as u64,
                });
                self.adopt(now, id, &read, changes);
                self.health.record_success(&self.active_config, read_ms);
            }
            Err(error) => {
                match &error {
                    StoreError::HistoryLost { .. } => self.schedule.on_history_lost(now, id),
                    _ => self.schedule.on_failure(now, id),
                }
                self.health.record_failure(&self.active_config, &error);
                self.active_config.stop_waiting();
            }
        }
    }

    fn adopt(&mut self, now: Moment, id: ReadId, read: &OpenRead, changes: ConfigChanges) {
        // Ahead of a first configuration, with which the entry begins to place tasks.
        self.active_config
            .update_evacuations(changes.evacuations, read.sent_at);
        let is_newer = changes.config.is_some_and(|config| {
            let update = ConfigUpdate::Full(Box::new(config));
            self.active_config.adopt(update, ConfigSource::Store)
        });
        // A full read may be served from a copy that lags behind what was read before.
        if read.scope == ReadScope::Full && Some(changes.revision) < self.revision {
            self.schedule.on_lagging_copy(now, id);
            return;
        }
        self.revision = self.revision.max(Some(changes.revision));
        let new_versions = match read.scope {
            ReadScope::Changes => changes.versions,
            ReadScope::Full => usize::from(is_newer),
        };
        self.schedule.on_versions(now, id, read.scope, new_versions);
    }
}

/// Resolves to the earliest read that has an answer.
fn poll_any(
    reads: &mut BTreeMap<ReadId, OpenRead>,
    context: &mut Context<'_>,
) -> Poll<(ReadId, Result<ConfigChanges, StoreError>)> {
    for (id, read) in reads {
        if let Poll::Ready(answer) = read.answer.as_mut().poll(context) {
            return Poll::Ready((*id, answer));
        }
    }
    Poll::Pending
}
