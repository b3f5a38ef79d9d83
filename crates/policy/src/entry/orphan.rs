//! Placed tasks that no agent reports on any more and that must not be placed again yet.

use dfs_ids::AgentId;
use dfs_ids::Incarnation;
use dfs_ids::Moment;
use dfs_ids::TakeoverNumber;
use dfs_wire::session::TaskRef;

use super::Entry;
use super::EntryAction;
use super::view::OutstandingTask;

pub(super) const LOST_CAUSE: &str = "the agent or its target was lost";
const RESTARTED_CAUSE: &str = "the agent has restarted and its target runs nothing of before";

/// Sort key of the orphans: they are settled in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrphanKey {
    /// When the task may be placed again.
    pub settled_at: Moment,
    /// Agent at which it was placed.
    pub agent: AgentId,
    /// Attempt that was placed.
    pub task: TaskRef,
}

/// Why a task waits.
#[derive(Debug, Clone, Copy)]
pub(super) enum Orphan {
    /// Its agent was lost, and its run may go on until the lease at the agent has expired.
    Lost {
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Place of this incarnation among those of the agent; `None` if the agent could not tell.
        takeover: Option<TakeoverNumber>,
        /// What the task took when it was placed.
        outstanding: OutstandingTask,
    },
    /// Its target has crashed, and it may still be given up.
    Judged,
}

/// Whether one incarnation of an agent is known to have taken over its target after another one.
pub(super) fn is_later(one: Option<TakeoverNumber>, other: Option<TakeoverNumber>) -> bool {
    one.zip(other).is_some_and(|(one, other)| one > other)
}

impl Entry {
    /// Settles the orphans whose time has come.
    pub(super) fn settle_expired_orphans(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        while let Some(first) = self.orphans.first_entry()
            && first.key().settled_at <= now
        {
            let (key, _) = first.remove_entry();
            match self.judged_at(&key.task).filter(|at| *at > now) {
                Some(settled_at) => {
                    let key = OrphanKey { settled_at, ..key };
                    self.orphans.insert(key, Orphan::Judged);
                }
                None => self.on_unknown(&key.agent, &key.task, LOST_CAUSE, out),
            }
        }
    }

    /// Settles the tasks of a lost agent that has restarted and taken over its target, which runs nothing of the earlier
    /// incarnations any more. Those of other incarnations wait: incarnations have no order, so the attach of one that is
    /// gone may be read after that of its successor.
    pub(super) fn settle_orphans_of_earlier(
        &mut self,
        agent: &AgentId,
        current: Option<TakeoverNumber>,
        out: &mut Vec<EntryAction>,
    ) {
        let is_ended = |key: &OrphanKey, orphan: &mut Orphan| {
            let is_earlier =
                matches!(orphan, Orphan::Lost { takeover, .. } if is_later(current, *takeover));
            key.agent == *agent && is_earlier
        };
        let ended: Vec<_> = self.orphans.extract_if(.., is_ended).collect();
        for (key, _) in ended {
            self.on_unknown(&key.agent, &key.task, RESTARTED_CAUSE, out);
        }
    }

    /// Takes back the tasks of an agent that was silent for so long that it was taken for lost, but has not restarted.
    /// The tasks that it holds in the new session say what has become of them.
    pub(super) fn take_orphans_of(
        &mut self,
        agent: &AgentId,
        current: Incarnation,
    ) -> Vec<(TaskRef, OutstandingTask)> {
        let is_held = |key: &OrphanKey, orphan: &mut Orphan| {
            let is_current =
                matches!(orphan, Orphan::Lost { incarnation, .. } if *incarnation == current);
            key.agent == *agent && is_current
        };
        let held = self.orphans.extract_if(.., is_held);
        let outstanding = held.filter_map(|(key, orphan)| match orphan {
            Orphan::Lost { outstanding, .. } => Some((key.task, outstanding)),
            Orphan::Judged => None,
        });
        outstanding.collect()
    }

    /// Keeps a task from being placed again before it is judged for a crash.
    pub(super) fn hold_until_judged(&mut self, settled_at: Moment, agent: &AgentId, task: TaskRef) {
        let agent = agent.clone();
        let key = OrphanKey {
            settled_at,
            agent,
            task,
        };
        self.orphans.insert(key, Orphan::Judged);
    }
}
