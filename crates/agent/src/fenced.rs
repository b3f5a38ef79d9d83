//! Drives a target that checks fencing tokens and leases.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use dfs_ids::Clock;
use dfs_ids::TargetId;
use dfs_log::ErrorText;
use dfs_log::TargetEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::PollRequest;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::Runs;
use dfs_policy::runs::RunsAction;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::RunsOptions;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use dfs_policy::runs::TaskSpec;
use dfs_store::Presence;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::edge::AgentAdapter;
use crate::edge::Run;
use crate::edge::TargetDriver;
use crate::edge::TargetEvents;
use crate::request::Start;

/// Time between two checks of leases and timeouts; orders themselves wait for nothing.
const TICK: Duration = Duration::from_millis(25);

/// A future of a channel.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Carries orders to a target; never repeats one by itself.
pub trait TargetClient: Send + Sync {
    /// Orders a start.
    fn start(&self, request: &StartRequest) -> BoxFuture<RequestOutcome>;

    /// Orders a stop; its end shows in a later poll.
    fn stop(&self, request: StopRequest) -> BoxFuture<()>;

    /// Polls the runs and renews their lease.
    fn poll(&self, poll: &PollRequest) -> BoxFuture<PollOutcome>;

    /// What a task is given, with its name on the target; none if the body is not of that form.
    fn parse_task_spec(&self, body: &RawValue) -> Option<TaskSpec>;
}

enum Command {
    Start {
        task: TaskRef,
        spec: TaskSpec,
        ended: oneshot::Sender<(u64, RunEnd)>,
    },
    Event(RunsEvent),
}

/// Passes on what the target says of itself.
#[derive(Clone)]
pub struct HeartbeatSender {
    commands: mpsc::UnboundedSender<Command>,
}

impl HeartbeatSender {
    /// The target sent a heartbeat.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        self.send(RunsEvent::Heartbeat(heartbeat));
    }

    /// The target is about to end.
    pub fn deregistered(&self, target: TargetId) {
        self.send(RunsEvent::Deregistered { target });
    }

    fn send(&self, event: RunsEvent) {
        // The receiver ends only with the process.
        let _ = self.commands.send(Command::Event(event));
    }
}

/// A target behind an order channel.
pub struct FencedTarget {
    runs: Runs,
    clock: Clock,
    client: Arc<dyn TargetClient>,
    commands: mpsc::UnboundedReceiver<Command>,
    sender: mpsc::UnboundedSender<Command>,
    ended: HashMap<TaskRef, oneshot::Sender<(u64, RunEnd)>>,
    taken_over: watch::Sender<bool>,
}

impl FencedTarget {
    /// A target of which nothing is known yet; `token` should be higher than those of earlier lives.
    #[must_use]
    pub fn new(options: RunsOptions, token: FencingToken, client: Arc<dyn TargetClient>) -> Self {
        let clock = Clock::start();
        let (sender, commands) = mpsc::unbounded_channel();
        Self {
            runs: Runs::new(options, token, clock.now()),
            clock,
            client,
            commands,
            sender,
            ended: HashMap::new(),
            taken_over: watch::Sender::new(false),
        }
    }

    /// The edge of an agent beside this target; `router` makes the paths of heartbeats.
    pub fn into_adapter(
        self,
        router: impl FnOnce(HeartbeatSender) -> Router + Send + 'static,
        presence: Option<Presence>,
    ) -> AgentAdapter {
        let heartbeats = HeartbeatSender {
            commands: self.sender.clone(),
        };
        let driver = Driver {
            client: Arc::clone(&self.client),
            commands: self.sender.clone(),
        };
        let mut taken_over = self.taken_over.subscribe();
        AgentAdapter {
            driver: Arc::new(driver),
            router: Box::new(move |events| {
                tokio::spawn(self.run(events));
                router(heartbeats)
            }),
            taken_over: Box::pin(async move {
                // The sender ends only with the process.
                let _ = taken_over.wait_for(|taken_over| *taken_over).await;
            }),
            presence,
        }
    }

    async fn run(mut self, events: TargetEvents) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                command = self.commands.recv() => match command {
                    Some(Command::Start { task, spec, ended }) => {
                        self.ended.insert(task.clone(), ended);
                        RunsEvent::StartTask { task, spec }
                    }
                    Some(Command::Event(event)) => event,
                    None => return,
                },
                _ = tick.tick() => RunsEvent::Tick,
            };
            for action in self.runs.handle(self.clock.now(), event) {
                self.perform(action, &events);
            }
        }
    }

    fn perform(&mut self, action: RunsAction, events: &TargetEvents) {
        match action {
            RunsAction::SendStart(request) => {
                let (client, sender) = (Arc::clone(&self.client), self.sender.clone());
                tokio::spawn(async move {
                    let outcome = client.start(&request).await;
                    let event = RunsEvent::StartCompleted { request, outcome };
                    // The receiver ends only with the process.
                    let _ = sender.send(Command::Event(event));
                });
            }
            RunsAction::SendStop(request) => drop(tokio::spawn(self.client.stop(request))),
            RunsAction::SendPoll(poll) => {
                let (client, sender) = (Arc::clone(&self.client), self.sender.clone());
                tokio::spawn(async move {
                    let outcome = client.poll(&poll).await;
                    let event = RunsEvent::PollCompleted { poll, outcome };
                    // The receiver ends only with the process.
                    let _ = sender.send(Command::Event(event));
                });
            }
            RunsAction::TaskEnded { task, run_us, end } => {
                if let Some(ended) = self.ended.remove(&task) {
                    // A run that nobody waits for needs no report.
                    let _ = ended.send((run_us, end));
                }
            }
            RunsAction::Progress(progress) => events.progress(progress),
            RunsAction::Announce(announcement) => events.announced(announcement),
            RunsAction::Goodbye => events.goodbye(),
            RunsAction::TakenOver {
                token,
                stopped_runs,
            } => {
                self.taken_over.send_replace(true);
                dfs_log::emit(TargetEvent::TakenOver {
                    token: token.0,
                    stopped_runs,
                });
            }
            RunsAction::TargetUnreachable {
                running_tasks,
                message,
            } => dfs_log::emit(TargetEvent::Unreachable {
                running_tasks,
                error: ErrorText::from(message.as_str()),
            }),
            RunsAction::StartUnanswered {
                name,
                token,
                message,
            } => dfs_log::emit(TargetEvent::OrderUnanswered {
                task: name.to_string(),
                token: token.0,
                error: ErrorText::from(message.as_str()),
            }),
        }
    }
}

struct Driver {
    client: Arc<dyn TargetClient>,
    commands: mpsc::UnboundedSender<Command>,
}

impl TargetDriver for Driver {
    fn start(&self, start: Start) -> Run {
        let Some(spec) = self.client.parse_task_spec(&start.body) else {
            let message = "the body is not a task of this target".to_owned();
            let end = RunEnd::Finished(TaskOutcome::Failed(message));
            return Box::pin(std::future::ready((0, end)));
        };
        let (ended, end) = oneshot::channel();
        let task = start.task;
        // The receiver ends only with the process.
        let _ = self.commands.send(Command::Start { task, spec, ended });
        Box::pin(async move {
            end.await
                .unwrap_or((0, RunEnd::NotStarted(NotRunReason::Leaving)))
        })
    }

    fn stop(&self, task: &TaskRef) {
        let event = RunsEvent::StopTask { task: task.clone() };
        // The receiver ends only with the process.
        let _ = self.commands.send(Command::Event(event));
    }
}
