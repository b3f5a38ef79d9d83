//! The one task that owns the decisions; it only carries events and actions.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::From;
use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_inbox::Handle;
use dfs_inbox::Inbox;
use dfs_inbox::Wake;
use dfs_log::Counter;
use dfs_log::ErrorText;
use dfs_log::Gauge;
use dfs_log::Metrics;
use dfs_log::ProcessName;
use dfs_log::SessionEvent;
use dfs_log::TargetEvent;
use dfs_policy::ConnectionId;
use dfs_policy::agent as policy;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::Observation;
use dfs_wire::session::Report;
use dfs_wire::target::Announcement;
use fail::fail_point;
use tokio::sync::mpsc;

use super::roster::RosterEvent;
use super::version::Versions;
use crate::edge::TargetDriver;
use crate::request::Start;

const MICROS_PER_MILLI: u64 = 1_000;

/// Something for the core to do.
#[derive(Debug, From)]
pub(crate) enum Command {
    /// An event.
    Event(AgentEvent),
    /// A new connection; reports for the entry go to `reports`.
    Connected {
        connection: ConnectionId,
        reports: mpsc::UnboundedSender<Report>,
    },
}

/// Sends commands to the core; its open work are tasks that are queued or run.
pub(crate) type CoreHandle = Handle<Command>;

/// The decisions with their connections to the outside.
pub(crate) struct Core {
    decisions: policy::Agent,
    clock: Clock,
    metrics: Metrics,
    inbox: Inbox<Command>,
    handle: CoreHandle,
    connections: HashMap<ConnectionId, mpsc::UnboundedSender<Report>>,
    driver: Arc<dyn TargetDriver>,
    versions: Versions,
    roster: mpsc::UnboundedSender<RosterEvent>,
    /// What the target announced last, until it is gone.
    announced: Option<Announcement>,
    stopped: tokio::sync::watch::Sender<bool>,
}

impl Core {
    pub fn new(
        decisions: policy::Agent,
        clock: Clock,
        metrics: Metrics,
        driver: Arc<dyn TargetDriver>,
        versions: Versions,
        roster: mpsc::UnboundedSender<RosterEvent>,
    ) -> (Self, CoreHandle, tokio::sync::watch::Receiver<bool>) {
        let (inbox, handle) = Inbox::new();
        let (stopped, watch) = tokio::sync::watch::channel(false);
        let core = Self {
            decisions,
            clock,
            metrics,
            inbox,
            handle: handle.clone(),
            connections: HashMap::new(),
            driver,
            versions,
            roster,
            announced: None,
            stopped,
        };
        (core, handle, watch)
    }

    pub async fn run(mut self) {
        loop {
            match self.inbox.next().await {
                Wake::Commands(commands) => commands.into_iter().for_each(|c| self.take(c)),
                Wake::Tick => self.handle(AgentEvent::Tick),
                Wake::Closed => return,
            }
            let actions = self.decisions.flush(self.clock.now());
            self.perform_all(actions);
            let queued = self.decisions.queued();
            self.metrics.set(Gauge::QueuedTasks, queued.into());
            let open = queued + self.decisions.running();
            self.inbox.set_open_work(open as usize);
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle(event),
            Command::Connected {
                connection,
                reports,
            } => {
                self.connections.insert(connection, reports);
            }
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        self.tell_target(&event);
        let had_target = self.decisions.has_target();
        let is_tick = matches!(event, AgentEvent::Tick);
        match &event {
            AgentEvent::ConnectionLost { connection } => {
                self.connections.remove(connection);
            }
            AgentEvent::Message { .. } => self.metrics.count(Counter::MessagesReceived, 1),
            _ => {}
        }
        fail_at(&event);
        let actions = self.decisions.handle(self.clock.now(), event);
        self.perform_all(actions);
        if is_tick && had_target && !self.decisions.has_target() {
            self.tell_silence();
        }
    }

    /// Writes an event when the target announces something new or says goodbye.
    fn tell_target(&mut self, event: &AgentEvent) {
        match event {
            AgentEvent::TargetAnnounced(new) if self.announced.as_ref() != Some(new) => {
                dfs_log::emit(TargetEvent::Announced {
                    target: new.offer.target.clone(),
                    address: new.address,
                    slots: new.offer.slots,
                    lease_ms: new.lease_ms,
                });
                self.announced = Some(new.clone());
            }
            AgentEvent::TargetGoodbye => {
                if let Some(gone) = self.announced.take() {
                    dfs_log::emit(TargetEvent::Goodbye {
                        target: gone.offer.target,
                        running_tasks: self.decisions.running() as usize,
                    });
                }
            }
            _ => {}
        }
    }

    fn tell_silence(&mut self) {
        if let Some(gone) = self.announced.take() {
            dfs_log::emit(TargetEvent::HeartbeatMissed {
                target: gone.offer.target,
                silent_ms: gone.lease_ms,
            });
        }
    }

    fn perform_all(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: AgentAction) {
        match action {
            AgentAction::SendReport { connection, report } => {
                fail_point!("agent-report", report.has_results(), |_| ());
                self.metrics.count(Counter::MessagesSent, 1);
                if let Some(reports) = self.connections.get(&connection) {
                    // A connection that has just closed reports its own loss.
                    let _ = reports.send(report);
                }
            }
            AgentAction::CloseConnection { connection } => {
                self.connections.remove(&connection);
            }
            AgentAction::StartRun {
                task,
                service,
                declared_ms,
                address,
                time_left_ms,
                body,
                ..
            } => {
                fail_point!("agent-start");
                let handle = self.handle.clone();
                let run = self.driver.start(Start {
                    task: task.clone(),
                    service,
                    declared_ms,
                    address,
                    time_left: time_left_ms.into(),
                    body,
                });
                tokio::spawn(async move {
                    let (run_us, end) = run.await;
                    handle.send_event(AgentEvent::RunEnded { task, run_us, end });
                });
                fail_point!("agent-started");
            }
            AgentAction::StopRun { task } => self.driver.stop(&task),
            AgentAction::SessionOpened { connection, open } => {
                let peer = ProcessName::Entry(open.entry.clone());
                dfs_log::emit(SessionEvent::Opened { peer });
                self.tell_roster(RosterEvent::Opened {
                    connection,
                    entry: open.entry,
                });
            }
            AgentAction::EntryAddresses(entries) => self.tell_roster(RosterEvent::Entries(entries)),
            AgentAction::ConfigReceived(body) => {
                if let Some(config) = self.versions.adopt(&body) {
                    self.handle(AgentEvent::ConfigAdopted(config));
                }
            }
            AgentAction::ConfigRequested { connection, .. } => {
                if let Some(body) = self.versions.whole() {
                    self.handle(AgentEvent::ConfigBody { connection, body });
                }
            }
            AgentAction::EntryLapsed { entry, dropped } => {
                let peer = ProcessName::Entry(entry);
                let settled_tasks = dropped.into();
                dfs_log::emit(SessionEvent::Lapsed {
                    peer,
                    settled_tasks,
                });
            }
            AgentAction::Observe(observation) => self.observe(observation),
            AgentAction::ShutdownComplete => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn observe(&self, observation: Observation) {
        match observation {
            Observation::RunStarted {
                task,
                wait_ms,
                load_permille,
            } => dfs_log::emit(TargetEvent::RunStarted {
                submission: task.submission,
                task: task.task,
                attempt: task.attempt,
                wait_ms,
                load_permille,
            }),
            Observation::RunEnded {
                task,
                outcome,
                run_us,
            } => dfs_log::emit(TargetEvent::RunEnded {
                submission: task.submission,
                task: task.task,
                attempt: task.attempt,
                outcome: ErrorText::from(outcome.as_str()),
                run_ms: Millis::new(run_us / MICROS_PER_MILLI),
            }),
            Observation::TaskHandedBack {
                task,
                reason,
                load_permille,
            } => dfs_log::emit(TargetEvent::HandedBack {
                submission: task.submission,
                task: task.task,
                attempt: task.attempt,
                reason,
                load_permille,
            }),
            Observation::RunStopRequested { task, cause } => {
                self.metrics.count(Counter::RunsStopped, 1);
                dfs_log::emit(TargetEvent::RunStopped {
                    submission: task.submission,
                    task: task.task,
                    attempt: task.attempt,
                    cause: ErrorText::from(cause),
                });
            }
        }
    }

    fn tell_roster(&self, event: RosterEvent) {
        // The roster ends only with the process.
        let _ = self.roster.send(event);
    }
}

/// Fail points of events; without the feature they are nothing.
#[allow(
    unused_variables,
    clippy::missing_const_for_fn,
    reason = "the macro may be empty"
)]
fn fail_at(event: &AgentEvent) {
    let places_tasks =
        matches!(event, AgentEvent::Message { message, .. } if message.places_tasks());
    fail_point!("agent-placement-read", places_tasks, |_| ());
    fail_point!(
        "agent-ended",
        matches!(event, AgentEvent::RunEnded { .. }),
        |_| ()
    );
    fail_point!(
        "agent-acknowledged",
        matches!(event, AgentEvent::ReportAcked { .. }),
        |_| ()
    );
}
