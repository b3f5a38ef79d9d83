//! Messages per task from the entries' own counters.

use std::net::SocketAddr;

use dfs_ids::Millis;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use super::report::per;
use crate::client::CallError;
use crate::client::Client;
use crate::options::Token;
use crate::status;

const STATUS_TIMEOUT: Millis = Millis::new(5_000);

/// Why the messages of a load are not known.
#[derive(Debug, Snafu)]
pub enum CounterError {
    /// Entries show their counters to operators only.
    #[snafu(display("no operator's token was given"))]
    NoToken,
    /// An entry did not show its counters.
    #[snafu(display("an entry did not show its counters: {source}"))]
    Status {
        /// The cause.
        source: CallError,
    },
    /// A counter went back.
    #[snafu(display("entry {entry} started anew during the load"))]
    Restarted {
        /// The entry.
        entry: SocketAddr,
    },
    /// There is nothing to divide by.
    #[snafu(display("the entries settled no task during the load"))]
    NoTask,
}

/// Counters of one entry.
#[derive(Debug, Clone, Copy)]
struct EntryCounters {
    entry: SocketAddr,
    messages: u64,
    tasks: u64,
}

/// Counters of all entries at one time.
#[derive(Debug)]
pub struct Counters(Vec<EntryCounters>);

/// Messages between entries and agents during the load, those of other callers included.
#[derive(Debug, Serialize)]
pub struct MessageCount {
    /// Messages sent and received by the entries.
    pub messages: u64,
    /// Tasks that the entries settled.
    pub tasks_settled: u64,
    /// The quotient.
    pub per_task: f64,
}

impl Counters {
    /// Reads the counters of all entries.
    pub async fn read(
        operator: Option<&Token>,
        entries: &[SocketAddr],
    ) -> Result<Self, CounterError> {
        let Some(token) = operator else {
            return NoTokenSnafu.fail();
        };
        let mut entries = entries.to_vec();
        // An entry that is named twice is counted once.
        entries.sort();
        entries.dedup();
        let client = Client::new(token.clone(), STATUS_TIMEOUT);
        let seen = status::fetch_all(&client, &entries).await;
        let counters = seen.into_iter().map(|(entry, status)| {
            let status = status.context(StatusSnafu)?;
            Ok(EntryCounters {
                entry,
                messages: status.session_messages,
                tasks: status.tasks_settled,
            })
        });
        counters.collect::<Result<_, _>>().map(Self)
    }
}

/// What was counted between two readings of the same entries.
pub fn difference(
    before: Result<Counters, CounterError>,
    after: Result<Counters, CounterError>,
) -> Result<MessageCount, CounterError> {
    let (before, after) = (before?, after?);
    let (mut messages, mut tasks) = (0, 0);
    for (old, new) in before.0.iter().zip(&after.0) {
        let went_back = new.messages < old.messages || new.tasks < old.tasks;
        ensure!(!went_back, RestartedSnafu { entry: new.entry });
        messages += new.messages - old.messages;
        tasks += new.tasks - old.tasks;
    }
    ensure!(tasks > 0, NoTaskSnafu);
    Ok(MessageCount {
        messages,
        tasks_settled: tasks,
        per_task: per(messages, tasks),
    })
}
