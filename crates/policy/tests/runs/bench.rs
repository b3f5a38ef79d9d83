//! Test harness that drives a [`Runs`] by hand.

use std::sync::Arc;

use dfs_ids::Attempt;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Slots;
use dfs_ids::TaskIndex;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::ActiveRun;
use dfs_policy::runs::CrashedAttempt;
use dfs_policy::runs::EndedRun;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::PollRequest;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunSnapshot;
use dfs_policy::runs::Runs;
use dfs_policy::runs::RunsAction;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::RunsOptions;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use dfs_policy::runs::TargetIncarnation;
use dfs_policy::runs::TargetTime;
use dfs_policy::runs::TaskSpec;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;

pub const RUN_LEASE_MS: u64 = 800;
pub const MAX_LEASE_MS: u64 = 1_000;
pub const STOP_MS: u64 = 50;
pub const RESUBMIT_MS: u64 = 1_300;
pub const FIRST_TOKEN: u64 = 100;

pub fn options() -> RunsOptions {
    RunsOptions {
        run_lease_ms: Millis::new(RUN_LEASE_MS),
        max_lease_ms: Millis::new(MAX_LEASE_MS),
        stop_ms: Millis::new(STOP_MS),
        poll_wait_ms: Millis::new(250),
        heartbeat_lease_ms: Millis::new(4_500),
        resubmit_ms: Some(Millis::new(RESUBMIT_MS)),
    }
}

pub fn task(submission: &str) -> TaskRef {
    TaskRef {
        submission: submission.parse().unwrap(),
        task: TaskIndex::new(0),
        attempt: Attempt::new(0),
    }
}

pub fn spec(name: &str) -> TaskSpec {
    TaskSpec {
        name: Arc::from(name),
        payload: Arc::from("payload"),
    }
}

pub fn heartbeat(target: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        target: target.parse().unwrap(),
        incarnation: Some(TargetIncarnation(incarnation)),
        sequence,
        address: ([127, 0, 0, 1], 1).into(),
        is_draining: false,
        offer: Offer {
            target: target.parse().unwrap(),
            services: vec!["desk".parse().unwrap()],
            slots: Slots::new(8),
            connections: 8,
            resources: Resources::default(),
            labels: Vec::new(),
        },
    }
}

/// A [`Runs`] and the actions it has returned.
pub struct Harness {
    pub runs: Runs,
    pub now: Moment,
    pub starts: Vec<StartRequest>,
    pub stops: Vec<StopRequest>,
    pub polls: Vec<PollRequest>,
    pub ended: Vec<(TaskRef, RunEnd)>,
    pub announcement_count: usize,
    pub goodbye_count: usize,
    /// Tasks of each reported crash.
    pub crashes: Vec<Vec<CrashedAttempt>>,
    /// Number of ends before each reported crash.
    pub ends_before_crash: Vec<usize>,
    pub stored: Vec<Heartbeat>,
    pub rejected_heartbeats: usize,
}

impl Harness {
    pub fn new() -> Self {
        let now = Moment::from_millis(1_000);
        let mut harness = Self {
            runs: Runs::new(options(), FencingToken(FIRST_TOKEN), now),
            now,
            starts: Vec::new(),
            stops: Vec::new(),
            polls: Vec::new(),
            ended: Vec::new(),
            announcement_count: 0,
            goodbye_count: 0,
            crashes: Vec::new(),
            ends_before_crash: Vec::new(),
            stored: Vec::new(),
            rejected_heartbeats: 0,
        };
        harness.handle(RunsEvent::Tick);
        harness
    }

    /// A harness whose target has sent a heartbeat and answered the first poll.
    pub fn with_ready_target() -> Self {
        let mut harness = Self::new();
        harness.handle(RunsEvent::Heartbeat(heartbeat("t-1", 1, 1)));
        harness.answer_poll_with(&[], &[]);
        harness
    }

    pub fn handle(&mut self, event: RunsEvent) {
        for action in self.runs.handle(self.now, event) {
            match action {
                RunsAction::SendStart(request) => self.starts.push(request),
                RunsAction::SendStop(request) => self.stops.push(request),
                RunsAction::SendPoll(poll) => self.polls.push(poll),
                RunsAction::TaskEnded { task, end, .. } => self.ended.push((task, end)),
                RunsAction::Announce(_) => self.announcement_count += 1,
                RunsAction::TargetCrashed(tasks) => {
                    self.crashes.push(tasks);
                    self.ends_before_crash.push(self.ended.len());
                }
                RunsAction::Goodbye => self.goodbye_count += 1,
                RunsAction::StoreHeartbeat(heartbeat) => self.stored.push(heartbeat),
                RunsAction::HeartbeatRejected { .. } => self.rejected_heartbeats += 1,
                RunsAction::StrayRun { .. }
                | RunsAction::TakenOver { .. }
                | RunsAction::Progress(_)
                | RunsAction::TargetUnreachable { .. }
                | RunsAction::TargetRestarted { .. }
                | RunsAction::StartRefused { .. }
                | RunsAction::StartUnanswered { .. } => {}
            }
        }
    }

    pub fn advance(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.handle(RunsEvent::Tick);
    }

    pub fn start(&mut self, submission: &str, name: &str) {
        let (task, spec) = (task(submission), spec(name));
        let label = None;
        self.handle(RunsEvent::StartTask { task, spec, label });
    }

    /// Completes the latest start request with this outcome.
    pub fn answer_start(&mut self, outcome: RequestOutcome) {
        let request = self.starts.last().unwrap().clone();
        self.handle(RunsEvent::StartCompleted { request, outcome });
    }

    pub fn accept_start(&mut self) {
        self.answer_start(RequestOutcome::Done { clock: None });
    }

    /// Answers the latest poll with these active and ended runs.
    pub fn answer_poll_with(
        &mut self,
        running: &[(&str, u32)],
        ended: &[(u64, &str, u32, RunOutcome)],
    ) {
        let snapshot = self.snapshot(running, ended);
        self.answer_poll(PollOutcome::Runs(snapshot));
    }

    pub fn snapshot(
        &self,
        running: &[(&str, u32)],
        ended: &[(u64, &str, u32, RunOutcome)],
    ) -> RunSnapshot {
        let running = running.iter();
        let ended = ended.iter();
        RunSnapshot {
            clock: TargetTime(self.now.as_micros() / 1_000),
            incarnation: Some(TargetIncarnation(1)),
            running: running
                .map(|(name, run)| ActiveRun {
                    name: Arc::from(*name),
                    run: RunNumber(*run),
                    percent: 0,
                })
                .collect(),
            ended: ended
                .map(|(sequence, name, run, outcome)| EndedRun {
                    sequence: *sequence,
                    name: Arc::from(*name),
                    run: RunNumber(*run),
                    outcome: outcome.clone(),
                })
                .collect(),
            is_complete: true,
        }
    }

    /// Answers a poll with the active and ended runs of this incarnation.
    pub fn answer_poll_from(
        &mut self,
        incarnation: u64,
        poll: PollRequest,
        running: &[(&str, u32)],
        ended: &[(u64, &str, u32, RunOutcome)],
    ) {
        let mut snapshot = self.snapshot(running, ended);
        snapshot.incarnation = Some(TargetIncarnation(incarnation));
        let outcome = PollOutcome::Runs(snapshot);
        self.handle(RunsEvent::PollCompleted { poll, outcome });
    }

    pub fn last_poll(&self) -> PollRequest {
        self.polls.last().unwrap().clone()
    }

    pub fn answer_poll(&mut self, outcome: PollOutcome) {
        let poll = self.polls.last().unwrap().clone();
        self.handle(RunsEvent::PollCompleted { poll, outcome });
    }

    /// Answers the latest poll as an incarnation of the target without runs.
    pub fn answer_poll_of_incarnation(&mut self, incarnation: u64) {
        let mut snapshot = self.snapshot(&[], &[]);
        snapshot.incarnation = Some(TargetIncarnation(incarnation));
        self.answer_poll(PollOutcome::Runs(snapshot));
    }

    pub fn fail_poll(&mut self) {
        let message = "no answer".to_owned();
        self.answer_poll(PollOutcome::Failed { message });
    }
}

pub fn unanswered() -> RequestOutcome {
    RequestOutcome::Unknown {
        message: "no answer".to_owned(),
    }
}

pub fn disconnected() -> PollOutcome {
    PollOutcome::Disconnected {
        message: "the connection broke".to_owned(),
    }
}

pub fn refused(refusal: Refusal) -> RequestOutcome {
    RequestOutcome::Refused {
        refusal,
        clock: None,
    }
}

pub fn is_done(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Finished(TaskOutcome::Done(_)))
}

pub fn is_interrupted(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Finished(TaskOutcome::Unknown(_)))
}
