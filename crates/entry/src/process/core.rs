//! Event loop of an entry: the only task that uses [`policy::Entry`]. It feeds events to the policy
//! and performs the actions that the policy returns, and decides nothing itself.

use std::collections::HashMap;

use derive_more::From;
use dfs_ids::AgentId;
use dfs_ids::Clock;
use dfs_ids::ConfigVersion;
use dfs_ids::QueueName;
use dfs_ids::SubmissionId;
use dfs_inbox::Handle;
use dfs_inbox::Inbox;
use dfs_inbox::Wake;
use dfs_log::Counter;
use dfs_log::Gauge;
use dfs_log::Metrics;
use dfs_log::NotReadyCause;
use dfs_log::ProcessEvent;
use dfs_log::ProcessName;
use dfs_log::SessionEvent;
use dfs_policy::ConnectionId;
use dfs_policy::entry as policy;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Readiness;
use dfs_wire::api::Answer;
use dfs_wire::api::EntryStatus;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::ReportError;
use fail::fail_point;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::observe::Observer;

/// Input of the core.
#[derive(Debug, From)]
pub(crate) enum Command {
    /// An event that needs no direct reply.
    Event(EntryEvent),
    /// A submission; `answer` receives its only, final answer.
    Submit {
        submission: policy::Submission,
        answer: oneshot::Sender<Answer>,
    },
    /// A new session; the core sends messages for the agent to `sink`.
    Attach {
        connection: ConnectionId,
        event: EntryEvent,
        sink: MessageSink,
    },
    /// A report of an agent; `reply` receives its acknowledgement.
    Report {
        connection: ConnectionId,
        seq: u64,
        event: EntryEvent,
        reply: oneshot::Sender<Result<Ack, ReportError>>,
    },
    /// Counts the submissions of a queue of which no task has been placed yet.
    #[from(ignore)]
    UnplacedSubmissions {
        queue: QueueName,
        reply: oneshot::Sender<u64>,
    },
    /// Asks for the content of the status page.
    #[from(ignore)]
    Status(oneshot::Sender<EntryStatus>),
}

/// Output of the core that other tasks of the process handle.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// An agent holds an older version of the configuration and should get an update.
    OfferConfig {
        connection: ConnectionId,
        have: ConfigVersion,
    },
    /// An update was queued for an agent, for which this many messages wait now.
    UpdateQueued { queued_messages: u64 },
    /// An agent sent the configuration that it holds.
    ConfigReceived(Box<RawValue>),
    /// Every submission is answered, and the graceful shutdown may go on.
    ShutdownComplete,
}

/// Bounded queue of messages to one agent.
#[derive(Debug)]
pub(crate) struct MessageSink {
    pub agent: AgentId,
    pub messages: mpsc::Sender<EntryMessage>,
}

/// Sends commands to the core; its open work is the number of submissions without an answer.
pub(crate) type CoreHandle = Handle<Command>;

/// The policy of an entry together with the channels through which it acts.
pub(crate) struct Core {
    policy: policy::Entry,
    clock: Clock,
    metrics: Metrics,
    inbox: Inbox<Command>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    pending_answers: HashMap<SubmissionId, oneshot::Sender<Answer>>,
    observer: Observer,
    readiness: watch::Sender<Readiness>,
    sinks: HashMap<ConnectionId, MessageSink>,
    /// Replies that agents wait for, by connection and sequence number of the report.
    pending_replies: HashMap<(ConnectionId, u64), oneshot::Sender<Result<Ack, ReportError>>>,
    /// Connections found lost while performing actions and not yet reported to the policy.
    lost_connections: Vec<ConnectionId>,
}

impl Core {
    pub fn new(
        policy: policy::Entry,
        clock: Clock,
        metrics: Metrics,
        outgoing: mpsc::UnboundedSender<Outgoing>,
    ) -> (Self, CoreHandle) {
        let (inbox, handle) = Inbox::new();
        let core = Self {
            policy,
            clock,
            observer: Observer::new(metrics.clone()),
            readiness: watch::Sender::new(Readiness::NoConfig),
            metrics,
            inbox,
            outgoing,
            pending_answers: HashMap::new(),
            sinks: HashMap::new(),
            pending_replies: HashMap::new(),
            lost_connections: Vec::new(),
        };
        (core, handle)
    }

    /// Follows whether the entry is ready.
    pub fn readiness(&self) -> watch::Receiver<Readiness> {
        self.readiness.subscribe()
    }

    pub async fn run(mut self) {
        loop {
            match self.inbox.next().await {
                Wake::Commands(commands) => commands
                    .into_iter()
                    .for_each(|command| self.handle_command(command)),
                Wake::Tick => self.handle_event(EntryEvent::Tick),
                Wake::Closed => return,
            }
            self.handle_lost_connections();
            let actions = self.policy.flush(self.clock.now());
            self.perform_actions(actions);
            self.handle_lost_connections();
            self.inbox.set_open_work(self.pending_answers.len());
            self.publish_readiness();
        }
    }

    fn publish_readiness(&self) {
        let current = self.policy.readiness();
        let has_changed = self
            .readiness
            .send_if_modified(|previous| std::mem::replace(previous, current) != current);
        if !has_changed {
            return;
        }
        dfs_log::emit(match current {
            Readiness::Ready => ProcessEvent::Ready {},
            Readiness::NoConfig => not_ready(NotReadyCause::NoConfig),
            Readiness::NoSession => not_ready(NotReadyCause::NoSession),
            Readiness::ShuttingDown => not_ready(NotReadyCause::Stopping),
        });
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle_event(event),
            Command::Submit { submission, answer } => {
                fail_point!("entry-accepted");
                self.pending_answers.insert(submission.id.clone(), answer);
                self.handle_event(EntryEvent::Submit(submission));
            }
            Command::Attach {
                connection,
                event,
                sink,
            } => {
                self.sinks.insert(connection, sink);
                self.update_session_gauge();
                self.handle_event(event);
            }
            Command::Report {
                connection,
                seq,
                event,
                reply,
            } => {
                self.metrics.count(Counter::MessagesReceived, 1);
                fail_point!("entry-report-read");
                self.pending_replies.insert((connection, seq), reply);
                self.handle_event(event);
            }
            Command::UnplacedSubmissions { queue, reply } => {
                // The caller may have disconnected meanwhile.
                let _ = reply.send(self.policy.unplaced_submissions(&queue));
            }
            Command::Status(reply) => {
                let status = self.policy.status(self.clock.now());
                // The operator may have disconnected meanwhile.
                let _ = reply.send(status);
            }
        }
    }

    fn handle_event(&mut self, event: EntryEvent) {
        if let EntryEvent::ConnectionLost { connection } = &event {
            self.remove_lost_sink(*connection);
        }
        let actions = self.policy.handle(self.clock.now(), event);
        self.perform_actions(actions);
    }

    fn perform_actions(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Answer { submission, answer } => self.deliver_answer(&submission, answer),
            EntryAction::Send {
                connection,
                message,
            } => self.send_to_agent(connection, message),
            EntryAction::Reply {
                connection,
                seq,
                reply,
            } => {
                fail_point!("entry-acknowledge");
                if let Some(sender) = self.pending_replies.remove(&(connection, seq)) {
                    // The connection may have broken meanwhile.
                    let _ = sender.send(reply);
                }
            }
            EntryAction::Close { connection } => {
                self.sinks.remove(&connection);
                self.update_session_gauge();
            }
            EntryAction::OfferConfig { connection, have } => {
                self.send_outgoing(Outgoing::OfferConfig { connection, have });
            }
            EntryAction::ConfigReceived(body) => self.send_outgoing(Outgoing::ConfigReceived(body)),
            EntryAction::Observe(observation) => {
                self.observer.observe(self.clock.now(), observation);
            }
            EntryAction::ShutdownComplete => self.send_outgoing(Outgoing::ShutdownComplete),
        }
    }

    fn deliver_answer(&mut self, submission: &SubmissionId, answer: Answer) {
        fail_point!("entry-answer");
        if let Some(sender) = self.pending_answers.remove(submission) {
            // The caller may have disconnected meanwhile.
            let _ = sender.send(answer);
        }
        let open = u64::try_from(self.pending_answers.len()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::OpenSubmissions, open);
    }

    fn send_to_agent(&mut self, connection: ConnectionId, message: EntryMessage) {
        fail_point!("entry-place", message.places_tasks(), |_| ());
        self.metrics.count(Counter::MessagesSent, 1);
        let Some(sink) = self.sinks.get(&connection) else {
            return;
        };
        let is_update = |item: &EntryItem| matches!(item, EntryItem::Config(_));
        let has_update = message.items.iter().any(is_update);
        match sink.messages.try_send(message) {
            Ok(()) if has_update => {
                let queued = sink.messages.max_capacity() - sink.messages.capacity();
                self.send_outgoing(Outgoing::UpdateQueued {
                    queued_messages: queued as u64,
                });
            }
            Ok(()) => {}
            // A session whose queue is full or closed counts as lost. That is safe because the
            // agent's next session fences it, so that nothing of it takes effect later.
            Err(TrySendError::Full(_)) => {
                let buffer_messages =
                    u32::try_from(sink.messages.max_capacity()).unwrap_or(u32::MAX);
                let agent = sink.agent.clone();
                dfs_log::emit(SessionEvent::Lagging {
                    agent,
                    buffer_messages,
                });
                self.lost_connections.push(connection);
            }
            Err(TrySendError::Closed(_)) => self.lost_connections.push(connection),
        }
    }

    fn remove_lost_sink(&mut self, connection: ConnectionId) {
        if let Some(sink) = self.sinks.remove(&connection) {
            let peer = ProcessName::Agent(sink.agent);
            dfs_log::emit(SessionEvent::Lost { peer });
            self.update_session_gauge();
        }
    }

    fn update_session_gauge(&self) {
        let sessions = u64::try_from(self.sinks.len()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::Sessions, sessions);
    }

    fn handle_lost_connections(&mut self) {
        while let Some(connection) = self.lost_connections.pop() {
            self.handle_event(EntryEvent::ConnectionLost { connection });
        }
    }

    fn send_outgoing(&self, outgoing: Outgoing) {
        // The receiving task ends only with the process.
        let _ = self.outgoing.send(outgoing);
    }
}

const fn not_ready(cause: NotReadyCause) -> ProcessEvent {
    ProcessEvent::NotReady { cause }
}
