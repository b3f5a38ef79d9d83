//! An in-memory table service that injects faults according to a script.

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

/// Fault that is injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The connection is refused.
    Refused,
    /// The request is lost, and the call times out.
    RequestLost,
    /// The call takes effect but its reply is lost, so that it times out.
    ReplyLost,
    /// The call times out, and its writes take effect after the next commit.
    AppliedLate,
}

pub const ALL_FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::Refused,
    Fault::RequestLost,
    Fault::ReplyLost,
    Fault::AppliedLate,
];

/// Calls that consume a step of the script; all others have no fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScope {
    ReadsAndCommits,
    CommitsOnly,
}

/// Fault of one call, and how often the call yields before it takes effect.
pub type Step = (Fault, u32);

/// Step of calls that are outside the scope or come after the end of the script.
const DEFAULT_STEP: Step = (Fault::None, 1);

pub struct ScriptedTable {
    scope: FaultScope,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    revision: u64,
    script: VecDeque<Step>,
    /// Writes of commits with [`Fault::AppliedLate`] that have not taken effect yet.
    late_writes: Vec<Vec<RowWrite>>,
}

impl ScriptedTable {
    pub fn new(scope: FaultScope, script: impl IntoIterator<Item = Step>) -> Self {
        let script = script.into_iter().collect();
        Self {
            scope,
            state: Mutex::new(State {
                script,
                ..State::default()
            }),
        }
    }

    /// Ends the script: late writes take effect, and further calls have no fault.
    pub fn finish_script(&self) {
        let mut state = self.state.lock().unwrap();
        state.script.clear();
        state.apply_late_writes();
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        self.state
            .lock()
            .unwrap()
            .rows
            .get(&RowKey::new(key))
            .cloned()
    }

    /// Takes the next step for a call; `call_scope` is the narrowest scope that includes the call.
    async fn next_fault(&self, call_scope: FaultScope) -> Fault {
        let is_scripted =
            self.scope == FaultScope::ReadsAndCommits || call_scope == FaultScope::CommitsOnly;
        let step = is_scripted
            .then(|| self.state.lock().unwrap().script.pop_front())
            .flatten();
        let (fault, yields) = step.unwrap_or(DEFAULT_STEP);
        for _ in 0..yields {
            YieldNow::default().await;
        }
        fault
    }
}

impl State {
    fn apply_late_writes(&mut self) {
        for writes in std::mem::take(&mut self.late_writes) {
            // Late writes whose conditions no longer hold have no effect.
            let _ = self.commit(writes);
        }
    }

    fn commit(&mut self, writes: Vec<RowWrite>) -> Result<Revision, CommitError> {
        let failing = writes.iter().filter(|w| !self.condition_holds(w));
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

    fn condition_holds(&self, write: &RowWrite) -> bool {
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

impl TableService for ScriptedTable {
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError> {
        Box::pin(async move {
            match self.next_fault(FaultScope::ReadsAndCommits).await {
                Fault::None => {
                    let state = self.state.lock().unwrap();
                    Ok(keys.iter().map(|k| state.rows.get(k).cloned()).collect())
                }
                Fault::Refused => Err(refused()),
                Fault::RequestLost | Fault::ReplyLost | Fault::AppliedLate => Err(timeout()),
            }
        })
    }

    fn scan(&self, _: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError> {
        Box::pin(async { Err(refused()) })
    }

    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError> {
        Box::pin(async move {
            let fault = self.next_fault(FaultScope::CommitsOnly).await;
            let mut state = self.state.lock().unwrap();
            let outcome = match fault {
                Fault::None => state.commit(writes),
                Fault::Refused => Err(refused().into()),
                Fault::RequestLost => Err(timeout().into()),
                Fault::ReplyLost => {
                    let _ = state.commit(writes);
                    Err(timeout().into())
                }
                Fault::AppliedLate => {
                    state.apply_late_writes();
                    state.late_writes.push(writes);
                    return Err(timeout().into());
                }
            };
            state.apply_late_writes();
            outcome
        })
    }
}

/// Returns control to the executor once.
#[derive(Default)]
struct YieldNow {
    has_yielded: bool,
}

impl Future for YieldNow {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<()> {
        if self.has_yielded {
            return Poll::Ready(());
        }
        self.has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

/// All sequences of `len` elements from `choices`, with repetition.
pub fn sequences<T: Copy>(choices: &[T], len: usize) -> Vec<Vec<T>> {
    (0..len).fold(vec![Vec::new()], |sequences, _| {
        sequences
            .iter()
            .flat_map(|prefix| choices.iter().map(|c| [prefix.as_slice(), &[*c]].concat()))
            .collect()
    })
}
