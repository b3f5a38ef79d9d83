//! The one task that owns the decisions; it only carries events and actions.

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
use dfs_wire::session::ReportError;
use dfs_wire::session::ToAgent;
use fail::fail_point;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::observe::Observer;

/// Something for the core to do.
#[derive(Debug, From)]
pub(crate) enum Command {
    /// An event without a direct reply.
    Event(EntryEvent),
    /// A submission; `answer` gets its one final answer.
    Submit {
        submission: policy::Submission,
        answer: oneshot::Sender<Answer>,
    },
    /// A new session; messages for the agent go to `sink`.
    Attach {
        connection: ConnectionId,
        event: EntryEvent,
        sink: Sink,
    },
    /// A report; `reply` gets its acknowledgement.
    Report {
        connection: ConnectionId,
        seq: u64,
        event: EntryEvent,
        reply: oneshot::Sender<Result<Ack, ReportError>>,
    },
    /// Submissions of a queue of which no task was placed.
    #[from(ignore)]
    Waiting {
        queue: QueueName,
        reply: oneshot::Sender<u64>,
    },
    /// The status page.
    #[from(ignore)]
    Status(oneshot::Sender<EntryStatus>),
}

/// What the core passes to the other parts of the process.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// An agent holds an older version.
    OfferConfig {
        connection: ConnectionId,
        have: ConfigVersion,
    },
    /// An agent sent a configuration.
    ConfigReceived(Box<RawValue>),
    /// The planned stop is complete.
    Stopped,
}

/// Where messages for one agent go.
#[derive(Debug)]
pub(crate) struct Sink {
    pub agent: AgentId,
    pub messages: mpsc::Sender<ToAgent>,
}

/// Sends commands to the core; its open work are submissions without an answer.
pub(crate) type CoreHandle = Handle<Command>;

/// The decisions with their connections to the outside.
pub(crate) struct Core {
    decisions: policy::Entry,
    clock: Clock,
    metrics: Metrics,
    inbox: Inbox<Command>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    answers: HashMap<SubmissionId, oneshot::Sender<Answer>>,
    observer: Observer,
    readiness: watch::Sender<Readiness>,
    sinks: HashMap<ConnectionId, Sink>,
    replies: HashMap<(ConnectionId, u64), oneshot::Sender<Result<Ack, ReportError>>>,
    lost: Vec<ConnectionId>,
}

impl Core {
    pub fn new(
        decisions: policy::Entry,
        clock: Clock,
        metrics: Metrics,
        outgoing: mpsc::UnboundedSender<Outgoing>,
    ) -> (Self, CoreHandle) {
        let (inbox, handle) = Inbox::new();
        let core = Self {
            decisions,
            clock,
            observer: Observer::new(metrics.clone()),
            readiness: watch::Sender::new(Readiness::NoConfig),
            metrics,
            inbox,
            outgoing,
            answers: HashMap::new(),
            sinks: HashMap::new(),
            replies: HashMap::new(),
            lost: Vec::new(),
        };
        (core, handle)
    }

    /// Whether the entry is ready, as it changes.
    pub fn readiness(&self) -> watch::Receiver<Readiness> {
        self.readiness.subscribe()
    }

    pub async fn run(mut self) {
        loop {
            match self.inbox.next().await {
                Wake::Commands(commands) => commands.into_iter().for_each(|c| self.take(c)),
                Wake::Tick => self.handle(EntryEvent::Tick),
                Wake::Closed => return,
            }
            self.settle_lost();
            let actions = self.decisions.flush(self.clock.now());
            self.perform_all(actions);
            self.settle_lost();
            self.inbox.set_open(self.answers.len());
            self.tell_readiness();
        }
    }

    fn tell_readiness(&self) {
        let now = self.decisions.readiness();
        let changed = self
            .readiness
            .send_if_modified(|old| std::mem::replace(old, now) != now);
        if !changed {
            return;
        }
        dfs_log::emit(match now {
            Readiness::Ready => ProcessEvent::Ready {},
            Readiness::NoConfig => not_ready(NotReadyCause::NoConfig),
            Readiness::NoSession => not_ready(NotReadyCause::NoSession),
            Readiness::Stopping => not_ready(NotReadyCause::Stopping),
        });
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle(event),
            Command::Submit { submission, answer } => {
                fail_point!("entry-accepted");
                self.answers.insert(submission.id.clone(), answer);
                self.handle(EntryEvent::Submit(submission));
            }
            Command::Attach {
                connection,
                event,
                sink,
            } => {
                self.sinks.insert(connection, sink);
                self.count_sessions();
                self.handle(event);
            }
            Command::Report {
                connection,
                seq,
                event,
                reply,
            } => {
                self.metrics.count(Counter::MessagesReceived, 1);
                fail_point!("entry-report-read");
                self.replies.insert((connection, seq), reply);
                self.handle(event);
            }
            Command::Waiting { queue, reply } => {
                // A caller that has gone needs no reply.
                let _ = reply.send(self.decisions.unplaced_submissions(&queue));
            }
            Command::Status(reply) => {
                let status = self.decisions.status(self.clock.now());
                // A caller that has gone needs no status.
                let _ = reply.send(status);
            }
        }
    }

    fn handle(&mut self, event: EntryEvent) {
        if let EntryEvent::ConnectionLost { connection } = &event {
            self.lose_sink(*connection);
        }
        let actions = self.decisions.handle(self.clock.now(), event);
        self.perform_all(actions);
    }

    fn perform_all(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: EntryAction) {
        match action {
            EntryAction::Answer { submission, answer } => self.answer(&submission, answer),
            EntryAction::Send {
                connection,
                message,
            } => self.send(connection, message),
            EntryAction::Reply {
                connection,
                seq,
                reply,
            } => {
                fail_point!("entry-acknowledge");
                if let Some(waiting) = self.replies.remove(&(connection, seq)) {
                    // A connection that broke meanwhile needs no reply.
                    let _ = waiting.send(reply);
                }
            }
            EntryAction::Close { connection } => {
                self.sinks.remove(&connection);
                self.count_sessions();
            }
            EntryAction::OfferConfig { connection, have } => {
                self.pass(Outgoing::OfferConfig { connection, have });
            }
            EntryAction::ConfigReceived(body) => self.pass(Outgoing::ConfigReceived(body)),
            EntryAction::Observe(observation) => {
                self.observer.observe(self.clock.now(), observation);
            }
            EntryAction::Stopped => self.pass(Outgoing::Stopped),
        }
    }

    fn answer(&mut self, submission: &SubmissionId, answer: Answer) {
        fail_point!("entry-answer");
        if let Some(waiting) = self.answers.remove(submission) {
            // A caller that has gone needs no answer.
            let _ = waiting.send(answer);
        }
        let open = u64::try_from(self.answers.len()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::OpenSubmissions, open);
    }

    fn send(&mut self, connection: ConnectionId, message: ToAgent) {
        fail_point!("entry-place", message.places_tasks(), |_| ());
        self.metrics.count(Counter::MessagesSent, 1);
        let Some(sink) = self.sinks.get(&connection) else {
            return;
        };
        match sink.messages.try_send(message) {
            Ok(()) => {}
            // A session that lags or is closed is lost; the fence of the next one makes it safe.
            Err(TrySendError::Full(_)) => {
                let buffer_messages =
                    u32::try_from(sink.messages.max_capacity()).unwrap_or(u32::MAX);
                let agent = sink.agent.clone();
                dfs_log::emit(SessionEvent::Lagging {
                    agent,
                    buffer_messages,
                });
                self.lost.push(connection);
            }
            Err(TrySendError::Closed(_)) => self.lost.push(connection),
        }
    }

    fn lose_sink(&mut self, connection: ConnectionId) {
        if let Some(sink) = self.sinks.remove(&connection) {
            let peer = ProcessName::Agent(sink.agent);
            dfs_log::emit(SessionEvent::Lost { peer });
            self.count_sessions();
        }
    }

    fn count_sessions(&self) {
        let sessions = u64::try_from(self.sinks.len()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::Sessions, sessions);
    }

    fn settle_lost(&mut self) {
        while let Some(connection) = self.lost.pop() {
            self.handle(EntryEvent::ConnectionLost { connection });
        }
    }

    fn pass(&self, outgoing: Outgoing) {
        // The receiver ends only with the process.
        let _ = self.outgoing.send(outgoing);
    }
}

const fn not_ready(cause: NotReadyCause) -> ProcessEvent {
    ProcessEvent::NotReady { cause }
}
