//! Randomized test with lost and delayed requests and responses against a model of the target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::Runs;
use dfs_policy::runs::RunsAction;
use dfs_policy::runs::RunsEvent;
use dfs_wire::session::TaskRef;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::bench::heartbeat;
use super::bench::options;
use super::bench::spec;
use super::bench::task;
use super::target::Target;

const SEEDS: u64 = 400;
const SIMULATION_MS: u64 = 20_000;
/// Faults are injected only before this time, so that all tasks can end.
const FAULTS_END_MS: u64 = 12_000;
const TASKS: u64 = 60;
/// Latest time at which a request without an answer may still be executed.
const MAX_DELAY_MS: u64 = 6_000;
const POLL_RESPONSE_MS: u64 = 30;
const ANSWER_TIMEOUT_MS: u64 = 300;
/// Longest delay of a request, and of an answer, that still arrives in time.
const MAX_SLOW_MS: u64 = ANSWER_TIMEOUT_MS / 2;
const MAX_RESTARTS: u64 = 6;
/// Latest time after a restart at which the new incarnation sends its first heartbeat.
const MAX_FIRST_HEARTBEAT_MS: u64 = 400;

enum ScheduledStep {
    Event(RunsEvent),
    Heartbeat,
    Restart,
    /// A request that reaches the target; its answer arrives or is lost.
    Deliver {
        action: RunsAction,
        is_answered: bool,
        /// Incarnation of the target when the request was sent.
        incarnation: u64,
        sent_ms: u64,
    },
}

struct Simulation {
    random: SmallRng,
    now_ms: u64,
    runs: Runs,
    target: Target,
    /// Steps by time in milliseconds and order of insertion.
    schedule: BTreeMap<(u64, u64), ScheduledStep>,
    scheduled_count: u64,
    open_tasks: BTreeSet<TaskRef>,
    ended_count: u64,
    heartbeat_count: u64,
}

impl Simulation {
    fn new(seed: u64, max_restarts: u64) -> Self {
        let now = Moment::from_millis(0);
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            runs: Runs::new(options(), FencingToken(1), now),
            target: Target::default(),
            schedule: BTreeMap::new(),
            scheduled_count: 0,
            open_tasks: BTreeSet::new(),
            ended_count: 0,
            heartbeat_count: 0,
        };
        for n in 0..SIMULATION_MS / 1_500 {
            simulation.schedule_at(n * 1_500, ScheduledStep::Heartbeat);
        }
        for _ in 0..simulation.random.random_range(0..=max_restarts) {
            let at = simulation.random.random_range(2_000..FAULTS_END_MS);
            simulation.schedule_at(at, ScheduledStep::Restart);
        }
        for n in 0..TASKS {
            // Some names occur twice, as when a caller resubmits its job.
            let name = format!("job.{}", n % (TASKS * 2 / 3));
            let at = 2_000 + simulation.random.random_range(0..FAULTS_END_MS - 2_000);
            let (task, spec) = (task(&format!("s-{n}")), spec(&name));
            simulation.schedule_at(
                at,
                ScheduledStep::Event(RunsEvent::StartTask {
                    task: task.clone(),
                    spec,
                    label: None,
                }),
            );
            if simulation.random.random_bool(0.2) {
                let later = at + simulation.random.random_range(0..300);
                simulation.schedule_at(later, ScheduledStep::Event(RunsEvent::StopTask { task }));
            }
        }
        for ms in (0..SIMULATION_MS).step_by(50) {
            simulation.schedule_at(ms, ScheduledStep::Event(RunsEvent::Tick));
        }
        simulation
    }

    fn schedule_at(&mut self, ms: u64, step: ScheduledStep) {
        self.scheduled_count += 1;
        self.schedule.insert((ms, self.scheduled_count), step);
    }

    fn run(&mut self) {
        while let Some(((ms, _), step)) = self.schedule.pop_first()
            && ms <= SIMULATION_MS
        {
            self.now_ms = ms;
            self.target.tick(ms);
            match step {
                ScheduledStep::Event(event) => self.handle(event),
                ScheduledStep::Heartbeat => self.send_heartbeat(),
                ScheduledStep::Restart => self.restart_target(),
                // A request that waits for longer than its timeout is lost with the process that holds it.
                ScheduledStep::Deliver {
                    incarnation,
                    sent_ms,
                    ..
                } if incarnation != self.target.incarnation()
                    && ms >= sent_ms + ANSWER_TIMEOUT_MS => {}
                ScheduledStep::Deliver {
                    action,
                    is_answered,
                    ..
                } => self.deliver(action, is_answered),
            }
        }
    }

    fn send_heartbeat(&mut self) {
        self.heartbeat_count += 1;
        let heartbeat = heartbeat("t-1", self.target.incarnation(), self.heartbeat_count);
        self.handle(RunsEvent::Heartbeat(heartbeat));
    }

    fn restart_target(&mut self) {
        self.target.restart(self.now_ms);
        let first_heartbeat_ms = self.random.random_range(0..MAX_FIRST_HEARTBEAT_MS);
        self.schedule_at(self.now_ms + first_heartbeat_ms, ScheduledStep::Heartbeat);
    }

    fn handle(&mut self, event: RunsEvent) {
        if let RunsEvent::StartTask { task, .. } = &event {
            self.open_tasks.insert(task.clone());
        }
        let now = Moment::from_millis(0) + Millis::new(self.now_ms);
        for action in self.runs.handle(now, event) {
            match action {
                RunsAction::SendStart(_) | RunsAction::SendStop(_) | RunsAction::SendPoll(_) => {
                    self.send(action);
                }
                RunsAction::TaskEnded { task, run, end, .. } => self.on_ended(&task, run, &end),
                _ => {}
            }
        }
    }

    /// Delivers a request at once, late, or never; its answer may be lost.
    fn send(&mut self, action: RunsAction) {
        let is_faulty = self.now_ms < FAULTS_END_MS && self.random.random_bool(0.22);
        if !is_faulty {
            self.schedule_delivery(1, action, true);
            return;
        }
        if self.random.random_bool(0.3) {
            let delay = self.random.random_range(1..MAX_SLOW_MS);
            self.schedule_delivery(delay, action, true);
            return;
        }
        let event = unanswered(&action);
        if let Some(event) = event {
            self.schedule_at(self.now_ms + ANSWER_TIMEOUT_MS, ScheduledStep::Event(event));
        }
        let delay = match self.random.random_range(0..3) {
            0 => return,
            1 => 1,
            _ => self.random.random_range(ANSWER_TIMEOUT_MS..MAX_DELAY_MS),
        };
        self.schedule_delivery(delay, action, false);
    }

    fn schedule_delivery(&mut self, delay_ms: u64, action: RunsAction, is_answered: bool) {
        let (incarnation, sent_ms) = (self.target.incarnation(), self.now_ms);
        let step = ScheduledStep::Deliver {
            action,
            is_answered,
            incarnation,
            sent_ms,
        };
        self.schedule_at(sent_ms + delay_ms, step);
    }

    fn deliver(&mut self, action: RunsAction, is_answered: bool) {
        let now = self.now_ms;
        let mut answer_ms = 1;
        let event = match action {
            RunsAction::SendStart(request) => {
                let outcome = self.target.start(now, &request);
                RunsEvent::StartCompleted { request, outcome }
            }
            RunsAction::SendStop(request) => {
                self.target.stop(now, &request);
                let outcome = RequestOutcome::Done { clock: None };
                RunsEvent::StopCompleted { request, outcome }
            }
            RunsAction::SendPoll(poll) => {
                answer_ms = POLL_RESPONSE_MS;
                let outcome = self.target.poll(now, &poll);
                RunsEvent::PollCompleted { poll, outcome }
            }
            _ => return,
        };
        if self.now_ms < FAULTS_END_MS && self.random.random_bool(0.1) {
            answer_ms = self.random.random_range(1..MAX_SLOW_MS);
        }
        if is_answered {
            self.schedule_at(now + answer_ms, ScheduledStep::Event(event));
        }
    }

    fn on_ended(&mut self, task: &TaskRef, run: Option<RunNumber>, end: &RunEnd) {
        self.ended_count += 1;
        assert!(
            self.open_tasks.remove(task),
            "{task} was reported as ended twice, the second time at {} ms",
            self.now_ms
        );
        let serial: u64 = task.submission.as_str()[2..].parse().unwrap();
        let name = format!("job.{}", serial % (TASKS * 2 / 3));
        assert!(
            !self.target.is_running(&name) || self.has_open_task_named(&name),
            "{name} is still running after its end was reported at {} ms",
            self.now_ms
        );
        assert!(
            !matches!(end, RunEnd::NotStarted(_)) || !self.has_started(&name, run),
            "{name} was reported as not started at {} ms, but had run",
            self.now_ms
        );
    }

    fn has_open_task_named(&self, name: &str) -> bool {
        let of_name = |task: &TaskRef| {
            let serial: u64 = task.submission.as_str()[2..].parse().unwrap();
            format!("job.{}", serial % (TASKS * 2 / 3)) == name
        };
        self.open_tasks.iter().any(of_name)
    }

    fn has_started(&self, name: &str, run: Option<RunNumber>) -> bool {
        let mut starts = self.target.starts.iter();
        starts.any(|(started, number, _)| &**started == name && Some(*number) == run)
    }
}

fn unanswered(action: &RunsAction) -> Option<RunsEvent> {
    let message = "no answer".to_owned();
    match action {
        RunsAction::SendStart(request) => Some(RunsEvent::StartCompleted {
            request: request.clone(),
            outcome: RequestOutcome::Unknown { message },
        }),
        RunsAction::SendStop(request) => Some(RunsEvent::StopCompleted {
            request: request.clone(),
            outcome: RequestOutcome::Unknown { message },
        }),
        RunsAction::SendPoll(poll) => Some(RunsEvent::PollCompleted {
            poll: poll.clone(),
            outcome: PollOutcome::Failed { message },
        }),
        _ => None,
    }
}

#[googletest::test]
fn every_task_ends_once_and_no_run_continues_after_its_reported_end() {
    run_simulations(0);
}

#[googletest::test]
fn a_restarted_target_runs_no_task_after_its_reported_end() {
    run_simulations(MAX_RESTARTS);
}

fn run_simulations(max_restarts: u64) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, max_restarts);
        simulation.run();
        expect_that!(simulation.open_tasks.len(), eq(0), "seed {seed}");
        expect_that!(simulation.ended_count, eq(TASKS), "seed {seed}");
    }
}
