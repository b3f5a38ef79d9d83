//! Messages per task, computed from the counters in the status of the entries.

use std::net::SocketAddr;

use dfs_ids::Millis;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use super::report::quotient;
use crate::client::CallError;
use crate::client::Client;
use crate::options::Token;
use crate::status;

const STATUS_TIMEOUT: Millis = Millis::new(5_000);

/// Why the message count of a load is unknown.
#[derive(Debug, Snafu)]
pub enum CounterError {
    /// No operator token was given; entries show their counters only to operators.
    #[snafu(display("no operator's token was given"))]
    NoToken,
    /// The status of an entry could not be read.
    #[snafu(display("cannot read the counters of an entry: {source}"))]
    Status {
        /// Error of the status call.
        source: CallError,
    },
    /// A counter decreased, so the entry was restarted between the readings.
    #[snafu(display("entry {entry} was restarted during the load"))]
    Restarted {
        /// Address of the entry.
        entry: SocketAddr,
    },
    /// No task was settled, so messages per task is undefined.
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

/// Counters of all entries from one reading, sorted by address.
#[derive(Debug)]
pub struct Counters(Vec<EntryCounters>);

/// Messages between entries and agents during the load, including those caused by other callers.
#[derive(Debug, Serialize)]
pub struct MessageCount {
    /// Messages that the entries sent or received.
    pub messages: u64,
    /// Tasks that the entries settled.
    pub tasks_settled: u64,
    /// `messages` divided by `tasks_settled`.
    pub per_task: f64,
}

impl Counters {
    /// Reads the counters of all entries.
    pub async fn read(
        operator_token: Option<&Token>,
        entries: &[SocketAddr],
    ) -> Result<Self, CounterError> {
        let Some(token) = operator_token else {
            return NoTokenSnafu.fail();
        };
        let mut entries = entries.to_vec();
        // An entry given twice must be counted once.
        entries.sort();
        entries.dedup();
        let client = Client::new(token.clone(), STATUS_TIMEOUT);
        let statuses = status::fetch_all(&client, &entries).await;
        let counters = statuses.into_iter().map(|(entry, status)| {
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

/// Sums the increase of all counters between two readings of the same entries.
pub fn difference(
    before: Result<Counters, CounterError>,
    after: Result<Counters, CounterError>,
) -> Result<MessageCount, CounterError> {
    let (before, after) = (before?, after?);
    let (mut messages, mut tasks) = (0, 0);
    for (old, new) in before.0.iter().zip(&after.0) {
        let decreased = new.messages < old.messages || new.tasks < old.tasks;
        ensure!(!decreased, RestartedSnafu { entry: new.entry });
        messages += new.messages - old.messages;
        tasks += new.tasks - old.tasks;
    }
    ensure!(tasks > 0, NoTaskSnafu);
    Ok(MessageCount {
        messages,
        tasks_settled: tasks,
        per_task: quotient(messages, tasks),
    })
}
