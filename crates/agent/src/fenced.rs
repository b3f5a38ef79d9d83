//! Driver for a target that checks fencing tokens and leases itself.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use dfs_ids::AgentId;
use dfs_ids::Clock;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::TargetId;
use dfs_log::ErrorText;
use dfs_log::TargetEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::response::ResponseTimer;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::Heartbeat;
use dfs_policy::runs::ListedEnd;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::PollRequest;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::Runs;
use dfs_policy::runs::RunsAction;
use dfs_policy::runs::RunsEvent;
use dfs_policy::runs::RunsOptions;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use dfs_policy::runs::TargetIncarnation;
use dfs_policy::runs::TaskSpec;
use dfs_store::Presence;
use dfs_store::TargetRow;
use dfs_store::TargetRows;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::edge::AgentAdapter;
use crate::edge::RunFuture;
use crate::edge::TargetDriver;
use crate::edge::TargetEvents;
use crate::request::RunRequest;

/// Time between two checks of leases and timeouts. Requests to the target do not wait for it.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Limit on start and stop requests in flight, each of which uses a connection of its own.
const MAX_CONCURRENT_ORDERS: usize = 3;
/// Shortest response timeout of a start request. On an instance with little processor time, a timer and the
/// response behind it may both be late by some milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: Millis = Millis::new(25);
/// Longest response timeout of a start request.
const MAX_RESPONSE_TIMEOUT_MS: Millis = Millis::new(100);

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
    taken_over: watch::Sender<bool>,
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
            taken_over: watch::Sender::new(false),
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
                // The sender is dropped only with the process.
                let _ = taken_over.wait_for(|taken_over| *taken_over).await;
            }),
            presence,
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
            for action in self.runs.handle(self.clock.now(), event) {
                self.perform(action, &target_events);
            }
        }
    }

    fn perform(&mut self, action: RunsAction, target_events: &TargetEvents) {
        match action {
            RunsAction::SendStart(request) => {
                let (orders, sender) = (self.orders.clone(), self.command_sender.clone());
                tokio::spawn(async move {
                    let outcome = orders.start(&request).await;
                    let event = RunsEvent::StartCompleted { request, outcome };
                    // The receiver is dropped only with the process.
                    let _ = sender.send(Command::Event(event));
                });
            }
            RunsAction::SendStop(request) => {
                let (orders, sender) = (self.orders.clone(), self.command_sender.clone());
                tokio::spawn(async move {
                    let outcome = orders.stop(request.clone()).await;
                    let event = RunsEvent::StopCompleted { request, outcome };
                    // The receiver is dropped only with the process.
                    let _ = sender.send(Command::Event(event));
                });
            }
            RunsAction::SendPoll(poll) => {
                let (client, sender) = (Arc::clone(&self.client), self.command_sender.clone());
                tokio::spawn(async move {
                    let outcome = client.poll(&poll).await;
                    let event = RunsEvent::PollCompleted { poll, outcome };
                    // The receiver is dropped only with the process.
                    let _ = sender.send(Command::Event(event));
                });
            }
            RunsAction::TaskEnded {
                task,
                name,
                run,
                listed,
                run_us,
                end,
            } => {
                if let RunEnd::Finished(TaskOutcome::Failed(error)) = &end {
                    log_failed_run(&task, &name, run, listed, error);
                }
                if let Some(end_sender) = self.end_senders.remove(&task) {
                    // The agent may not wait for the run any more.
                    let _ = end_sender.send((run_us, end));
                }
            }
            RunsAction::TargetCrashed(tasks) => target_events.crashed(tasks),
            RunsAction::Progress(progress) => target_events.progress(progress),
            RunsAction::Announce(announcement) => target_events.announced(announcement),
            RunsAction::Goodbye => target_events.goodbye(),
            RunsAction::StoreHeartbeat(heartbeat) => {
                if let Some(memory) = self.memory.clone() {
                    let sender = self.command_sender.clone();
                    tokio::spawn(async move {
                        if memory.store(&heartbeat).await {
                            let event = RunsEvent::HeartbeatStored(heartbeat);
                            // The receiver is dropped only with the process.
                            let _ = sender.send(Command::Event(event));
                        }
                    });
                }
            }
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
            RunsAction::TargetRestarted {
                previous,
                current,
                tracked_runs,
            } => dfs_log::emit(TargetEvent::Restarted {
                previous: previous.map(|incarnation| incarnation.0),
                current: current.map(|incarnation| incarnation.0),
                running_tasks: tracked_runs,
            }),
            RunsAction::HeartbeatRejected {
                target,
                incarnation,
                current,
            } => dfs_log::emit(TargetEvent::HeartbeatRejected {
                target,
                incarnation: incarnation.map(|incarnation| incarnation.0),
                current: current.map(|incarnation| incarnation.0),
            }),
            RunsAction::StartRefused {
                task,
                name,
                run,
                refusal,
            } => log_refused_start(task, &name, run, refusal),
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

fn log_failed_run(
    task: &TaskRef,
    name: &str,
    run: Option<RunNumber>,
    listed: Option<ListedEnd>,
    error: &str,
) {
    let incarnation = listed.and_then(|listed| listed.incarnation);
    dfs_log::emit(TargetEvent::RunFailed {
        submission: task.submission.clone(),
        task: task.task,
        attempt: task.attempt,
        name: name.to_owned(),
        run: run.map(|run| run.0),
        sequence: listed.map(|listed| listed.sequence),
        target_incarnation: incarnation.map(|incarnation| incarnation.0),
        error: ErrorText::from(error),
    });
}

fn log_refused_start(task: TaskRef, name: &str, run: RunNumber, refusal: Refusal) {
    if refusal == Refusal::NoCapacity {
        // The hand-back of the task is logged instead.
        return;
    }
    dfs_log::emit(TargetEvent::StartRefused {
        submission: task.submission,
        task: task.task,
        attempt: task.attempt,
        name: name.to_owned(),
        run: run.0,
        refusal: ErrorText::from(refusal.to_string().as_str()),
    });
}

/// Sends start and stop requests, a limited number at a time.
#[derive(Clone)]
struct Orders {
    client: Arc<dyn TargetClient>,
    permits: Arc<Semaphore>,
    response_timer: Arc<Mutex<ResponseTimer>>,
}

impl Orders {
    fn new(client: Arc<dyn TargetClient>) -> Self {
        let timer = ResponseTimer::new(MIN_RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS);
        Self {
            client,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
            response_timer: Arc::new(Mutex::new(timer)),
        }
    }

    async fn start(&self, request: &StartRequest) -> RequestOutcome {
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        let timeout_ms = self.with_timer(|timer| timer.timeout_ms());
        let sent_at = Instant::now();
        let response = self.client.start(request);
        let Ok(outcome) = tokio::time::timeout(timeout_ms.into(), response).await else {
            self.with_timer(ResponseTimer::record_timeout);
            return no_response(timeout_ms);
        };
        match &outcome {
            RequestOutcome::Done { .. } | RequestOutcome::Refused { .. } => {
                let elapsed_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                self.with_timer(|timer| timer.record_response(Millis::new(elapsed_ms)));
            }
            RequestOutcome::Unknown { .. } => self.with_timer(ResponseTimer::record_timeout),
        }
        outcome
    }

    async fn stop(&self, request: StopRequest) -> RequestOutcome {
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        let timeout_ms = self.with_timer(|timer| timer.timeout_ms());
        let response = tokio::time::timeout(timeout_ms.into(), self.client.stop(request)).await;
        response.unwrap_or_else(|_| no_response(timeout_ms))
    }

    fn with_timer<T>(&self, action: impl FnOnce(&mut ResponseTimer) -> T) -> T {
        let timer = self.response_timer.lock();
        action(&mut timer.unwrap_or_else(PoisonError::into_inner))
    }
}

fn no_response(timeout_ms: Millis) -> RequestOutcome {
    RequestOutcome::Unknown {
        message: format!("no response within {timeout_ms}"),
    }
}

/// The target's latest heartbeat as it is kept in the store.
#[derive(Clone)]
struct TargetMemory {
    agent: AgentId,
    rows: TargetRows,
}

impl TargetMemory {
    /// The stored heartbeat; `None` if there is none or the store can't be read, which only means that
    /// the agent has to wait for the target's next heartbeat.
    async fn recall(&self) -> Option<Heartbeat> {
        let read = self.rows.read(&self.agent).await;
        let row = read.unwrap_or_else(|error| {
            let error = ErrorText::new(&error);
            dfs_log::emit(TargetEvent::NotRecalled { error });
            None
        })?;
        Some(Heartbeat {
            target: row.offer.target.clone(),
            incarnation: Some(TargetIncarnation(row.incarnation)),
            // Any heartbeat of the target replaces it.
            sequence: 0,
            address: row.address,
            is_draining: row.is_draining,
            offer: row.offer,
        })
    }

    /// Whether the heartbeat was stored. One that was not is stored with the next heartbeat.
    async fn store(&self, heartbeat: &Heartbeat) -> bool {
        let Some(TargetIncarnation(incarnation)) = heartbeat.incarnation else {
            return false;
        };
        let row = TargetRow {
            incarnation,
            address: heartbeat.address,
            is_draining: heartbeat.is_draining,
            offer: heartbeat.offer.clone(),
        };
        self.rows.write(&self.agent, &row).await.is_ok()
    }
}

struct FencedDriver {
    client: Arc<dyn TargetClient>,
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
            end.await
                .unwrap_or((0, RunEnd::NotStarted(NotRunReason::Leaving)))
        })
    }

    fn entries_heard(&self, earliest: Option<Moment>) {
        let event = RunsEvent::EntriesHeard { earliest };
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }

    fn stop(&self, task: &TaskRef) {
        let event = RunsEvent::StopTask { task: task.clone() };
        // The receiver is dropped only with the process.
        let _ = self.commands.send(Command::Event(event));
    }
}
