//! Orders to start and stop.

use std::sync::Arc;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
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
use super::TaskSpec;
use super::active::Active;
use super::active::Phase;
use super::active::Stop;
use crate::agent::RunEnd;

/// Most refusals of one start that another order may mend: an old run number, token or clock.
const MAX_REFUSALS: u32 = 8;
/// Time after which a stop is sent again.
const STOP_AGAIN_MS: Millis = Millis::new(150);

impl Runs {
    pub(super) fn on_start(
        &mut self,
        now: Moment,
        task: TaskRef,
        spec: TaskSpec,
        out: &mut Vec<RunsAction>,
    ) {
        if !self.active.contains_key(&spec.name) {
            self.request_start(now, task, spec, out);
            return;
        }
        // An earlier attempt of the same task runs here for an entry that has gone.
        let name = spec.name.clone();
        self.request_stop(now, &name, out);
        self.successors
            .entry(name)
            .or_default()
            .push_back((task, spec));
    }

    pub(super) fn on_stop(&mut self, now: Moment, task: &TaskRef, out: &mut Vec<RunsAction>) {
        if let Some(name) = self.names.get(task).cloned() {
            self.request_stop(now, &name, out);
            return;
        }
        let waits = |(waiting, _): &(TaskRef, TaskSpec)| waiting == task;
        for waiting in self.successors.values_mut() {
            if let Some(at) = waiting.iter().position(waits) {
                waiting.remove(at);
                out.push(RunsAction::TaskEnded {
                    task: task.clone(),
                    run_us: 0,
                    end: RunEnd::NotStarted(NotRunReason::Withdrawn),
                });
            }
        }
        self.successors.retain(|_, waiting| !waiting.is_empty());
    }

    pub(super) fn request_start(
        &mut self,
        now: Moment,
        task: TaskRef,
        spec: TaskSpec,
        out: &mut Vec<RunsAction>,
    ) {
        let earlier = self
            .last_run_numbers
            .get(&spec.name)
            .map_or(0, |(run, _)| run.0);
        let name = spec.name.clone();
        self.names.insert(task.clone(), name.clone());
        self.active.insert(
            name.clone(),
            Active {
                task,
                spec,
                run: RunNumber(earlier + 1),
                started_at: now,
                phase: Phase::Requested,
                refusals: 0,
                stop: None,
            },
        );
        self.send_start(now, &name, out);
    }

    fn send_start(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        let lease_until = self.lease_end(now).unwrap_or_default();
        let target = self.target();
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        active.phase = Phase::Requested;
        out.push(RunsAction::SendStart(StartRequest {
            target,
            spec: active.spec.clone(),
            run: active.run,
            lease_until,
            token: self.token,
        }));
        self.note_lease(now);
    }

    pub(super) fn target(&self) -> Option<dfs_ids::TargetId> {
        self.heartbeat
            .as_ref()
            .map(|(heartbeat, _)| heartbeat.target.clone())
    }

    pub(super) fn request_stop(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        if let Some(active) = self.active.get_mut(name)
            && active.stop.is_none()
        {
            active.stop = Some(Stop { sent_at: None });
        }
        self.send_stop(now, name, out);
    }

    /// Sends a stop that is asked for, unless it was sent lately or the start is not answered: a stop
    /// that overtook its start would leave the start without an end.
    pub(super) fn send_stop(&mut self, now: Moment, name: &Arc<str>, out: &mut Vec<RunsAction>) {
        let (target, token) = (self.target(), self.token);
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        let is_running = matches!(active.phase, Phase::Running { .. });
        let Some(stop) = active.stop.as_mut().filter(|_| is_running) else {
            return;
        };
        if stop.sent_at.is_some_and(|at| now < at + STOP_AGAIN_MS) {
            return;
        }
        stop.sent_at = Some(now);
        out.push(RunsAction::SendStop(StopRequest {
            target,
            name: name.clone(),
            run: active.run,
            token,
        }));
    }

    pub(super) fn on_start_completed(
        &mut self,
        now: Moment,
        request: &StartRequest,
        outcome: RequestOutcome,
        out: &mut Vec<RunsAction>,
    ) {
        let name = &request.spec.name;
        let is_current =
            |active: &Active| active.run == request.run && active.phase == Phase::Requested;
        if !self.active.get(name).is_some_and(is_current) {
            return;
        }
        match outcome {
            RequestOutcome::Done { clock } => {
                self.note_clock(now, clock);
                if let Some(active) = self.active.get_mut(name) {
                    active.phase = Phase::Running { since: now };
                }
                self.send_stop(now, name, out);
            }
            RequestOutcome::Refused { refusal, clock } => {
                self.note_clock(now, clock);
                self.on_start_refused(now, request, refusal, out);
            }
            RequestOutcome::Unknown { message } => {
                self.raise_token(request.token);
                let settled_by = self.token;
                if let Some(active) = self.active.get_mut(name) {
                    active.phase = Phase::Unknown { settled_by };
                }
                out.push(RunsAction::StartUnanswered {
                    name: name.clone(),
                    token: settled_by,
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
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        active.refusals += 1;
        let may_mend = active.refusals <= MAX_REFUSALS && active.stop.is_none();
        match refusal {
            Refusal::Fenced if may_mend => {
                self.raise_token(request.token);
                self.send_start(now, name, out);
            }
            Refusal::StaleRun if may_mend => {
                active.run = RunNumber(active.run.0 + 1);
                self.send_start(now, name, out);
            }
            Refusal::LeaseExpired if may_mend => self.send_start(now, name, out),
            Refusal::NoCapacity => self.end_not_started(now, name, NotRunReason::Busy, out),
            Refusal::Malformed => {
                let message = "the target does not accept the task".to_owned();
                let end = RunEnd::Started(TaskOutcome::Failed(message));
                self.end(now, name, end, out);
            }
            Refusal::Fenced | Refusal::StaleRun | Refusal::LeaseExpired | Refusal::Unhealthy => {
                self.end_not_started(now, name, NotRunReason::ConnectionRefused, out);
            }
            Refusal::WrongIncarnation => {
                self.end_not_started(now, name, NotRunReason::Leaving, out);
                self.on_incarnation_lost(now, out);
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
        self.end(now, name, RunEnd::NotStarted(reason), out);
    }

    /// Another life of the target is there; nothing is known of it until its heartbeat.
    pub(super) fn on_incarnation_lost(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        self.heartbeat = None;
        self.on_new_incarnation(now, out);
        self.say_goodbye(out);
    }

    /// Makes the token of later orders higher than a given one.
    pub(super) fn raise_token(&mut self, above: FencingToken) {
        self.token = self.token.max(FencingToken(above.0 + 1));
    }

    pub(super) fn note_clock(&mut self, now: Moment, clock: Option<TargetTime>) {
        if let Some(clock) = clock {
            self.clock = Some((clock, now));
        }
    }
}
