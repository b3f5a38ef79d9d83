//! Entries and agents joined by links with a fixed delay; run times are the only other time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::LeaseSettings;
use dfs_ids::AgentId;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::GroupId;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::Priority;
use dfs_ids::ServiceName;
use dfs_ids::Slots;
use dfs_ids::SubmissionId;
use dfs_ids::TargetId;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_wire::api::Answer;
use dfs_wire::session::Attach;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::Terms;
use dfs_wire::target::Announcement;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::value::RawValue;

use super::mix::Job;
use super::mix::Mix;
use super::mix::to_f64;
use super::tally::Outcome;
use super::tally::Response;
use super::tally::Sample;
use super::tally::Tally;

/// How the target of the first agent misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    None,
    /// It fails every task after a millisecond.
    FailsAll,
    /// It takes ten times as long.
    SlowByTen,
    /// It accepts tasks and never answers.
    Silent,
    /// Messages of the first entry take so much longer each way, in place of a fault of the target.
    DelayedEntry(u64),
}

/// How soon the answers to a workload's submissions should be there.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLevel {
    pub priority: u8,
    pub objective_ms: u64,
    pub deadline_ms: u64,
}

/// One group and what it submits.
#[derive(Debug, Clone)]
pub struct Workload {
    pub name: &'static str,
    /// The group that pays.
    pub group: &'static str,
    /// Part of the submissions.
    pub weight: f64,
    /// Entries that see it; empty: all.
    pub entries: Vec<u64>,
    /// Tasks of each job and run time of each, in place of those of the mix.
    pub uniform_job: Option<(usize, u64)>,
    /// Priority and times of its submissions, which then tell their run time; none: those of the mix.
    pub service_level: Option<ServiceLevel>,
}

impl Workload {
    pub fn single() -> Self {
        Self {
            name: "printers",
            group: "printers",
            weight: 1.0,
            entries: Vec::new(),
            uniform_job: None,
            service_level: None,
        }
    }

    pub fn group(&self) -> GroupId {
        self.group.parse().expect("a valid name")
    }
}

/// Size of the cluster and of its load.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub entries: u64,
    pub agents: u64,
    pub slots: u32,
    /// Work offered for each unit of capacity.
    pub load: f64,
    pub duration_us: u64,
    pub seed: u64,
    pub workloads: Vec<Workload>,
    pub fault: Fault,
}

enum Happening {
    Submit,
    ToEntry(u64, EntryEvent),
    ToAgent(u64, AgentEvent),
    /// Ticks of every process and heartbeats of every target.
    Ticks,
}

/// Submissions that are open.
struct Open {
    workload: &'static str,
    since: u64,
    job: Job,
    fitted: bool,
}

/// The cluster and what it has done.
pub struct Cluster {
    scenario: Scenario,
    mix: Mix,
    random: SmallRng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    serial: u64,
    open: BTreeMap<SubmissionId, Open>,
    /// Tasks that were submitted and have not ended.
    tasks_in_system: u64,
    tally: Tally,
}

const MICROS_PER_MILLI: u64 = 1_000;
const TICK_US: u64 = 20_000;
/// Time for sessions to open before the first submission.
const WARM_UP_US: u64 = 200_000;
/// Longest wait for answers after the last submission.
const DRAIN_US: u64 = 120_000_000;

impl Cluster {
    pub fn new(scenario: Scenario, mix: Mix, config: &Arc<Config>) -> Self {
        let mut cluster = Self {
            mix,
            random: SmallRng::seed_from_u64(scenario.seed),
            entries: (0..scenario.entries)
                .map(|e| entry(e, scenario.seed))
                .collect(),
            agents: (0..scenario.agents)
                .map(|a| Agent::new(Incarnation::new(a), Millis::new(60_000)))
                .collect(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            serial: 0,
            open: BTreeMap::new(),
            tasks_in_system: 0,
            tally: Tally::default(),
            scenario,
        };
        cluster.connect(config);
        cluster
    }

    fn connect(&mut self, config: &Arc<Config>) {
        for e in 0..self.scenario.entries {
            self.at(
                0,
                Happening::ToEntry(e, EntryEvent::Configured(Arc::clone(config))),
            );
        }
        for a in 0..self.scenario.agents {
            let announced = AgentEvent::TargetAnnounced(self.announcement(a));
            self.at(0, Happening::ToAgent(a, announced));
            self.at(
                0,
                Happening::ToAgent(a, AgentEvent::ConfigAdopted(Arc::clone(config))),
            );
            for e in 0..self.scenario.entries {
                let attach = Attach {
                    secret: String::new(),
                    agent: agent_id(a),
                    incarnation: Incarnation::new(a + 1),
                    domain: domain(),
                };
                let connection = self.connection(e, a);
                self.at(
                    1,
                    Happening::ToEntry(e, EntryEvent::Attach { connection, attach }),
                );
            }
        }
        self.at(TICK_US, Happening::Ticks);
        self.at(WARM_UP_US, Happening::Submit);
    }

    /// Runs the load to its end.
    pub fn run(mut self) -> Tally {
        let end = WARM_UP_US + self.scenario.duration_us;
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            let Some(happening) = self.happenings.remove(&serial) else {
                continue;
            };
            let idle = at > end && self.open.is_empty();
            if idle || at > end + DRAIN_US {
                break;
            }
            match happening {
                Happening::Submit if at > end => {}
                Happening::Submit => self.submit(at),
                Happening::Ticks => self.tick(at),
                Happening::ToEntry(e, event) => self.enter(at, e, event),
                Happening::ToAgent(a, event) => self.reach(at, a, event),
            }
        }
        let now = Moment::from_micros(end);
        let messages = self.entries.iter().map(|e| e.status(now).session_messages);
        self.tally.messages = messages.sum();
        self.tally.capacity_us =
            self.scenario.duration_us * self.scenario.agents * u64::from(self.scenario.slots);
        self.tally
    }

    fn at(&mut self, time: u64, happening: Happening) {
        self.serial += 1;
        self.queue.push(Reverse((time, self.serial)));
        self.happenings.insert(self.serial, happening);
    }

    fn submit(&mut self, now: u64) {
        let workload = self.workload();
        let mut job = self.mix.draw(&mut self.random);
        if let Some((tasks, run_us)) = workload.uniform_job {
            job.run_us = vec![run_us; tasks];
        }
        let mut terms = Terms::default();
        if let Some(level) = workload.service_level {
            job.deadline_ms = level.deadline_ms;
            let longest_us = job.run_us.iter().max().copied().unwrap_or_default();
            terms.priority = Priority::new(level.priority);
            terms.declared_ms = Millis::new(longest_us / MICROS_PER_MILLI);
        }
        let e = self.entry_for(&workload);
        let slots = u64::from(self.scenario.slots) * self.scenario.agents;
        let tasks = job.run_us.len() as u64;
        let name = SubmissionId::numbered(Incarnation::new(e + 1), self.serial);
        let submission = Submission {
            id: name.clone(),
            group: workload.group(),
            service: service(),
            tasks: job.run_us.iter().map(|run_us| body(*run_us)).collect(),
            deadline_ms: Some(Millis::new(job.deadline_ms)),
            terms,
            objective_ms: workload.service_level.map(|u| Millis::new(u.objective_ms)),
            max_failures: 1,
            constraints: Constraints::default(),
            queue: None,
        };
        let fitted = self.tasks_in_system + tasks <= slots;
        self.tasks_in_system += tasks;
        let open = Open {
            workload: workload.name,
            since: now,
            job,
            fitted,
        };
        self.open.insert(name, open);
        self.enter(now, e, EntryEvent::Submit(submission));
        let rate = self.rate_per_s(to_f64(slots) * self.scenario.load);
        let gap_s = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let gap = std::time::Duration::from_secs_f64(gap_s).as_micros();
        let gap = u64::try_from(gap).unwrap_or(u64::MAX);
        self.at(now + gap, Happening::Submit);
    }

    fn workload(&mut self) -> Workload {
        let workloads = &self.scenario.workloads;
        let mut left = self.random.random::<f64>()
            * workloads
                .iter()
                .map(|workload| workload.weight)
                .sum::<f64>();
        let chosen = workloads.iter().find(|workload| {
            left -= workload.weight;
            left <= 0.0
        });
        chosen.unwrap_or(&workloads[0]).clone()
    }

    fn entry_for(&mut self, workload: &Workload) -> u64 {
        if workload.entries.is_empty() {
            return self.random.random_range(0..self.scenario.entries);
        }
        workload.entries[self.random.random_range(0..workload.entries.len())]
    }

    /// Submissions a second that keep so many slots busy.
    fn rate_per_s(&self, slots: f64) -> f64 {
        let workloads = &self.scenario.workloads;
        let weights: f64 = workloads.iter().map(|workload| workload.weight).sum();
        let work_s = |workload: &Workload| match workload.uniform_job {
            Some((tasks, run_us)) => to_f64(tasks as u64 * run_us) / 1e6,
            None => 1.0 / self.mix.rate_per_s(1.0),
        };
        let work_s: f64 = workloads.iter().map(|t| t.weight * work_s(t)).sum();
        slots * weights / work_s
    }

    fn tick(&mut self, now: u64) {
        for e in 0..self.scenario.entries {
            self.enter(now, e, EntryEvent::Tick);
        }
        for a in 0..self.scenario.agents {
            let announced = AgentEvent::TargetAnnounced(self.announcement(a));
            self.reach(now, a, announced);
            self.reach(now, a, AgentEvent::Tick);
        }
        self.at(now + TICK_US, Happening::Ticks);
    }

    fn enter(&mut self, now: u64, e: u64, event: EntryEvent) {
        let moment = Moment::from_micros(now);
        let entry = &mut self.entries[index(e)];
        let mut actions = entry.handle(moment, event);
        actions.extend(entry.flush(moment));
        let later = now + self.delay_us(e);
        for action in actions {
            match action {
                EntryAction::Send {
                    connection,
                    message,
                } => {
                    let event = AgentEvent::Message {
                        connection,
                        message,
                    };
                    self.at(later, Happening::ToAgent(self.agent_of(connection), event));
                }
                EntryAction::Reply {
                    connection,
                    seq,
                    reply: Ok(ack),
                } => {
                    let event = AgentEvent::ReportAcked {
                        connection,
                        seq,
                        ack,
                    };
                    self.at(later, Happening::ToAgent(self.agent_of(connection), event));
                }
                EntryAction::Answer { submission, answer } => {
                    self.answered(now, &submission, &answer);
                }
                _ => {}
            }
        }
    }

    fn reach(&mut self, now: u64, a: u64, event: AgentEvent) {
        let moment = Moment::from_micros(now);
        let agent = &mut self.agents[index(a)];
        let mut actions = agent.handle(moment, event);
        actions.extend(agent.flush(moment));
        for action in actions {
            match action {
                AgentAction::SendReport { connection, report } => {
                    let e = connection.0 / self.scenario.agents;
                    let event = EntryEvent::Report { connection, report };
                    let later = now + self.delay_us(e);
                    self.at(later, Happening::ToEntry(e, event));
                }
                AgentAction::StartRun {
                    task, body, group, ..
                } => {
                    let run_us = body.get().parse().unwrap_or_default();
                    let (run_us, outcome) = self.outcome(a, run_us, body);
                    let end = RunEnd::Finished(outcome);
                    let event = AgentEvent::RunEnded { task, run_us, end };
                    self.tally.tasks += 1;
                    self.tally.tasks_at_first_agent += u64::from(a == 0);
                    self.tally.record_busy(&group, now, run_us);
                    self.at(now + run_us, Happening::ToAgent(a, event));
                }
                _ => {}
            }
        }
    }

    /// One way between an entry and any agent.
    const fn delay_us(&self, e: u64) -> u64 {
        match self.scenario.fault {
            Fault::DelayedEntry(extra_us) if e == 0 => self.mix.delay_us + extra_us,
            _ => self.mix.delay_us,
        }
    }

    /// Run time and outcome of a task at the target of an agent.
    fn outcome(&self, a: u64, run_us: u64, body: Arc<RawValue>) -> (u64, TaskOutcome) {
        match self.scenario.fault {
            Fault::FailsAll if a == 0 => (1_000, TaskOutcome::Failed("fails".to_owned())),
            Fault::SlowByTen if a == 0 => (10 * run_us, TaskOutcome::Done(body)),
            Fault::Silent if a == 0 => (600_000_000, TaskOutcome::Unknown("silent".to_owned())),
            _ => (run_us, TaskOutcome::Done(body)),
        }
    }

    fn answered(&mut self, now: u64, submission: &SubmissionId, answer: &Answer) {
        let Some(open) = self.open.remove(submission) else {
            return;
        };
        self.tasks_in_system -= open.job.run_us.len() as u64;
        let outcome = match &answer.failure {
            None => Outcome::Complete,
            Some(failure) if failure.not_run => Outcome::Refused,
            Some(_) => Outcome::Failed,
        };
        let latency_us = now - open.since;
        self.tally.record_response(
            open.workload,
            Response {
                outcome,
                latency_us,
            },
        );
        if let Some(failure) = &answer.failure {
            self.tally.failed += 1;
            self.tally.not_run += u64::from(failure.not_run);
            return;
        }
        let longest = open.job.run_us.iter().max().copied().unwrap_or_default();
        if now <= WARM_UP_US + self.scenario.duration_us {
            self.tally.useful_us += open.job.run_us.iter().sum::<u64>();
        }
        self.tally.samples.push(Sample {
            response_us: now - open.since,
            ideal_us: longest + 2 * self.mix.delay_us,
            tasks: open.job.run_us.len(),
            fitted: open.fitted,
        });
    }

    const fn connection(&self, e: u64, a: u64) -> ConnectionId {
        ConnectionId(e * self.scenario.agents + a)
    }

    const fn agent_of(&self, connection: ConnectionId) -> u64 {
        connection.0 % self.scenario.agents
    }

    fn announcement(&self, a: u64) -> Announcement {
        Announcement {
            address: "127.0.0.1:1".parse().expect("a literal address"),
            lease_ms: Millis::new(3_000),
            offer: Offer {
                target: format!("t{a}").parse::<TargetId>().expect("a valid name"),
                services: vec![service()],
                slots: Slots::new(self.scenario.slots),
                connections: 64,
                resources: Resources::default(),
                labels: Vec::new(),
            },
        }
    }
}

fn entry(e: u64, seed: u64) -> Entry {
    let identity = Identity {
        entry: format!("e{e}").parse::<EntryId>().expect("a valid name"),
        domain: domain(),
        incarnation: Incarnation::new(e + 1),
        lease: LeaseSettings::default(),
    };
    Entry::new(identity, seed ^ (e << 32))
}

fn agent_id(a: u64) -> AgentId {
    format!("a{a}").parse().expect("a valid name")
}

fn domain() -> FailureDomain {
    "lagos".parse().expect("a valid name")
}

fn service() -> ServiceName {
    "desk".parse().expect("a valid name")
}

fn body(run_us: u64) -> Arc<RawValue> {
    let text = RawValue::from_string(run_us.to_string()).expect("a number is JSON");
    Arc::from(text)
}

fn index(number: u64) -> usize {
    usize::try_from(number).expect("a small index")
}
