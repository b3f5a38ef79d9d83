//! Tasks that run on a target, or may run there.

use std::sync::Arc;

use dfs_ids::Moment;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;

use super::FencingToken;
use super::RunNumber;
use super::Runs;
use super::RunsAction;
use super::TaskSpec;
use crate::agent::RunEnd;

/// A task for which a start was ordered.
#[derive(Debug)]
pub(super) struct Active {
    pub task: TaskRef,
    pub spec: TaskSpec,
    pub run: RunNumber,
    pub started_at: Moment,
    pub phase: Phase,
    /// Orders to start that were refused and sent again.
    pub refusals: u32,
    /// When it was last told to stop, if it is to.
    pub stop: Option<Stop>,
}

/// Phase of an ordered start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The order is not answered yet.
    Requested,
    /// The order was not answered in time; a look with this token or a higher one settles it.
    Unknown { settled_by: FencingToken },
    /// It started.
    Running { since: Moment },
}

/// A stop that was asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stop {
    pub sent_at: Option<Moment>,
}

impl Runs {
    /// Removes a task and reports its end; the next task of its name may start then.
    pub(super) fn end(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        end: RunEnd,
        out: &mut Vec<RunsAction>,
    ) {
        let Some(active) = self.active.remove(name) else {
            return;
        };
        self.names.remove(&active.task);
        self.last_run_numbers
            .insert(name.clone(), (active.run, now));
        out.push(RunsAction::TaskEnded {
            task: active.task,
            run_us: now.micros_since(active.started_at),
            end,
        });
        let Some(waiting) = self.successors.get_mut(name) else {
            return;
        };
        let next = waiting.pop_front();
        if waiting.is_empty() {
            self.successors.remove(name);
        }
        if let Some((task, spec)) = next {
            self.request_start(now, task, spec, out);
        }
    }

    /// Ends every task; none of them runs any more, but each may have run.
    pub(super) fn interrupt_all(&mut self, now: Moment, why: &str, out: &mut Vec<RunsAction>) {
        let names: Vec<_> = self.active.keys().cloned().collect();
        for name in names {
            self.end(now, &name, interrupted(why.to_owned()), out);
        }
    }
}

pub(super) const fn interrupted(why: String) -> RunEnd {
    RunEnd::Started(TaskOutcome::Unknown(why))
}
