//! A table service in memory that fails calls by a script.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;

use dfs_ids::Millis;
use dfs_store::CommitError;
use dfs_store::Condition;
use dfs_store::ResultFuture;
use dfs_store::Revision;
use dfs_store::Row;
use dfs_store::RowChange;
use dfs_store::RowKey;
use dfs_store::RowWrite;
use dfs_store::StoreError;
use dfs_store::TableService;

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It works.
    Works,
    /// The connection is refused.
    Refused,
    /// The request is lost, and the caller waits in vain.
    RequestLost,
    /// The call works, and the caller waits in vain for the reply.
    ReplyLost,
    /// The caller waits in vain, and the write takes effect after the next commit.
    Late,
}

pub const FATES: [Fate; 5] = [
    Fate::Works,
    Fate::Refused,
    Fate::RequestLost,
    Fate::ReplyLost,
    Fate::Late,
];

/// Which calls the script is about; all others work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Reads and commits.
    Calls,
    /// Commits.
    Commits,
}

/// Fate of the call, and how often it yields before it acts.
pub type Step = (Fate, u32);

/// Calls beyond the script work, after they have yielded once.
const LAST: Step = (Fate::Works, 1);

pub struct Scripted {
    scope: Scope,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    revision: u64,
    script: VecDeque<Step>,
    late: Vec<Vec<RowWrite>>,
}

impl Scripted {
    pub fn new(scope: Scope, script: impl IntoIterator<Item = Step>) -> Self {
        let script = script.into_iter().collect();
        Self {
            scope,
            state: Mutex::new(State {
                script,
                ..State::default()
            }),
        }
    }

    /// Ends the script: late writes take effect, and every further call works.
    pub fn settle(&self) {
        let mut state = self.state.lock().unwrap();
        state.script.clear();
        state.land();
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        self.state
            .lock()
            .unwrap()
            .rows
            .get(&RowKey::new(key))
            .cloned()
    }

    async fn next(&self, kind: Scope) -> Fate {
        let is_scripted = self.scope == Scope::Calls || kind == Scope::Commits;
        let step = is_scripted
            .then(|| self.state.lock().unwrap().script.pop_front())
            .flatten();
        let (fate, yields) = step.unwrap_or(LAST);
        for _ in 0..yields {
            Yield::default().await;
        }
        fate
    }
}

impl State {
    fn land(&mut self) {
        for writes in std::mem::take(&mut self.late) {
            // A late write whose conditions no longer hold has no effect.
            let _ = self.commit(writes);
        }
    }

    fn commit(&mut self, writes: Vec<RowWrite>) -> Result<Revision, CommitError> {
        let failing = writes.iter().filter(|w| !self.holds(w));
        let keys: Vec<RowKey> = failing.map(|w| w.key.clone()).collect();
        if !keys.is_empty() {
            return Err(CommitError::Conflict { keys });
        }
        self.revision += 1;
        let revision = Revision::new(self.revision);
        for RowWrite { key, change, .. } in writes {
            match change {
                RowChange::Delete => self.rows.remove(&key),
                RowChange::Put(value) => self.rows.insert(
                    key.clone(),
                    Row {
                        key,
                        revision,
                        value,
                    },
                ),
            };
        }
        Ok(revision)
    }

    fn holds(&self, write: &RowWrite) -> bool {
        let revision = self.rows.get(&write.key).map(|row| row.revision);
        match write.condition {
            Condition::Any => true,
            Condition::Absent => revision.is_none(),
            Condition::At(expected) => revision == Some(expected),
        }
    }
}

fn refused() -> StoreError {
    StoreError::Connect {
        address: "127.0.0.1:1".parse().unwrap(),
        message: "refused".to_owned(),
    }
}

fn timeout() -> StoreError {
    StoreError::Timeout {
        address: "127.0.0.1:1".parse().unwrap(),
        timeout_ms: Millis::new(1),
    }
}

impl TableService for Scripted {
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError> {
        Box::pin(async move {
            match self.next(Scope::Calls).await {
                Fate::Works => {
                    let state = self.state.lock().unwrap();
                    Ok(keys.iter().map(|k| state.rows.get(k).cloned()).collect())
                }
                Fate::Refused => Err(refused()),
                Fate::RequestLost | Fate::ReplyLost | Fate::Late => Err(timeout()),
            }
        })
    }

    fn scan(&self, _: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError> {
        Box::pin(async { Err(refused()) })
    }

    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError> {
        Box::pin(async move {
            let fate = self.next(Scope::Commits).await;
            let mut state = self.state.lock().unwrap();
            let outcome = match fate {
                Fate::Works => state.commit(writes),
                Fate::Refused => Err(refused().into()),
                Fate::RequestLost => Err(timeout().into()),
                Fate::ReplyLost => {
                    let _ = state.commit(writes);
                    Err(timeout().into())
                }
                Fate::Late => {
                    state.land();
                    state.late.push(writes);
                    return Err(timeout().into());
                }
            };
            state.land();
            outcome
        })
    }
}

/// Lets others run once.
#[derive(Default)]
struct Yield {
    done: bool,
}

impl Future for Yield {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        if self.done {
            return Poll::Ready(());
        }
        self.done = true;
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

/// All sequences of `len` elements of `choices`.
pub fn sequences<T: Copy>(choices: &[T], len: usize) -> Vec<Vec<T>> {
    (0..len).fold(vec![Vec::new()], |sequences, _| {
        sequences
            .iter()
            .flat_map(|start| choices.iter().map(|c| [start.as_slice(), &[*c]].concat()))
            .collect()
    })
}
