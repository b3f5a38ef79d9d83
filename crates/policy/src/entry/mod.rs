//! Decisions of an entry: what is admitted, where tasks go, and what callers are answered.

mod admit;
mod answer;
mod config;
mod dispatch;
mod event;
mod evict;
mod job;
mod queue;
mod report;
mod review;
mod session;
mod settle;
mod slow;
mod status;
mod view;
mod wait;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::LeaseSettings;
use dfs_ids::AgentId;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_ids::SubmissionId;
use dfs_wire::session::EntryAddress;
use dfs_wire::session::TaskRef;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use event::Constraints;
pub use event::EntryAction;
pub use event::EntryEvent;
pub use event::Observation;
pub use event::Submission;
use job::Job;
use queue::Queue;
pub use status::Readiness;
pub use status::Totals;
use view::AgentView;

use crate::ConnectionId;
use crate::ejection::EjectionTracker;
use crate::retry::RetryBudget;
use crate::share::ShareLedger;
use crate::speed::SpeedTracker;
use crate::throughput::ThroughputMeter;

/// Who an entry is and how long its leases are.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The entry.
    pub entry: EntryId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its life.
    pub incarnation: Incarnation,
    /// Leases of its sessions.
    pub lease: LeaseSettings,
}

/// The state of one entry.
#[derive(Debug)]
pub struct Entry {
    identity: Identity,
    config: Option<Arc<Config>>,
    /// Agents by name; at most one life of each.
    agents: BTreeMap<AgentId, AgentView>,
    /// The names of all agents, in no order.
    roster: Vec<AgentId>,
    /// The agent of each open connection.
    connections: BTreeMap<ConnectionId, AgentId>,
    /// Open submissions; an answered one is removed at once.
    jobs: BTreeMap<SubmissionId, Job>,
    /// Submissions by deadline; holds exactly the open ones.
    deadlines: BTreeSet<(Moment, SubmissionId)>,
    /// Open submissions by their latest start; those that had begun by then are left out until a task
    /// comes back.
    latest_starts: BTreeSet<(Moment, SubmissionId)>,
    queue: Queue,
    shares: ShareLedger,
    retries: RetryBudget,
    ejection: EjectionTracker,
    speeds: SpeedTracker,
    throughput: ThroughputMeter,
    /// Tasks of lost agents whose runs may go on until the given moment.
    unsettled: BTreeSet<(Moment, AgentId, TaskRef)>,
    /// When the version in force was adopted.
    configured_at: Moment,
    /// Since when an agent holds a higher version.
    behind_since: Option<Moment>,
    /// When an agent was last asked for its configuration.
    asked_at: Option<Moment>,
    next_session: SessionNumber,
    /// Entries that agents may dial.
    entries: Vec<EntryAddress>,
    random: SmallRng,
    totals: Totals,
    stopping: bool,
    stopped: bool,
}

impl Entry {
    /// An entry without configuration and sessions; `seed` drives its random choices.
    #[must_use]
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            identity,
            config: None,
            agents: BTreeMap::new(),
            roster: Vec::new(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            queue: Queue::default(),
            shares: ShareLedger::default(),
            retries: RetryBudget::default(),
            ejection: EjectionTracker::default(),
            speeds: SpeedTracker::default(),
            throughput: ThroughputMeter::default(),
            unsettled: BTreeSet::new(),
            configured_at: Moment::default(),
            behind_since: None,
            asked_at: None,
            next_session: SessionNumber::default(),
            entries: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            totals: Totals::default(),
            stopping: false,
            stopped: false,
        }
    }

    /// Takes one event. Leases and deadlines that have passed are settled first, so that a process
    /// that was paused does not act on messages that waited meanwhile.
    pub fn handle(&mut self, now: Moment, event: EntryEvent) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match event {
            EntryEvent::Submit(submission) => self.on_submit(now, submission, &mut out),
            EntryEvent::Cancel { submission } => self.on_cancel(&submission, &mut out),
            EntryEvent::Attach { connection, attach } => {
                self.on_attach(now, connection, attach, &mut out);
            }
            EntryEvent::Report { connection, report } => {
                self.on_report(now, connection, report, &mut out);
            }
            EntryEvent::ConnectionLost { connection } => self.on_lost(connection),
            EntryEvent::Configured(config) => self.on_configured(now, config, &mut out),
            EntryEvent::EntriesChanged(entries) => self.on_entries(&entries, &mut out),
            EntryEvent::SendItem { connection, item } => {
                self.send_to(connection, vec![item], &mut out);
            }
            EntryEvent::Stop => self.stopping = true,
            EntryEvent::Tick => {}
        }
        out
    }

    /// Places what can be placed; called once after a batch of events, so that all tasks of a
    /// submission that go to one agent travel in one message.
    pub fn flush(&mut self, now: Moment) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.ask_config(now, &mut out);
        self.offer_late(now, &mut out);
        self.review_queue(now, &mut out);
        self.dispatch(now, &mut out);
        self.throughput.observe_backlog(now, self.queue.tasks() > 0);
        if self.stopping && self.jobs.is_empty() && !self.stopped {
            self.stopped = true;
            out.push(EntryAction::Stopped);
        }
        out
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        self.expire_leases(now, out);
        self.expire_deadlines(now, out);
    }
}
