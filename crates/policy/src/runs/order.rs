//! Start and stop requests.

use std::sync::Arc;

use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TargetId;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskRef;

use super::FencingToken;
use super::Refusal;
use super::RequestOutcome;
use super::RunNumber;
use super::Runs;
use super::RunsAction;
use super::StartRequest;
use super::StopRequest;
use super::TargetTime;
use super::active::PendingStop;
use super::active::Phase;
use super::active::TrackedRun;
use super::active::WantedTask;
use crate::agent::RunEnd;

/// Number of times that a refused start is retried. A retry can correct an outdated run number, token or
/// clock.
const MAX_REFUSED_STARTS: u32 = 8;

impl Runs {
    pub(super) fn on_start(&mut self, now: Moment, wanted: WantedTask, out: &mut Vec<RunsAction>) {
        if !self.tracked.contains_key(&wanted.spec.name) {
            self.request_start(now, wanted, out);
            return;
        }
        // An earlier attempt of the same task is still active here, placed by an entry that is gone.
        let name = wanted.spec.name.clone();
        self.request_stop(now, &name, out);
        self.waiting_tasks
            .entry(name)
            .or_default()
            .push_back(wanted);
    }

    pub(super) fn on_stop(&mut self, now: Moment, task: &TaskRef, out: &mut Vec<RunsAction>) {
        if let Some(name) = self.names_by_task.get(task).cloned() {
            self.request_stop(now, &name, out);
            return;
        }
        let is_task = |waiting: &WantedTask| waiting.task == *task;
        for (name, waiting) in &mut self.waiting_tasks {
            if let Some(index) = waiting.iter().position(is_task) {
                waiting.remove(index);
                out.push(RunsAction::TaskEnded {
                    task: task.clone(),
                    name: name.clone(),
                    run: None,
                    listed: None,
                    lease_left_ms: Millis::default(),
                    run_us: 0,
                    end: RunEnd::NotStarted(NotRunReason::Withdrawn),
                });
            }
        }
        self.waiting_tasks.retain(|_, waiting| !waiting.is_empty());
    }

    pub(super) fn request_start(
        &mut self,
        now: Moment,
        wanted: WantedTask,
        out: &mut Vec<RunsAction>,
    ) {
        let WantedTask { task, spec, label } = wanted;
        let last_run = self
            .last_run_numbers
            .get(&spec.name)
            .map_or(0, |(run, _)| run.0);
        let name = spec.name.clone();
        self.names_by_task.insert(task.clone(), name.clone());
        self.tracked.insert(
            name.clone(),
            TrackedRun {
                task,
                spec,
                label,
                run: RunNumber(last_run + 1),
                started_at: now,
                phase: Phase::Requested,
                refused_starts: 0,
                may_have_run: false,
                pending_stop: None,
            },
        );
        self.send_start(now, &name, out);
    }

    fn send_start(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        let label = self.tracked.get(name).and_then(|run| run.label.clone());
        let target = self.target_with_label(label.as_ref());
        // Checked here as well as by the agent: the task may have waited for an earlier run, or the start be repeated.
        let target = target.filter(|_| !self.is_evacuated);
        let Some((lease_until, target)) = self.next_lease_end(now).zip(target) else {
            self.end_not_started(now, name, NotRunReason::Leaving, out);
            return;
        };
        let Some(tracked) = self.tracked.get_mut(name) else {
            return;
        };
        tracked.phase = Phase::Requested;
        out.push(RunsAction::SendStart(StartRequest {
            target: Some(target),
            spec: tracked.spec.clone(),
            run: tracked.run,
            lease_until,
            token: self.token,
        }));
        self.extend_lease_bound(now);
    }

    /// Id of the target if it certainly has a label; `None` too while a heartbeat leaves open which target is there.
    fn target_with_label(&self, label: Option<&Label>) -> Option<TargetId> {
        if self.unconfirmed.is_some() {
            return None;
        }
        let (heartbeat, _) = self.heartbeat.as_ref()?;
        // The target may have restarted since its last heartbeat, as one with other labels.
        let is_current = heartbeat
            .incarnation
            .zip(self.incarnation)
            .is_none_or(|(of_heartbeat, current)| of_heartbeat == current);
        let has_label = label.is_none() || (is_current && heartbeat.offer.has_label(label));
        has_label.then(|| heartbeat.target.clone())
    }

    /// Id that requests are meant for: that of the confirmed heartbeat, otherwise the one to be confirmed.
    pub(super) fn target_id(&self) -> Option<TargetId> {
        let confirmed = self.heartbeat.as_ref().map(|(heartbeat, _)| heartbeat);
        let unconfirmed = self.unconfirmed.as_ref().map(|last| &last.heartbeat);
        let heartbeat = confirmed.or(unconfirmed);
        heartbeat.map(|heartbeat| heartbeat.target.clone())
    }

    pub(super) fn request_stop(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        if let Some(tracked) = self.tracked.get_mut(name)
            && tracked.pending_stop.is_none()
        {
            tracked.pending_stop = Some(PendingStop::new(now));
        }
        self.send_stop(now, name, out);
    }

    /// Sends a pending stop, unless it was sent recently or the start is not answered yet: if a stop overtook
    /// its start, the target would refuse the run and never report an end of it.
    pub(super) fn send_stop(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        let (target, token) = (self.target_id(), self.token);
        let Some(tracked) = self.tracked.get_mut(name) else {
            return;
        };
        let is_running = matches!(tracked.phase, Phase::Running { .. });
        let Some(stop) = tracked.pending_stop.as_mut().filter(|_| is_running) else {
            return;
        };
        if !stop.is_due(now) {
            return;
        }
        stop.sent_at = Some(now);
        out.push(RunsAction::SendStop(StopRequest {
            target,
            name: name.clone(),
            run: tracked.run,
            token,
        }));
    }

    /// Repeats a stop request that was not answered. After an answer the next list of runs shows whether it took
    /// effect.
    pub(super) fn on_stop_completed(
        &mut self,
        now: Moment,
        request: &StopRequest,
        outcome: &RequestOutcome,
        out: &mut Vec<RunsAction>,
    ) {
        if !matches!(outcome, RequestOutcome::Unknown { .. }) {
            return;
        }
        let run = (request.name.clone(), request.run);
        if let Some(orphan) = self.orphans.get_mut(&run) {
            orphan.sent_at = None;
            self.stop_orphans(now, out);
            return;
        }
        if let Some(tracked) = self.tracked.get_mut(&request.name)
            && tracked.run == request.run
            && let Some(stop) = &mut tracked.pending_stop
        {
            stop.sent_at = None;
            self.send_stop(now, &request.name, out);
        }
    }

    pub(super) fn on_start_completed(
        &mut self,
        now: Moment,
        request: &StartRequest,
        outcome: RequestOutcome,
        out: &mut Vec<RunsAction>,
    ) {
        if may_have_restarted(&outcome) {
            self.maybe_restarted_at = Some(now);
        }
        let name = &request.spec.name;
        let is_current =
            |tracked: &TrackedRun| tracked.run == request.run && tracked.phase == Phase::Requested;
        let Some(tracked) = self.tracked.get(name).filter(|tracked| is_current(tracked)) else {
            return;
        };
        // The earlier incarnation may have answered, whose clock the present one does not continue.
        let is_clock_usable = !tracked.may_have_run;
        match outcome {
            RequestOutcome::Done { clock } => {
                self.record_clock(now, clock.filter(|_| is_clock_usable));
                if let Some(tracked) = self.tracked.get_mut(name) {
                    tracked.phase = Phase::Running { since: now };
                }
                self.send_stop(now, name, out);
            }
            RequestOutcome::Refused { refusal, clock } => {
                self.record_clock(now, clock.filter(|_| is_clock_usable));
                self.on_start_refused(now, request, refusal, out);
            }
            RequestOutcome::Unknown { message } => {
                self.raise_token(request.token);
                let resolved_by = self.token;
                if let Some(tracked) = self.tracked.get_mut(name) {
                    tracked.phase = Phase::Unanswered { resolved_by };
                }
                out.push(RunsAction::StartUnanswered {
                    name: name.clone(),
                    token: resolved_by,
                    message,
                });
            }
        }
    }

    fn on_start_refused(
        &mut self,
        now: Moment,
        request: &StartRequest,
        refusal: Refusal,
        out: &mut Vec<RunsAction>,
    ) {
        let name = &request.spec.name;
        let Some(tracked) = self.tracked.get_mut(name) else {
            return;
        };
        tracked.refused_starts += 1;
        tracked.may_have_run = false;
        out.push(RunsAction::StartRefused {
            task: tracked.task.clone(),
            name: name.clone(),
            run: request.run,
            refusal,
        });
        let may_retry =
            tracked.refused_starts <= MAX_REFUSED_STARTS && tracked.pending_stop.is_none();
        match refusal {
            Refusal::Fenced if may_retry => {
                self.raise_token(request.token);
                self.send_start(now, name, out);
            }
            Refusal::StaleRun if may_retry => {
                tracked.run = RunNumber(tracked.run.0 + 1);
                self.send_start(now, name, out);
            }
            Refusal::LeaseExpired if may_retry => self.send_start(now, name, out),
            Refusal::Evacuated => self.end_not_started(now, name, NotRunReason::Leaving, out),
            Refusal::NoCapacity => self.end_not_started(now, name, NotRunReason::Busy, out),
            Refusal::Malformed => self.end_not_started(now, name, NotRunReason::NotOffered, out),
            Refusal::Fenced
            | Refusal::StaleRun
            | Refusal::LeaseExpired
            | Refusal::Unhealthy
            | Refusal::NotListening => {
                self.end_not_started(now, name, NotRunReason::ConnectionRefused, out);
            }
            Refusal::WrongIncarnation => {
                self.end_not_started(now, name, NotRunReason::Leaving, out);
                // Otherwise the request was sent for a target id that is known to be replaced.
                if request.target == self.target_id() {
                    self.on_id_refused(now, out);
                }
            }
        }
    }

    fn end_not_started(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        reason: NotRunReason,
        out: &mut Vec<RunsAction>,
    ) {
        self.end_run(now, name, RunEnd::NotStarted(reason), None, out);
    }

    /// Handles an answer by a target that does not have the id which requests name. Another incarnation is there
    /// if the target has answered under that id before; otherwise no target had it.
    pub(super) fn on_id_refused(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let refused = self.target_id();
        let current = self.incarnation;
        let Some((heartbeat, _)) = self.heartbeat.take() else {
            let unconfirmed = self.unconfirmed.take();
            out.extend(unconfirmed.map(|last| last.heartbeat.rejected(current)));
            return;
        };
        // The next poll names the unconfirmed one.
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.is_polled = false;
        }
        if refused == self.answered_as {
            self.on_replaced(now, out);
            return;
        }
        self.send_goodbye(out);
        out.push(heartbeat.rejected(current));
    }

    /// Makes the token of later requests higher than `above`.
    pub(super) fn raise_token(&mut self, above: FencingToken) {
        self.token = self.token.max(FencingToken(above.0 + 1));
    }

    /// Stores the target's time, on which the ends of later leases are based.
    pub(super) fn record_clock(&mut self, now: Moment, clock: Option<TargetTime>) {
        if let Some(clock) = clock {
            self.target_clock = Some((clock, now));
        }
    }
}

/// Whether the outcome of a request leaves open which incarnation of the target is there now.
const fn may_have_restarted(outcome: &RequestOutcome) -> bool {
    match outcome {
        RequestOutcome::Done { .. } => false,
        RequestOutcome::Unknown { .. } => true,
        RequestOutcome::Refused { refusal, .. } => {
            matches!(refusal, Refusal::NotListening | Refusal::WrongIncarnation)
        }
    }
}
