//! Driver for a target that checks fencing tokens and leases itself.

mod memory;
mod orders;
mod record;

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use dfs_ids::AgentId;
use dfs_ids::Clock;
use dfs_ids::Label;
use dfs_ids::Moment;
use dfs_ids::TakeoverNumber;
use dfs_ids::TargetId;
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
use dfs_policy::runs::TakeoverEvidence;
use dfs_policy::runs::TaskSpec;
use dfs_store::Presence;
use dfs_store::TargetRows;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::edge::AgentAdapter;
use crate::edge::RunFuture;
use crate::edge::TargetDriver;
use crate::edge::TargetEvents;
use crate::request::RunRequest;
use memory::TargetMemory;
use orders::Orders;
use record::log_end;
use record::record;

/// Time between two checks of leases and timeouts. Requests to the target do not wait for it.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// A boxed future, as the methods of [`TargetClient`] return it.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Sends requests to a target. An implementation must not retry: [`Runs`] decides whether a request
/// may be repeated.
pub trait TargetClient: Send + Sync {
    /// Requests the start of a run.
    fn start(&self, request: &StartRequest) -> BoxFuture<RequestOutcome>;

    /// Requests the stop of a run; a later poll shows that it has ended.
    fn stop(&self, request: StopRequest) -> BoxFuture<RequestOutcome>;

    /// Polls the state of all runs and renews their lease.
    fn poll(&self, poll: &PollRequest) -> BoxFuture<PollOutcome>;

    /// Parses the body of a task; `None` if it is not a task of this kind of target.
    fn parse_task_spec(&self, body: &RawValue) -> Option<TaskSpec>;
}

enum Command {
    Start {
        task: TaskRef,
        spec: TaskSpec,
        label: Option<Label>,
        end_sender: oneshot::Sender<(u64, RunEnd)>,
    },
    Event(RunsEvent),
}

/// Passes the target's heartbeats to its [`FencedTarget`].
#[derive(Clone)]
pub struct HeartbeatSender {
    commands: mpsc::UnboundedSender<Command>,
}

impl HeartbeatSender {
    /// Passes on a heartbeat of the target.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        self.send(RunsEvent::Heartbeat(heartbeat));
    }

    /// Reports that the target is about to exit.
    pub fn deregistered(&self, target: TargetId) {
        self.send(RunsEvent::Deregistered { target });
    }

    fn send(&self, event: RunsEvent) {
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }
}

/// A complete takeover, with its number if the target itself has shown that nothing else runs there.
#[derive(Debug, Clone, Copy)]
struct Takeover(Option<TakeoverNumber>);

impl Takeover {
    /// The token of the poll whose list completed the takeover orders the takeovers: the target had seen no higher one
    /// and refuses lower ones from then on. The present token may be higher already, and a lease that is over without
    /// an answer says nothing of tokens.
    fn new(evidence: TakeoverEvidence, answered_poll: Option<FencingToken>) -> Self {
        let proof = answered_poll.filter(|_| evidence == TakeoverEvidence::List);
        Self(proof.map(|token| TakeoverNumber::new(token.0)))
    }
}

/// Event loop that drives [`Runs`] and performs its actions through a [`TargetClient`].
pub struct FencedTarget {
    runs: Runs,
    clock: Clock,
    client: Arc<dyn TargetClient>,
    orders: Orders,
    memory: Option<TargetMemory>,
    commands: mpsc::UnboundedReceiver<Command>,
    command_sender: mpsc::UnboundedSender<Command>,
    end_senders: HashMap<TaskRef, oneshot::Sender<(u64, RunEnd)>>,
    taken_over: watch::Sender<Option<Takeover>>,
}

impl FencedTarget {
    /// Creates a driver for a target that has not been contacted. `token` should be higher than the
    /// tokens that earlier incarnations of the agent used.
    #[must_use]
    pub fn new(options: RunsOptions, token: FencingToken, client: Arc<dyn TargetClient>) -> Self {
        let clock = Clock::start();
        let (command_sender, commands) = mpsc::unbounded_channel();
        Self {
            runs: Runs::new(options, token, clock.now()),
            clock,
            orders: Orders::new(Arc::clone(&client)),
            client,
            memory: None,
            commands,
            command_sender,
            end_senders: HashMap::new(),
            taken_over: watch::Sender::new(None),
        }
    }

    /// Keeps the target's latest heartbeat in the rows of a store, so that the agent need not wait for
    /// the next one after a restart.
    #[must_use]
    pub fn with_memory(mut self, agent: AgentId, rows: TargetRows) -> Self {
        self.memory = Some(TargetMemory { agent, rows });
        self
    }

    /// Turns the driver into the adapter of an agent; `router` builds the HTTP routes for
    /// heartbeats.
    pub fn into_adapter(
        self,
        router: impl FnOnce(HeartbeatSender) -> Router + Send + 'static,
        presence: Option<Presence>,
    ) -> AgentAdapter {
        let heartbeat_sender = HeartbeatSender {
            commands: self.command_sender.clone(),
        };
        let driver = FencedDriver {
            client: Arc::clone(&self.client),
            orders: self.orders.clone(),
            commands: self.command_sender.clone(),
        };
        let mut taken_over = self.taken_over.subscribe();
        AgentAdapter {
            clock: self.clock,
            driver: Arc::new(driver),
            router: Box::new(move |events| {
                tokio::spawn(self.run(events));
                router(heartbeat_sender)
            }),
            takeover_complete: Box::pin(async move {
                let taken_over = taken_over.wait_for(Option::is_some).await;
                // The sender is dropped only with the process.
                let Takeover(number) = (*taken_over.ok()?)?;
                number
            }),
            presence,
            evacuations: None,
        }
    }

    async fn run(mut self, target_events: TargetEvents) {
        if let Some(memory) = self.memory.clone() {
            let sender = self.command_sender.clone();
            tokio::spawn(async move {
                if let Some(heartbeat) = memory.recall().await {
                    let event = RunsEvent::HeartbeatRecalled(heartbeat);
                    // The receiver is dropped only with the process.
                    let _ = sender.send(Command::Event(event));
                }
            });
        }
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                command = self.commands.recv() => match command {
                    Some(Command::Start { task, spec, label, end_sender }) => {
                        self.end_senders.insert(task.clone(), end_sender);
                        RunsEvent::StartTask { task, spec, label }
                    }
                    Some(Command::Event(event)) => event,
                    None => return,
                },
                _ = tick.tick() => RunsEvent::Tick,
            };
            let answered_poll = answered_poll(&event);
            for action in self.runs.handle(self.clock.now(), event) {
                if let RunsAction::TakenOver { evidence, .. } = &action {
                    let takeover = Takeover::new(*evidence, answered_poll);
                    self.taken_over.send_replace(Some(takeover));
                }
                self.perform(action, &target_events);
            }
        }
    }

    /// Handles the event that a future resolves to.
    fn spawn_event(&self, event: impl Future<Output = RunsEvent> + Send + 'static) {
        let sender = self.command_sender.clone();
        tokio::spawn(async move {
            let event = event.await;
            // The receiver is dropped only with the process.
            let _ = sender.send(Command::Event(event));
        });
    }

    fn store_heartbeat(&self, heartbeat: Heartbeat) {
        let Some(memory) = self.memory.clone() else {
            return;
        };
        let sender = self.command_sender.clone();
        tokio::spawn(async move {
            if memory.store(&heartbeat).await {
                let event = RunsEvent::HeartbeatStored(heartbeat);
                // The receiver is dropped only with the process.
                let _ = sender.send(Command::Event(event));
            }
        });
    }

    fn perform(&mut self, action: RunsAction, target_events: &TargetEvents) {
        match action {
            RunsAction::SendStart(request) => {
                let orders = self.orders.clone();
                self.spawn_event(async move {
                    let outcome = orders.start(&request).await;
                    RunsEvent::StartCompleted { request, outcome }
                });
            }
            RunsAction::SendStop(request) => {
                let orders = self.orders.clone();
                self.spawn_event(async move {
                    let outcome = orders.stop(request.clone()).await;
                    RunsEvent::StopCompleted { request, outcome }
                });
            }
            RunsAction::SendPoll(poll) => {
                let client = Arc::clone(&self.client);
                self.spawn_event(async move {
                    let outcome = client.poll(&poll).await;
                    RunsEvent::PollCompleted { poll, outcome }
                });
            }
            RunsAction::TaskEnded {
                task,
                name,
                run,
                listed,
                lease_left_ms,
                run_us,
                end,
            } => {
                log_end(&task, &name, run, listed, lease_left_ms, &end);
                if let Some(end_sender) = self.end_senders.remove(&task) {
                    // The agent may not wait for the run any more.
                    let _ = end_sender.send((run_us, end));
                }
            }
            RunsAction::TargetCrashed(tasks) => target_events.crashed(tasks),
            RunsAction::Progress(progress) => target_events.progress(progress),
            RunsAction::Announce(announcement) => target_events.announced(announcement),
            RunsAction::Goodbye => target_events.goodbye(),
            RunsAction::StoreHeartbeat(heartbeat) => self.store_heartbeat(heartbeat),
            action => record(action),
        }
    }
}

/// Token of the poll that the target has answered with its runs.
const fn answered_poll(event: &RunsEvent) -> Option<FencingToken> {
    match event {
        RunsEvent::PollCompleted {
            poll,
            outcome: PollOutcome::Runs(_),
        } => Some(poll.token),
        _ => None,
    }
}

struct FencedDriver {
    client: Arc<dyn TargetClient>,
    orders: Orders,
    commands: mpsc::UnboundedSender<Command>,
}

impl TargetDriver for FencedDriver {
    fn start(&self, request: RunRequest) -> RunFuture {
        let Some(spec) = self.client.parse_task_spec(&request.body) else {
            let end = RunEnd::NotStarted(NotRunReason::NotOffered);
            return Box::pin(std::future::ready((0, end)));
        };
        let (end_sender, end) = oneshot::channel();
        let task = request.task;
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Start {
            task,
            spec,
            label: request.label,
            end_sender,
        });
        Box::pin(async move {
            match end.await {
                Ok(end) => end,
                // Nothing tracks the run any more, so it is never known to have ended.
                Err(_) => std::future::pending().await,
            }
        })
    }

    fn entries_heard(&self, earliest: Option<Moment>) {
        let event = RunsEvent::EntriesHeard { earliest };
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }

    fn domain_evacuated(&self, is_evacuated: bool) {
        self.orders.set_evacuated(is_evacuated);
        let event = RunsEvent::DomainEvacuated(is_evacuated);
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }

    fn stop(&self, task: &TaskRef) {
        let event = RunsEvent::StopTask { task: task.clone() };
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }
}
