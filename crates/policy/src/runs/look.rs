//! Looks at the runs of a target.

use std::collections::HashSet;
use std::sync::Arc;

use dfs_ids::Moment;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;

use super::EndedRun;
use super::FencingToken;
use super::MAX_PENDING_POLLS;
use super::POLL_OVERDUE_MS;
use super::POLL_RETRY_DELAY_MS;
use super::PollOutcome;
use super::PollRequest;
use super::RUN_NUMBER_RETENTION_MS;
use super::RunNumber;
use super::RunOutcome;
use super::RunSnapshot;
use super::Runs;
use super::RunsAction;
use super::StopRequest;
use super::UNREACHABLE_MS;
use super::active::Active;
use super::active::Phase;
use super::active::interrupted;
use crate::agent::RunEnd;

/// Step by which the token climbs over one that the target has seen; it doubles with each look.
const FIRST_CLIMB: u64 = 1;
/// Highest exponent of the step.
const MAX_CLIMB_BITS: u32 = 40;

impl Runs {
    pub(super) fn send_poll_if_due(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        if now < self.next_poll_at || !self.may_poll(now) {
            return;
        }
        self.pending_polls += 1;
        self.last_poll_sent_at = now;
        // A look that is not answered may renew the lease all the same, so that runs of a target that
        // can't be reached would never be known to have ended.
        let is_leasing = !self.active.is_empty() && self.failing_since.is_none();
        let lease_until = self.lease_end(now).filter(|_| is_leasing);
        if lease_until.is_some() {
            self.note_lease(now);
        }
        // The first look only takes the clock and the runs of an earlier life of the agent.
        let wait_ms = if self.taken_over {
            self.options.poll_wait_ms
        } else {
            dfs_ids::Millis::default()
        };
        out.push(RunsAction::SendPoll(PollRequest {
            target: self.target(),
            lease_until,
            token: self.token,
            last_acked_end: self.last_end,
            wait_ms,
            sent_at: now,
        }));
    }

    /// One look at a time, and another one when its answer is overdue.
    fn may_poll(&self, now: Moment) -> bool {
        let overdue_at = self.last_poll_sent_at + self.options.poll_wait_ms + POLL_OVERDUE_MS;
        self.pending_polls == 0 || (self.pending_polls < MAX_PENDING_POLLS && now >= overdue_at)
    }

    pub(super) fn on_poll_completed(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        outcome: PollOutcome,
        out: &mut Vec<RunsAction>,
    ) {
        self.pending_polls = self.pending_polls.saturating_sub(1);
        match outcome {
            PollOutcome::Runs(snapshot) => self.on_snapshot(now, poll, &snapshot, out),
            PollOutcome::Fenced => self.climb(poll.token),
            PollOutcome::WrongIncarnation => {
                self.on_incarnation_lost(now, out);
                self.next_poll_at = now + POLL_RETRY_DELAY_MS;
            }
            // A later look was answered.
            PollOutcome::Failed { .. } if poll.sent_at < self.last_snapshot_at => {}
            PollOutcome::Failed { message } => {
                self.next_poll_at = now + POLL_RETRY_DELAY_MS;
                self.on_poll_failed(now, message, out);
            }
        }
    }

    /// The token of an earlier life of the agent may be higher by an unknown amount.
    fn climb(&mut self, above: FencingToken) {
        let step = FIRST_CLIMB << self.climbs.min(MAX_CLIMB_BITS);
        self.climbs += 1;
        self.token = self.token.max(FencingToken(above.0 + step));
    }

    fn on_poll_failed(&mut self, now: Moment, message: String, out: &mut Vec<RunsAction>) {
        let since = *self.failing_since.get_or_insert(now);
        if now.since(since) < UNREACHABLE_MS || !self.is_announced {
            return;
        }
        self.say_goodbye(out);
        out.push(RunsAction::TargetUnreachable {
            running_tasks: self.active.len(),
            message,
        });
    }

    fn on_snapshot(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        snapshot: &RunSnapshot,
        out: &mut Vec<RunsAction>,
    ) {
        if self.incarnation.is_some()
            && snapshot.incarnation.is_some()
            && snapshot.incarnation != self.incarnation
        {
            self.on_new_incarnation(now, out);
        }
        self.incarnation = snapshot.incarnation.or(self.incarnation);
        self.last_snapshot_at = now;
        self.climbs = 0;
        self.note_clock(now, Some(snapshot.clock));
        for ended in &snapshot.ended {
            self.on_ended(now, ended, out);
        }
        let seen = snapshot.running.iter();
        let running: HashSet<_> = seen.map(|seen| (seen.name.clone(), seen.run)).collect();
        self.settle_unknown(now, poll, &running, out);
        self.settle_missing(now, poll, &running, out);
        self.stop_orphans(&running, out);
        self.repeat_stops(now, out);
        self.tell_progress(snapshot, out);
        self.last_run_numbers
            .retain(|_, (_, at)| now < *at + RUN_NUMBER_RETENTION_MS);
        let was_failing = self.failing_since.take().is_some();
        if !self.taken_over && self.orphans(&running).next().is_none() {
            self.take_over(out);
            self.announce(now, out);
        } else if was_failing {
            self.announce(now, out);
        }
    }

    fn on_ended(&mut self, now: Moment, ended: &EndedRun, out: &mut Vec<RunsAction>) {
        if ended.sequence <= self.last_end {
            return;
        }
        self.last_end = ended.sequence;
        if !self.is_active(&ended.name, ended.run) {
            return;
        }
        let end = match &ended.outcome {
            RunOutcome::Done => RunEnd::Started(TaskOutcome::Done(nothing())),
            RunOutcome::Failed => {
                let message = "the task failed on its target".to_owned();
                RunEnd::Started(TaskOutcome::Failed(message))
            }
            RunOutcome::Interrupted(reason) => interrupted(format!("the run ended as {reason}")),
        };
        self.end(now, &ended.name, end, out);
    }

    fn is_active(&self, name: &Arc<str>, run: RunNumber) -> bool {
        self.active.get(name).is_some_and(|a| a.run == run)
    }

    /// Orders without an answer that a look with a higher token does not show never take effect.
    fn settle_unknown(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let is_settled = |active: &Active| match active.phase {
            Phase::Unknown { settled_by } => poll.token >= settled_by,
            Phase::Requested | Phase::Running { .. } => false,
        };
        let settled = self.active.iter().filter(|(_, a)| is_settled(a));
        let settled: Vec<_> = settled.map(|(name, a)| (name.clone(), a.run)).collect();
        for (name, run) in settled {
            if running.contains(&(name.clone(), run)) {
                if let Some(active) = self.active.get_mut(&name) {
                    active.phase = Phase::Running { since: now };
                }
            } else {
                let reason = NotRunReason::ConnectionRefused;
                self.end(now, &name, RunEnd::NotStarted(reason), out);
            }
        }
    }

    /// A run that started before the look was sent and is neither running nor ended is lost.
    fn settle_missing(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let is_missing = |(name, active): &(&Arc<str>, &Active)| {
            let is_listed = running.contains(&(Arc::clone(name), active.run));
            matches!(active.phase, Phase::Running { since } if since < poll.sent_at) && !is_listed
        };
        let missing = self.active.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|(name, _)| name.clone()).collect();
        for name in missing {
            let end = interrupted("the target does not know the run any more".to_owned());
            self.end(now, &name, end, out);
        }
    }

    /// Runs that nobody here has ordered: those of an earlier life of the agent.
    fn orphans<'a>(
        &'a self,
        running: &'a HashSet<(Arc<str>, RunNumber)>,
    ) -> impl Iterator<Item = &'a (Arc<str>, RunNumber)> {
        running
            .iter()
            .filter(|(name, run)| !self.is_active(name, *run))
    }

    fn stop_orphans(
        &mut self,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let orphans: Vec<_> = self.orphans(running).cloned().collect();
        self.orphans_stopped += orphans.len();
        for (name, run) in orphans {
            out.push(RunsAction::SendStop(StopRequest {
                target: self.target(),
                name,
                run,
                token: self.token,
            }));
        }
    }

    fn tell_progress(&self, snapshot: &RunSnapshot, out: &mut Vec<RunsAction>) {
        let progress = snapshot.running.iter().filter_map(|running| {
            let active = self.active.get(&running.name)?;
            (active.run == running.run).then(|| (active.task.clone(), running.percent))
        });
        let progress: Vec<_> = progress.collect();
        if !progress.is_empty() {
            out.push(RunsAction::Progress(progress));
        }
    }

    fn repeat_stops(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let to_stop = self.active.iter().filter(|(_, a)| a.stop.is_some());
        let to_stop: Vec<_> = to_stop.map(|(name, _)| name.clone()).collect();
        for name in to_stop {
            self.send_stop(now, &name, out);
        }
    }
}

/// The result of a task whose target gives none.
fn nothing() -> Arc<serde_json::value::RawValue> {
    Arc::from(serde_json::value::RawValue::NULL.to_owned())
}
