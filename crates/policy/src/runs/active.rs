//! Bookkeeping of the runs that are, or may be, active on a target.

use std::sync::Arc;

use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;

use super::FencingToken;
use super::ListedEnd;
use super::RunNumber;
use super::Runs;
use super::RunsAction;
use super::TaskSpec;
use crate::agent::RunEnd;

/// Time after which a stop request is repeated if the run is still listed.
const STOP_RESEND_INTERVAL_MS: Millis = Millis::new(150);

/// A task that the agent wants to start.
#[derive(Debug)]
pub(super) struct WantedTask {
    pub task: TaskRef,
    pub spec: TaskSpec,
    /// Label that the target must have.
    pub label: Option<Label>,
}

/// A run that was requested and is not known to have ended.
#[derive(Debug)]
pub(super) struct TrackedRun {
    pub task: TaskRef,
    pub spec: TaskSpec,
    /// Label that the target must have.
    pub label: Option<Label>,
    pub run: RunNumber,
    pub started_at: Moment,
    pub phase: Phase,
    /// Start requests that the target has refused.
    pub refused_starts: u32,
    /// Whether the target has restarted since the start was requested: even if the run is not listed, it may
    /// have been active on an earlier incarnation.
    pub may_have_run: bool,
    /// Set once the agent wants the run to stop.
    pub pending_stop: Option<PendingStop>,
}

/// Progress of a requested start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start request is in flight.
    Requested,
    /// The start request was not answered in time; the answer to a poll with this token or a higher one shows
    /// whether the run started.
    Unanswered { resolved_by: FencingToken },
    /// The run has started; `since` is when this became known.
    Running { since: Moment },
}

/// A stop that the agent wants; `sent_at` is `None` until a stop request is sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingStop {
    pub requested_at: Moment,
    pub sent_at: Option<Moment>,
}

impl PendingStop {
    pub const fn new(now: Moment) -> Self {
        Self {
            requested_at: now,
            sent_at: None,
        }
    }

    /// Whether a stop request is to be sent now: none was sent, or the last one had the time to take effect.
    pub fn is_due(&self, now: Moment) -> bool {
        self.sent_at
            .is_none_or(|at| now >= at + STOP_RESEND_INTERVAL_MS)
    }
}

impl Runs {
    /// Removes a run, reports its end, and starts the next task that waits for its name.
    pub(super) fn end_run(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        end: RunEnd,
        listed: Option<ListedEnd>,
        out: &mut Vec<RunsAction>,
    ) {
        let Some(tracked) = self.tracked.remove(name) else {
            return;
        };
        self.names_by_task.remove(&tracked.task);
        self.last_run_numbers
            .insert(name.clone(), (tracked.run, now));
        out.push(RunsAction::TaskEnded {
            task: tracked.task,
            name: name.clone(),
            run: Some(tracked.run),
            listed,
            lease_left_ms: self.lease_expires_at.since(now),
            run_us: now.micros_since(tracked.started_at),
            end,
        });
        let Some(waiting) = self.waiting_tasks.get_mut(name) else {
            return;
        };
        let next = waiting.pop_front();
        if waiting.is_empty() {
            self.waiting_tasks.remove(name);
        }
        if let Some(wanted) = next {
            self.request_start(now, wanted, out);
        }
    }

    /// After a list of another incarnation of the target, ends the runs that were certainly active on the previous one.
    pub(super) fn end_or_recheck_runs(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        // The previous incarnation has answered a poll that was sent after the start was answered.
        let poll_sent_at = self.last_answered_poll_sent_at;
        let is_lost = |(_, tracked): &(&Arc<str>, &TrackedRun)| matches!(tracked.phase, Phase::Running { since } if since <= poll_sent_at);
        let lost = self.tracked.iter().filter(is_lost);
        let lost: Vec<_> = lost.map(|(name, _)| name.clone()).collect();
        for name in lost {
            self.end_run(now, &name, interrupted_end(RESTARTED.to_owned()), None, out);
        }
        self.recheck_runs();
    }

    /// Leaves open which runs are active. Their requests may have been executed by any incarnation of the target, and
    /// the present one has not seen any token. Those in flight are still answered or time out; for the rest, a poll
    /// with a raised token shows whether they run.
    pub(super) fn recheck_runs(&mut self) {
        self.raise_token(self.token);
        let resolved_by = self.token;
        for tracked in self.tracked.values_mut() {
            if tracked.phase != Phase::Requested {
                tracked.phase = Phase::Unanswered { resolved_by };
            }
            tracked.may_have_run = true;
        }
    }

    /// Ends all tracked runs with an unknown outcome: none is active any more, but each may have done its
    /// work.
    pub(super) fn interrupt_all(&mut self, now: Moment, reason: &str, out: &mut Vec<RunsAction>) {
        let names: Vec<_> = self.tracked.keys().cloned().collect();
        for name in names {
            self.end_run(now, &name, interrupted_end(reason.to_owned()), None, out);
        }
    }
}

/// Why a run was interrupted by the restart of its target.
pub(super) const RESTARTED: &str = "the target has started anew";

pub(super) const fn interrupted_end(reason: String) -> RunEnd {
    RunEnd::Finished(TaskOutcome::Unknown(reason))
}
