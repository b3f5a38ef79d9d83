//! Random losses, late orders and cuts against a model of the target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::RequestOutcome;
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
const END_MS: u64 = 20_000;
/// Faults stop here, so that everything can settle.
const CALM_MS: u64 = 12_000;
const TASKS: u64 = 60;
/// An order without an answer may be carried out this much later.
const LATEST_MS: u64 = 6_000;
/// Time that a look takes.
const POLL_MS: u64 = 30;
const ANSWER_TIMEOUT_MS: u64 = 300;

enum Step {
    Event(RunsEvent),
    /// An order that reaches the target; its answer arrives or is lost.
    Deliver {
        action: RunsAction,
        answers: bool,
    },
}

struct World {
    random: SmallRng,
    now_ms: u64,
    runs: Runs,
    target: Target,
    agenda: BTreeMap<(u64, u64), Step>,
    steps: u64,
    open: BTreeSet<TaskRef>,
    /// Names of tasks that were said not to have started, with their number of starts then.
    not_started: Vec<(String, usize, u64)>,
    ended: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Moment::from_millis(0);
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            runs: Runs::new(options(), FencingToken(1), now),
            target: Target::default(),
            agenda: BTreeMap::new(),
            steps: 0,
            open: BTreeSet::new(),
            not_started: Vec::new(),
            ended: 0,
        };
        for n in 0..END_MS / 1_500 {
            let event = RunsEvent::Heartbeat(heartbeat("t-1", 1, n + 1));
            world.at(n * 1_500, Step::Event(event));
        }
        for n in 0..TASKS {
            // Some names come twice, as when a caller sends its job again.
            let name = format!("job.{}", n % (TASKS * 2 / 3));
            let at = 2_000 + world.random.random_range(0..CALM_MS - 2_000);
            let (task, spec) = (task(&format!("s-{n}")), spec(&name));
            world.at(
                at,
                Step::Event(RunsEvent::StartTask {
                    task: task.clone(),
                    spec,
                }),
            );
            if world.random.random_bool(0.2) {
                let later = at + world.random.random_range(0..300);
                world.at(later, Step::Event(RunsEvent::StopTask { task }));
            }
        }
        for ms in (0..END_MS).step_by(50) {
            world.at(ms, Step::Event(RunsEvent::Tick));
        }
        world
    }

    fn at(&mut self, ms: u64, step: Step) {
        self.steps += 1;
        self.agenda.insert((ms, self.steps), step);
    }

    fn run(&mut self) {
        while let Some(((ms, _), step)) = self.agenda.pop_first()
            && ms <= END_MS
        {
            self.now_ms = ms;
            self.target.tick(ms);
            match step {
                Step::Event(event) => self.handle(event),
                Step::Deliver { action, answers } => self.deliver(action, answers),
            }
        }
    }

    fn handle(&mut self, event: RunsEvent) {
        if let RunsEvent::StartTask { task, .. } = &event {
            self.open.insert(task.clone());
        }
        let now = Moment::from_millis(0) + Millis::new(self.now_ms);
        for action in self.runs.handle(now, event) {
            match action {
                RunsAction::SendStart(_) | RunsAction::SendStop(_) | RunsAction::SendPoll(_) => {
                    self.send(action);
                }
                RunsAction::TaskEnded { task, end, .. } => self.on_ended(&task, &end),
                _ => {}
            }
        }
    }

    /// Orders arrive at once, late, or never; their answers arrive or are lost.
    fn send(&mut self, action: RunsAction) {
        let faulty = self.now_ms < CALM_MS && self.random.random_bool(0.15);
        if !faulty {
            self.at(
                self.now_ms + 1,
                Step::Deliver {
                    action,
                    answers: true,
                },
            );
            return;
        }
        let event = unanswered(&action);
        if let Some(event) = event {
            self.at(self.now_ms + ANSWER_TIMEOUT_MS, Step::Event(event));
        }
        let delay = match self.random.random_range(0..3) {
            0 => return,
            1 => 1,
            _ => self.random.random_range(ANSWER_TIMEOUT_MS..LATEST_MS),
        };
        let answers = false;
        self.at(self.now_ms + delay, Step::Deliver { action, answers });
    }

    fn deliver(&mut self, action: RunsAction, answers: bool) {
        let now = self.now_ms;
        let mut answer_ms = 1;
        let event = match action {
            RunsAction::SendStart(request) => {
                let outcome = self.target.start(now, &request);
                RunsEvent::StartCompleted { request, outcome }
            }
            RunsAction::SendStop(request) => {
                self.target.stop(now, &request);
                return;
            }
            RunsAction::SendPoll(poll) => {
                answer_ms = POLL_MS;
                let outcome = self.target.poll(now, &poll);
                RunsEvent::PollCompleted { poll, outcome }
            }
            _ => return,
        };
        if answers {
            self.at(now + answer_ms, Step::Event(event));
        }
    }

    fn on_ended(&mut self, task: &TaskRef, end: &RunEnd) {
        self.ended += 1;
        assert!(
            self.open.remove(task),
            "{task} ended twice at {}",
            self.now_ms
        );
        let serial: u64 = task.submission.as_str()[2..].parse().unwrap();
        let name = format!("job.{}", serial % (TASKS * 2 / 3));
        assert!(
            !self.target.is_running(&name) || self.open_name(&name),
            "{name} runs on after its end was told at {}",
            self.now_ms
        );
        if matches!(end, RunEnd::NotStarted(_)) {
            let starts = self.starts_of(&name);
            self.not_started.push((name, starts, self.now_ms));
        }
    }

    fn open_name(&self, name: &str) -> bool {
        let of_name = |task: &TaskRef| {
            let serial: u64 = task.submission.as_str()[2..].parse().unwrap();
            format!("job.{}", serial % (TASKS * 2 / 3)) == name
        };
        self.open.iter().any(of_name)
    }

    fn starts_of(&self, name: &str) -> usize {
        let starts = self.target.starts.iter();
        starts.filter(|(started, _, _)| &**started == name).count()
    }
}

fn unanswered(action: &RunsAction) -> Option<RunsEvent> {
    let message = "no answer".to_owned();
    match action {
        RunsAction::SendStart(request) => Some(RunsEvent::StartCompleted {
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
fn every_task_ends_once_and_nothing_runs_after_its_end_was_told() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        expect_that!(world.open.len(), eq(0), "seed {seed}");
        expect_that!(world.ended, eq(TASKS), "seed {seed}");
    }
}
