//! Heartbeats: which of them are the target's own, and what is announced of it.

use dfs_ids::Moment;
use dfs_ids::TargetId;
use dfs_wire::target::Announcement;

use super::Heartbeat;
use super::PollRequest;
use super::Runs;
use super::RunsAction;
use super::TargetIncarnation;

/// A heartbeat that no answer of the target has confirmed.
#[derive(Debug)]
pub(super) struct UnconfirmedHeartbeat {
    pub heartbeat: Heartbeat,
    pub received_at: Moment,
    /// Whether a poll was sent since it was received.
    pub is_polled: bool,
}

impl Runs {
    pub(super) fn on_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: Heartbeat,
        out: &mut Vec<RunsAction>,
    ) {
        if let Some((known, received_at)) = &self.heartbeat
            && self.is_outdated_heartbeat(now, &heartbeat, known, *received_at)
        {
            return;
        }
        if self.is_confirmed(&heartbeat) {
            self.accept_heartbeat(heartbeat, now, out);
            self.announce_if_ready(now, out);
            return;
        }
        self.unconfirmed = Some(UnconfirmedHeartbeat {
            heartbeat,
            received_at: now,
            is_polled: false,
        });
        self.send_goodbye(out);
    }

    /// Whether a heartbeat is of the incarnation that the target's answers have shown.
    fn is_confirmed(&self, heartbeat: &Heartbeat) -> bool {
        let is_current =
            heartbeat.incarnation.is_some() && heartbeat.incarnation == self.incarnation;
        match &self.heartbeat {
            Some((known, _)) if incarnation_key(known) == incarnation_key(heartbeat) => true,
            // The target has restarted since; it may have another id now.
            Some((known, _)) => is_current && known.incarnation != self.incarnation,
            None => is_current,
        }
    }

    fn accept_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        received_at: Moment,
        out: &mut Vec<RunsAction>,
    ) {
        let is_stored = |stored: &Heartbeat| stored.agrees_with(&heartbeat);
        if !self.stored_heartbeat.as_ref().is_some_and(is_stored) {
            out.push(RunsAction::StoreHeartbeat(heartbeat.clone()));
        }
        self.recalled_heartbeat = None;
        self.is_exit_planned = heartbeat.is_draining;
        self.heartbeat = Some((heartbeat, received_at));
    }

    /// Accepts or rejects the unconfirmed heartbeat by an answer of the target; false if it stays open. An answer to
    /// a poll that was sent before the heartbeat arrived rejects nothing, as the target may have restarted in
    /// between.
    pub(super) fn judge_unconfirmed(
        &mut self,
        poll: &PollRequest,
        incarnation: Option<TargetIncarnation>,
        out: &mut Vec<RunsAction>,
    ) -> bool {
        let Some(unconfirmed) = &self.unconfirmed else {
            return false;
        };
        let is_sender = self.is_sender(&unconfirmed.heartbeat, poll, incarnation);
        if !is_sender && poll.sent_at < unconfirmed.received_at {
            return false;
        }
        let Some(unconfirmed) = self.unconfirmed.take() else {
            return false;
        };
        if is_sender {
            self.accept_heartbeat(unconfirmed.heartbeat, unconfirmed.received_at, out);
        } else {
            out.push(unconfirmed.heartbeat.rejected(incarnation));
        }
        true
    }

    /// Whether the target that has answered a poll as `incarnation` is the one that sent a heartbeat.
    fn is_sender(
        &self,
        heartbeat: &Heartbeat,
        poll: &PollRequest,
        incarnation: Option<TargetIncarnation>,
    ) -> bool {
        let Some(incarnation) = incarnation else {
            return poll.target.as_ref() == Some(&heartbeat.target);
        };
        // A current heartbeat that is confirmed has named another id.
        let has_other_id = self
            .heartbeat
            .as_ref()
            .is_some_and(|(known, _)| known.incarnation == Some(incarnation));
        heartbeat.incarnation == Some(incarnation) && !has_other_id
    }

    /// Whether a heartbeat was sent before `known`, by the same incarnation or an earlier one. What snapshots
    /// have shown comes before start times, as the target's time of day may be set back.
    ///
    /// Sequence numbers decide only while the known heartbeat is fresh: if that is not the target's own and has too
    /// high a number, those of the target must not be ignored for good. A target that is leaving does not come back.
    fn is_outdated_heartbeat(
        &self,
        now: Moment,
        heartbeat: &Heartbeat,
        known: &Heartbeat,
        received_at: Moment,
    ) -> bool {
        if heartbeat.incarnation.is_none() && known.incarnation.is_some() {
            // The target names its incarnation, so this is from another writer.
            return true;
        }
        if incarnation_key(heartbeat) == incarnation_key(known) {
            let is_fresh = now.since(received_at) < self.options.heartbeat_lease_ms;
            return heartbeat.sequence <= known.sequence && (is_fresh || known.is_draining);
        }
        let Some(incarnation) = heartbeat.incarnation else {
            return false;
        };
        if self.incarnation == Some(incarnation) {
            return false;
        }
        self.previous_incarnation == Some(incarnation) || Some(incarnation) < known.incarnation
    }

    pub(super) fn on_heartbeat_recalled(
        &mut self,
        now: Moment,
        heartbeat: Heartbeat,
        out: &mut Vec<RunsAction>,
    ) {
        self.stored_heartbeat.get_or_insert(heartbeat.clone());
        if self.heartbeat.is_none() {
            self.recalled_heartbeat = Some(heartbeat);
            self.use_recalled_heartbeat(now, out);
        }
    }

    /// Takes a recalled heartbeat for the current one if the target still is the incarnation that sent it, so
    /// that a restarted agent need not wait for the next one.
    pub(super) fn use_recalled_heartbeat(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let is_same = |recalled: &mut Heartbeat| {
            recalled.incarnation.is_some() && recalled.incarnation == self.incarnation
        };
        if let Some(heartbeat) = self.recalled_heartbeat.take_if(is_same) {
            self.heartbeat = Some((heartbeat, now));
            self.announce_if_ready(now, out);
        }
    }

    pub(super) fn on_deregistered(&mut self, target: &TargetId, out: &mut Vec<RunsAction>) {
        let is_this = |known: &(Heartbeat, Moment)| known.0.target == *target;
        if self.heartbeat.as_ref().is_some_and(is_this) {
            self.is_exit_planned = true;
            self.heartbeat = None;
            self.send_goodbye(out);
        }
    }

    /// Announces the target to the agent if the takeover is complete, all ends are read, the target responds
    /// and has sent its time, its heartbeat is of the incarnation that responds, and no other one waits to be
    /// confirmed. Withdraws the announcement if the target is draining or its heartbeat is overdue.
    pub(super) fn announce_if_ready(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let Some((heartbeat, received_at)) = &self.heartbeat else {
            return;
        };
        let is_fresh = now.since(*received_at) < self.options.heartbeat_lease_ms;
        let is_of_other_incarnation = heartbeat
            .incarnation
            .zip(self.incarnation)
            .is_some_and(|(of_heartbeat, current)| of_heartbeat != current);
        if heartbeat.is_draining
            || !self.taken_over
            || !self.has_read_all_ends
            || self.target_clock.is_none()
            || is_of_other_incarnation
            || self.polls_failing_since.is_some()
            || self.unconfirmed.is_some()
            || !is_fresh
        {
            if heartbeat.is_draining || !is_fresh {
                self.send_goodbye(out);
            }
            return;
        }
        self.is_announced = true;
        out.push(RunsAction::Announce(Announcement {
            address: heartbeat.address,
            lease_ms: self.options.heartbeat_lease_ms,
            offer: heartbeat.offer.clone(),
        }));
    }
}

fn incarnation_key(heartbeat: &Heartbeat) -> (&TargetId, Option<TargetIncarnation>) {
    (&heartbeat.target, heartbeat.incarnation)
}
