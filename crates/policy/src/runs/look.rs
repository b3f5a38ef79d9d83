//! Polling the runs of a target.

use std::collections::HashSet;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use dfs_ids::Moment;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;

use super::EndedRun;
use super::FencingToken;
use super::ListedEnd;
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
use super::TakeoverEvidence;
use super::UNREACHABLE_MS;
use super::active::PendingStop;
use super::active::Phase;
use super::active::RESTARTED;
use super::active::TrackedRun;
use super::active::interrupted_end;
use crate::agent::RunEnd;

/// First step by which the token is raised after a fenced poll; it doubles with each further one.
const FIRST_TOKEN_STEP: u64 = 1;
/// Limit on the number of times that the step doubles.
const MAX_TOKEN_STEP_BITS: u32 = 40;

impl Runs {
    pub(super) fn send_poll_if_due(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let resolves_start = self.may_resolve_start();
        let may_poll = self.may_poll(now) || self.awaits_snapshot_after_restart();
        let is_urgent = resolves_start || self.has_unpolled_heartbeat();
        if !is_urgent && (now < self.next_poll_at || !may_poll) {
            return;
        }
        self.pending_polls += 1;
        self.last_poll_sent_at = now;
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.is_polled = true;
        }
        self.last_poll_token = self.token;
        // A poll without an answer may still renew the lease. While polls fail, they request no renewal;
        // otherwise the runs of an unreachable target could never be known to have ended.
        let renews_lease = !self.tracked.is_empty() && self.polls_failing_since.is_none();
        let lease_until = self.next_lease_end(now).filter(|_| renews_lease);
        if lease_until.is_some() {
            self.extend_lease_bound(now);
        }
        // Until the takeover is complete, the clock and the runs of earlier incarnations are needed at once, and
        // so are the clock of a restarted target, further ends and the answer that resolves a start or confirms a
        // heartbeat.
        let may_wait = self.taken_over
            && self.has_read_all_ends
            && self.target_clock.is_some()
            && self.unconfirmed.is_none();
        let wait_ms = if may_wait && !resolves_start {
            self.options.poll_wait_ms
        } else {
            dfs_ids::Millis::default()
        };
        out.push(RunsAction::SendPoll(PollRequest {
            target: self.target_id(),
            lease_until,
            token: self.token,
            last_acked_end: self.end_to_acknowledge(),
            wait_ms,
            sent_at: now,
        }));
    }

    const fn end_to_acknowledge(&self) -> u64 {
        if self.maybe_restarted_at.is_some() {
            return 0;
        }
        self.last_end_sequence
    }

    /// Whether a start was not answered that no poll sent so far resolves. Its task waits until it is certain
    /// that the run never starts here.
    fn may_resolve_start(&self) -> bool {
        let is_unresolved = |tracked: &TrackedRun| matches!(tracked.phase, Phase::Unanswered { resolved_by } if resolved_by > self.last_poll_token);
        self.pending_polls < MAX_PENDING_POLLS && self.tracked.values().any(is_unresolved)
    }

    /// Whether a heartbeat waits to be confirmed and no poll was sent since it arrived.
    fn has_unpolled_heartbeat(&self) -> bool {
        let unconfirmed = self.unconfirmed.as_ref();
        self.pending_polls < MAX_PENDING_POLLS && unconfirmed.is_some_and(|last| !last.is_polled)
    }

    /// Whether the target has restarted and no poll was sent since. Nothing starts there until one is answered.
    fn awaits_snapshot_after_restart(&self) -> bool {
        self.pending_polls < MAX_PENDING_POLLS
            && self.target_clock.is_none()
            && self.last_poll_sent_at < self.incarnation_since
    }

    /// Allows one poll at a time, and a further one when the last answer is overdue.
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
        if outcome != PollOutcome::NotListening {
            self.not_listening_since = None;
        }
        if matches!(
            outcome,
            PollOutcome::NotListening
                | PollOutcome::WrongIncarnation
                | PollOutcome::Disconnected { .. }
                | PollOutcome::Failed { .. }
        ) {
            self.maybe_restarted_at = Some(now);
        }
        match outcome {
            PollOutcome::Runs(snapshot) => self.on_snapshot(now, poll, &snapshot, out),
            PollOutcome::Fenced => self.raise_token_after_fenced_poll(poll.token),
            // The poll was sent for a target id that is known to be replaced.
            PollOutcome::WrongIncarnation if poll.target != self.target_id() => {}
            PollOutcome::WrongIncarnation => {
                self.on_id_refused(now, out);
                self.next_poll_at = now + POLL_RETRY_DELAY_MS;
            }
            PollOutcome::NotListening => {
                self.next_poll_at = now + POLL_RETRY_DELAY_MS;
                self.on_not_listening(now, out);
            }
            // The failure is outdated: a snapshot has arrived since this poll was sent.
            PollOutcome::Disconnected { .. } | PollOutcome::Failed { .. }
                if poll.sent_at < self.last_snapshot_at => {}
            PollOutcome::Disconnected { message } => {
                // The first poll after it renews the lease at once if only the connection broke.
                let is_first = !std::mem::replace(&mut self.is_disconnected, true);
                self.next_poll_at = if is_first {
                    now
                } else {
                    now + POLL_RETRY_DELAY_MS
                };
                self.on_poll_failed(now, message, out);
            }
            PollOutcome::Failed { message } => {
                self.next_poll_at = now + POLL_RETRY_DELAY_MS;
                self.on_poll_failed(now, message, out);
            }
        }
    }

    /// Raises the token above one that was too low. The token of an earlier incarnation of the agent may be
    /// higher by an unknown amount, so the step doubles with each consecutive fenced poll.
    fn raise_token_after_fenced_poll(&mut self, above: FencingToken) {
        let step = FIRST_TOKEN_STEP << self.fenced_polls.min(MAX_TOKEN_STEP_BITS);
        self.fenced_polls += 1;
        self.token = self.token.max(FencingToken(above.0 + step));
    }

    fn on_poll_failed(&mut self, now: Moment, message: String, out: &mut Vec<RunsAction>) {
        let failing_since = *self.polls_failing_since.get_or_insert(now);
        if now.since(failing_since) < UNREACHABLE_MS || !self.is_announced {
            return;
        }
        self.send_goodbye(out);
        out.push(RunsAction::TargetUnreachable {
            running_tasks: self.tracked.len(),
            message,
        });
    }

    /// Withdraws a target at whose address no process listens. Its runs may go on: only its listener may have failed.
    fn on_not_listening(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        self.polls_failing_since.get_or_insert(now);
        if self.not_listening_since.is_none() {
            self.not_listening_since = Some(now);
            // Fences starts in flight, which the target's next process could execute under the same id.
            self.raise_token(self.token);
        }
        if self.is_announced {
            self.send_goodbye(out);
            out.push(RunsAction::TargetUnreachable {
                running_tasks: self.tracked.len(),
                message: "no process listens at its address".to_owned(),
            });
        }
    }

    fn on_snapshot(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        snapshot: &RunSnapshot,
        out: &mut Vec<RunsAction>,
    ) {
        if self.is_outdated(poll, snapshot) {
            return;
        }
        if snapshot.incarnation.is_some() && snapshot.incarnation != self.incarnation {
            // After a refused id the list is the first to show which incarnation is there.
            let is_replaced = self.incarnation.is_none()
                && self.previous_incarnation.is_some()
                && self.previous_incarnation != snapshot.incarnation;
            if self.incarnation.is_some() {
                self.on_new_incarnation(now, snapshot.incarnation, out);
            }
            self.set_incarnation(now, snapshot.incarnation);
            if is_replaced {
                self.report_crash(out);
            }
        }
        if poll.target.is_some() {
            self.answered_as.clone_from(&poll.target);
        }
        self.maybe_restarted_at.take_if(|at| *at <= poll.sent_at);
        self.expired_tasks.clear();
        self.is_exit_accounted = false;
        self.is_disconnected = false;
        self.last_snapshot_at = now;
        self.last_answered_poll_sent_at = self.last_answered_poll_sent_at.max(poll.sent_at);
        if std::mem::take(&mut self.fenced_polls) > 0 && !self.taken_over {
            // The token that was accepted may equal that of an earlier incarnation, whose late starts still take effect.
            self.raise_token(poll.token);
            self.takeover_token = self.token;
        }
        let had_clock = self.target_clock.is_some();
        self.record_clock(now, Some(snapshot.clock));
        for ended in &snapshot.ended {
            self.on_ended(now, ended, out);
        }
        let runs = snapshot.running.iter();
        let running: HashSet<_> = runs.map(|run| (run.name.clone(), run.run)).collect();
        self.resolve_unanswered_starts(now, poll, snapshot.is_complete, &running, out);
        if snapshot.is_complete {
            self.end_missing_runs(now, poll, &running, out);
        }
        self.track_orphans(now, &running, out);
        self.stop_orphans(now, out);
        self.resend_stops(now, out);
        self.report_progress(snapshot, out);
        self.last_run_numbers
            .retain(|_, (_, ended_at)| now < *ended_at + RUN_NUMBER_RETENTION_MS);
        let was_failing = self.polls_failing_since.take().is_some();
        let had_read_all_ends =
            std::mem::replace(&mut self.has_read_all_ends, snapshot.is_complete);
        self.use_recalled_heartbeat(now, out);
        let is_judged = self.judge_unconfirmed(poll, snapshot.incarnation, out);
        let is_fenced = poll.token >= self.takeover_token;
        let has_orphans = self.orphans(&running).next().is_some();
        if !self.taken_over && is_fenced && snapshot.is_complete && !has_orphans {
            self.complete_takeover(TakeoverEvidence::List, out);
            self.announce_if_ready(now, out);
        } else if was_failing || !had_clock || !had_read_all_ends || is_judged {
            self.announce_if_ready(now, out);
        }
    }

    /// Whether a snapshot may have been taken by an earlier incarnation, and is not known to be of the present
    /// one. Start times of incarnations are not compared, as the target's time of day may be set back.
    fn is_outdated(&self, poll: &PollRequest, snapshot: &RunSnapshot) -> bool {
        let is_current = snapshot.incarnation.is_some() && snapshot.incarnation == self.incarnation;
        poll.sent_at < self.incarnation_since && !is_current
    }

    fn on_ended(&mut self, now: Moment, ended: &EndedRun, out: &mut Vec<RunsAction>) {
        if ended.sequence <= self.last_end_sequence {
            return;
        }
        self.last_end_sequence = ended.sequence;
        if !self.is_tracked(&ended.name, ended.run) {
            return;
        }
        let end = match &ended.outcome {
            RunOutcome::Done => RunEnd::Finished(TaskOutcome::Done(null_result())),
            RunOutcome::Failed => {
                let message = "the task failed on its target".to_owned();
                RunEnd::Finished(TaskOutcome::Failed(message))
            }
            RunOutcome::Interrupted(reason) => {
                interrupted_end(format!("the run ended as {reason}"))
            }
        };
        let listed = ListedEnd {
            sequence: ended.sequence,
            incarnation: self.incarnation,
        };
        self.end_run(now, &ended.name, end, Some(listed), out);
    }

    fn is_tracked(&self, name: &Arc<str>, run: RunNumber) -> bool {
        self.tracked
            .get(name)
            .is_some_and(|tracked| tracked.run == run)
    }

    /// Resolves unanswered starts after a poll with a token that fences them: a run that a complete snapshot
    /// does not list never starts.
    fn resolve_unanswered_starts(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        is_complete: bool,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let is_resolved = |tracked: &TrackedRun| match tracked.phase {
            Phase::Unanswered { resolved_by } => poll.token >= resolved_by,
            Phase::Requested | Phase::Running { .. } => false,
        };
        let resolved = self
            .tracked
            .iter()
            .filter(|(_, tracked)| is_resolved(tracked));
        let resolved: Vec<_> = resolved
            .map(|(name, tracked)| (name.clone(), tracked.run, tracked.may_have_run))
            .collect();
        for (name, run, may_have_run) in resolved {
            if running.contains(&(name.clone(), run)) {
                if let Some(tracked) = self.tracked.get_mut(&name) {
                    tracked.phase = Phase::Running { since: now };
                }
            } else if is_complete {
                let end = if may_have_run {
                    interrupted_end(RESTARTED.to_owned())
                } else {
                    RunEnd::NotStarted(NotRunReason::ConnectionRefused)
                };
                self.end_run(now, &name, end, None, out);
            }
        }
    }

    /// Ends runs that were known to be running before the poll was sent, but are neither listed as active nor
    /// reported as ended.
    fn end_missing_runs(
        &mut self,
        now: Moment,
        poll: &PollRequest,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let is_missing = |(name, tracked): &(&Arc<str>, &TrackedRun)| {
            let is_listed = running.contains(&(Arc::clone(name), tracked.run));
            matches!(tracked.phase, Phase::Running { since } if since < poll.sent_at) && !is_listed
        };
        let missing = self.tracked.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|(name, _)| name.clone()).collect();
        for name in missing {
            let end = interrupted_end("the target does not know the run any more".to_owned());
            self.end_run(now, &name, end, None, out);
        }
    }

    /// Active runs that this process has not requested: those of an earlier incarnation of the agent.
    fn orphans<'a>(
        &'a self,
        running: &'a HashSet<(Arc<str>, RunNumber)>,
    ) -> impl Iterator<Item = &'a (Arc<str>, RunNumber)> {
        running
            .iter()
            .filter(|(name, run)| !self.is_tracked(name, *run))
    }

    /// Updates the orphans to those that a snapshot lists; each keeps the time at which it was first listed.
    fn track_orphans(
        &mut self,
        now: Moment,
        running: &HashSet<(Arc<str>, RunNumber)>,
        out: &mut Vec<RunsAction>,
    ) {
        let listed: HashSet<_> = self.orphans(running).cloned().collect();
        self.orphans.retain(|run, _| listed.contains(run));
        for (name, run) in listed {
            if let Entry::Vacant(vacant) = self.orphans.entry((name.clone(), run)) {
                vacant.insert(PendingStop::new(now));
                out.push(RunsAction::StrayRun { name, run });
            }
        }
    }

    /// Sends the stops of orphans that are due.
    pub(super) fn stop_orphans(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let (target, token) = (self.target_id(), self.token);
        for ((name, run), stop) in &mut self.orphans {
            if !stop.is_due(now) {
                continue;
            }
            stop.sent_at = Some(now);
            self.orphans_stopped += 1;
            out.push(RunsAction::SendStop(StopRequest {
                target: target.clone(),
                name: name.clone(),
                run: *run,
                token,
            }));
        }
    }

    fn report_progress(&self, snapshot: &RunSnapshot, out: &mut Vec<RunsAction>) {
        let progress = snapshot.running.iter().filter_map(|running| {
            let tracked = self.tracked.get(&running.name)?;
            (tracked.run == running.run).then(|| (tracked.task.clone(), running.percent))
        });
        let progress: Vec<_> = progress.collect();
        if !progress.is_empty() {
            out.push(RunsAction::Progress(progress));
        }
    }

    fn resend_stops(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let pending = self
            .tracked
            .iter()
            .filter(|(_, tracked)| tracked.pending_stop.is_some());
        let pending: Vec<_> = pending.map(|(name, _)| name.clone()).collect();
        for name in pending {
            self.send_stop(now, &name, out);
        }
    }
}

/// Result of a completed task; the target only reports that it completed.
fn null_result() -> Arc<serde_json::value::RawValue> {
    Arc::from(serde_json::value::RawValue::NULL.to_owned())
}
