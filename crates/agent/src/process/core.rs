//! Event loop of an agent: the only task that uses [`policy::Agent`]. It feeds events to the policy
//! and performs the actions that the policy returns, and decides nothing itself.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::From;
use dfs_ids::Clock;
use dfs_ids::Millis;
use dfs_inbox::Handle;
use dfs_inbox::Inbox;
use dfs_inbox::Wake;
use dfs_log::ConfigEvent;
use dfs_log::ConfigSource;
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
use dfs_policy::agent::EvacuationSource;
use dfs_policy::agent::Observation;
use dfs_policy::reads::ReadId;
use dfs_wire::session::Report;
use dfs_wire::target::Announcement;
use fail::fail_point;
use tokio::sync::mpsc;

use super::roster::DialEvent;
use super::version::HeldConfig;
use crate::edge::EvacuationReads;
use crate::edge::TargetDriver;
use crate::request::RunRequest;

const MICROS_PER_MILLI: u64 = 1_000;

/// Input of the core.
#[derive(Debug, From)]
pub(crate) enum Command {
    /// An event for the policy.
    Event(AgentEvent),
    /// A new connection; the core sends reports for the entry to `reports`.
    Connected {
        connection: ConnectionId,
        reports: mpsc::UnboundedSender<Report>,
    },
}

/// Sends commands to the core; its open work is the number of queued and running tasks.
pub(crate) type CoreHandle = Handle<Command>;

/// The policy of an agent together with the channels through which it acts.
pub(crate) struct Core {
    policy: policy::Agent,
    clock: Clock,
    metrics: Metrics,
    inbox: Inbox<Command>,
    handle: CoreHandle,
    report_senders: HashMap<ConnectionId, mpsc::UnboundedSender<Report>>,
    driver: Arc<dyn TargetDriver>,
    evacuations: Option<EvacuationReads>,
    held_config: HeldConfig,
    dial_events: mpsc::UnboundedSender<DialEvent>,
    /// The latest announcement of the target; `None` before the first one and after the target has
    /// gone.
    announcement: Option<Announcement>,
    stopped: tokio::sync::watch::Sender<bool>,
}

impl Core {
    pub fn new(
        policy: policy::Agent,
        clock: Clock,
        metrics: Metrics,
        driver: Arc<dyn TargetDriver>,
        evacuations: Option<EvacuationReads>,
        held_config: HeldConfig,
        dial_events: mpsc::UnboundedSender<DialEvent>,
    ) -> (Self, CoreHandle, tokio::sync::watch::Receiver<bool>) {
        let (inbox, handle) = Inbox::new();
        let (stopped, stopped_receiver) = tokio::sync::watch::channel(false);
        let core = Self {
            policy,
            clock,
            metrics,
            inbox,
            handle: handle.clone(),
            report_senders: HashMap::new(),
            driver,
            evacuations,
            held_config,
            dial_events,
            announcement: None,
            stopped,
        };
        (core, handle, stopped_receiver)
    }

    pub async fn run(mut self) {
        loop {
            match self.inbox.next().await {
                Wake::Commands(commands) => commands
                    .into_iter()
                    .for_each(|command| self.handle_command(command)),
                Wake::Tick => self.handle_event(AgentEvent::Tick),
                Wake::Closed => return,
            }
            let actions = self.policy.flush(self.clock.now());
            self.perform_actions(actions);
            if let Some(age_ms) = self.policy.evacuations_age_ms(self.clock.now()) {
                self.metrics.set(Gauge::EvacuationsAgeMs, age_ms.get());
            }
            let queued = self.policy.queued();
            self.metrics.set(Gauge::QueuedTasks, queued.into());
            let open = queued + self.policy.running();
            self.inbox.set_open_work(open as usize);
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle_event(event),
            Command::Connected {
                connection,
                reports,
            } => {
                self.report_senders.insert(connection, reports);
            }
        }
    }

    fn handle_event(&mut self, event: AgentEvent) {
        self.log_target_change(&event);
        let had_target = self.policy.has_target();
        let is_tick = matches!(event, AgentEvent::Tick);
        match &event {
            AgentEvent::ConnectionLost { connection } => {
                self.report_senders.remove(connection);
            }
            AgentEvent::Message { .. } => self.metrics.count(Counter::MessagesReceived, 1),
            _ => {}
        }
        trigger_fail_points(&event);
        let actions = self.policy.handle(self.clock.now(), event);
        self.perform_actions(actions);
        if is_tick && had_target && !self.policy.has_target() {
            self.log_missed_heartbeat();
        }
    }

    /// Logs that the target changed or withdrew its announcement.
    fn log_target_change(&mut self, event: &AgentEvent) {
        match event {
            AgentEvent::TargetAnnounced(new) if self.announcement.as_ref() != Some(new) => {
                dfs_log::emit(TargetEvent::Announced {
                    target: new.offer.target.clone(),
                    address: new.address,
                    slots: new.offer.slots,
                    lease_ms: new.lease_ms,
                });
                self.announcement = Some(new.clone());
            }
            AgentEvent::TargetGoodbye => {
                if let Some(gone) = self.announcement.take() {
                    dfs_log::emit(TargetEvent::Goodbye {
                        target: gone.offer.target,
                        running_tasks: self.policy.running() as usize,
                    });
                }
            }
            _ => {}
        }
    }

    fn log_missed_heartbeat(&mut self) {
        if let Some(gone) = self.announcement.take() {
            dfs_log::emit(TargetEvent::HeartbeatMissed {
                target: gone.offer.target,
                silent_ms: gone.lease_ms,
            });
        }
    }

    fn perform_actions(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: AgentAction) {
        match action {
            AgentAction::SendReport { connection, report } => {
                fail_point!("agent-report", report.has_results(), |_| ());
                self.metrics.count(Counter::MessagesSent, 1);
                if let Some(report_sender) = self.report_senders.get(&connection) {
                    // A closed connection reports its loss itself.
                    let _ = report_sender.send(report);
                }
            }
            AgentAction::CloseConnection { connection } => {
                self.report_senders.remove(&connection);
            }
            AgentAction::EntriesHeard { earliest } => self.driver.entries_heard(earliest),
            AgentAction::DomainEvacuated(is_evacuated) => {
                self.driver.domain_evacuated(is_evacuated);
            }
            AgentAction::ReadEvacuations { read } => self.read_evacuations(read),
            AgentAction::StartRun {
                task,
                service,
                declared_ms,
                label,
                address,
                time_left_ms,
                body,
                ..
            } => {
                fail_point!("agent-start");
                let handle = self.handle.clone();
                let run = self.driver.start(RunRequest {
                    task: task.clone(),
                    service,
                    declared_ms,
                    label,
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
                self.notify_dial_manager(DialEvent::SessionOpened {
                    connection,
                    entry: open.entry,
                });
            }
            AgentAction::EntryAddresses(entries) => {
                self.notify_dial_manager(DialEvent::EntriesChanged(entries));
            }
            AgentAction::ConfigReceived(body) => {
                if let Some(config) = self.held_config.adopt(&body) {
                    self.handle_event(AgentEvent::ConfigAdopted(config));
                }
            }
            AgentAction::ConfigRequested { connection, .. } => {
                if let Some(body) = self.held_config.full_update() {
                    self.handle_event(AgentEvent::ConfigBody { connection, body });
                }
            }
            AgentAction::EntryLeaseExpired { entry, dropped } => {
                let peer = ProcessName::Entry(entry);
                let settled_tasks = dropped.into();
                dfs_log::emit(SessionEvent::Lapsed {
                    peer,
                    settled_tasks,
                });
            }
            AgentAction::Observe(observation) => self.record(observation),
            AgentAction::ShutdownComplete => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn read_evacuations(&self, read: ReadId) {
        let Some(EvacuationReads { reader, bound_ms }) = &self.evacuations else {
            return;
        };
        self.metrics.count(Counter::EvacuationReads, 1);
        let answer = tokio::time::timeout((*bound_ms).into(), reader.read());
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let answer = answer.await.ok().and_then(Result::ok);
            handle.send_event(AgentEvent::EvacuationsRead { read, answer });
        });
    }

    fn record(&self, observation: Observation) {
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
            Observation::EvacuationsChanged {
                evacuations,
                source,
            } => {
                let domains = u64::try_from(evacuations.domains.len()).unwrap_or(u64::MAX);
                self.metrics.set(Gauge::EvacuatedDomains, domains);
                dfs_log::emit(ConfigEvent::EvacuationsChanged {
                    domains: evacuations.domains.iter().collect(),
                    revision: evacuations.revision,
                    source: match source {
                        EvacuationSource::Store => ConfigSource::Store,
                        EvacuationSource::Entry => ConfigSource::Session,
                    },
                });
            }
            Observation::EvacuationsUnconfirmed { age_ms } => {
                dfs_log::emit(ConfigEvent::EvacuationsUnconfirmed { age_ms });
            }
            Observation::EvacuationsConfirmed {
                unconfirmed_ms,
                reads,
                answered,
            } => dfs_log::emit(ConfigEvent::EvacuationsConfirmed {
                unconfirmed_ms,
                reads,
                answered,
            }),
            Observation::TargetCrashed { runs } => {
                self.metrics.count(Counter::TargetCrashes, 1);
                dfs_log::emit(TargetEvent::Crashed {
                    running_tasks: runs.len(),
                    tasks: runs.iter().collect(),
                });
            }
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

    fn notify_dial_manager(&self, event: DialEvent) {
        // The receiver is dropped only with the process.
        let _ = self.dial_events.send(event);
    }
}

/// Triggers the fail points at which tests inject a failure before an event is handled. Without the
/// feature `failpoints` of `fail` the function is empty.
#[allow(
    unused_variables,
    clippy::missing_const_for_fn,
    reason = "the macro may be empty"
)]
fn trigger_fail_points(event: &AgentEvent) {
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
