//! Entry state machine: admits submissions, places their tasks on agents and answers callers.

mod admit;
mod answer;
mod choose;
mod config;
mod contain;
mod dispatch;
mod evacuation;
mod event;
mod evict;
mod expect;
mod job;
mod near;
mod orphan;
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
use std::collections::VecDeque;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Evacuations;
use dfs_conf::LeaseSettings;
use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::EntryId;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Label;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_ids::SubmissionId;
use dfs_wire::session::EntryAddress;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use contain::Containment;
use contain::QueueWork;
use evacuation::ReturningTargets;
pub use event::Constraints;
pub use event::CountedFailure;
pub use event::EntryAction;
pub use event::EntryEvent;
pub use event::EvacuationSource;
pub use event::NearPlacement;
pub use event::Observation;
pub use event::Submission;
use job::Job;
use orphan::Orphan;
use orphan::OrphanKey;
use queue::Queue;
pub use status::Readiness;
pub use status::Totals;
use view::AgentView;

use crate::ConnectionId;
use crate::crashes::CrashTracker;
use crate::ejection::EjectionTracker;
use crate::estimate::SpeedClass;
use crate::locality::FarFactor;
use crate::retry::RetryBudget;
use crate::share::ShareLedger;
use crate::speed::SpeedTracker;
use crate::throughput::ThroughputMeter;

/// Identity and lease settings of an entry, fixed for the lifetime of the process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the entry, stable across restarts.
    pub entry: EntryId,
    /// Failure domain in which the process runs.
    pub domain: FailureDomain,
    /// Distinguishes this process from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Lease and renewal times of the sessions with agents.
    pub lease: LeaseSettings,
    /// Time within which an entry is expected to get a version from its source that an agent holds already, and an
    /// agent from the entry that it has chosen. After it they get the version from each other, so that two
    /// such waits and the one of a lost read still fit into the time in which a version must be active.
    pub propagation_ms: Millis,
}

/// State of one entry; does no I/O and reads no clock.
#[derive(Debug)]
pub struct Entry {
    identity: Identity,
    config: Option<Arc<Config>>,
    /// Known agents; at most one incarnation of each.
    agents: BTreeMap<AgentId, AgentView>,
    /// Keys of `agents` in arbitrary order, for random sampling by index.
    agent_ids: Vec<AgentId>,
    connections: BTreeMap<ConnectionId, AgentId>,
    /// Open submissions; removed as soon as they are answered.
    jobs: BTreeMap<SubmissionId, Job>,
    /// Deadlines of all open submissions.
    deadlines: BTreeSet<(Moment, SubmissionId)>,
    /// Open submissions by latest useful start. One that had begun to run by then is removed and added
    /// again when one of its tasks is requeued.
    latest_starts: BTreeSet<(Moment, SubmissionId)>,
    queue: Queue,
    shares: ShareLedger,
    retry_budget: RetryBudget,
    ejection: EjectionTracker,
    speeds: SpeedTracker,
    /// Relative run times that are set and not learnt.
    assumed_speeds: BTreeMap<AgentId, SpeedClass>,
    /// When the speeds of the targets were last derived from the evidence.
    speeds_reviewed_at: Moment,
    far_factor: FarFactor,
    /// Replaces the decision how long a wait for near targets pays off, for comparison.
    fixed_near_wait_ms: Option<Millis>,
    /// Agents by the labels of their targets, also those that are gone.
    labels: BTreeMap<Label, BTreeSet<AgentId>>,
    throughput: ThroughputMeter,
    crashes: CrashTracker,
    containment: Containment,
    queue_work: QueueWork,
    orphans: BTreeMap<OrphanKey, Orphan>,
    /// The evacuated failure domains. Known before the configuration, without which nothing is placed.
    evacuations: Evacuations,
    /// The set has every request that the store had confirmed by this time; `None` before the first read.
    evacuations_known_at: Option<Moment>,
    /// Targets to which load returns after the evacuation of their domain.
    returning: ReturningTargets,
    /// Whether queued submissions may have lost their last target to an evacuation since they were last reviewed.
    is_evacuation_review_due: bool,
    /// End of the time for which submissions wait for the agents to connect; `None` before the first
    /// configuration.
    starting_until: Option<Moment>,
    /// Submissions that were queued before `starting_until`, until they are reviewed then.
    queued_at_start: Vec<SubmissionId>,
    /// Versions with the times at which they were adopted, the newest last. Of those older than
    /// [`propagation_ms`](Identity::propagation_ms) only the newest is kept.
    adopted_versions: VecDeque<(Moment, ConfigVersion)>,
    /// Since when an agent has reported a higher configuration version than that of this entry.
    config_stale_since: Option<Moment>,
    /// When an agent was last asked to send its configuration.
    config_requested_at: Option<Moment>,
    /// How often agents were asked since the active configuration was adopted, up to a limit.
    unanswered_config_requests: u32,
    next_session: SessionNumber,
    /// All entries that agents may connect to, sent to agents that fetch their configuration here.
    known_entries: Vec<EntryAddress>,
    random: SmallRng,
    totals: Totals,
    is_shutting_down: bool,
    is_shutdown_complete: bool,
}

impl Entry {
    /// Creates an entry without configuration and sessions; `seed` seeds the random placement choices.
    #[must_use]
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            identity,
            config: None,
            agents: BTreeMap::new(),
            agent_ids: Vec::new(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            queue: Queue::default(),
            shares: ShareLedger::default(),
            retry_budget: RetryBudget::default(),
            ejection: EjectionTracker::default(),
            speeds: SpeedTracker::default(),
            assumed_speeds: BTreeMap::new(),
            speeds_reviewed_at: Moment::default(),
            far_factor: FarFactor::default(),
            fixed_near_wait_ms: None,
            labels: BTreeMap::new(),
            throughput: ThroughputMeter::default(),
            crashes: CrashTracker::default(),
            containment: Containment::default(),
            queue_work: QueueWork::default(),
            orphans: BTreeMap::new(),
            evacuations: Evacuations::default(),
            evacuations_known_at: None,
            returning: ReturningTargets::default(),
            is_evacuation_review_due: false,
            starting_until: None,
            queued_at_start: Vec::new(),
            adopted_versions: VecDeque::new(),
            config_stale_since: None,
            config_requested_at: None,
            unanswered_config_requests: 0,
            next_session: SessionNumber::default(),
            known_entries: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            totals: Totals::default(),
            is_shutting_down: false,
            is_shutdown_complete: false,
        }
    }

    /// Handles one event. Expired leases and deadlines are processed first, so that a process that was
    /// suspended does not act on messages that queued up in the meantime.
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
            EntryEvent::ConnectionLost { connection } => self.on_connection_lost(connection),
            EntryEvent::Configured(config) => self.on_configured(now, config),
            EntryEvent::EvacuationsRead { update, sent_at } => {
                self.on_evacuations_read(update, sent_at, &mut out);
            }
            EntryEvent::EntriesChanged(entries) => self.on_entries_changed(&entries, &mut out),
            EntryEvent::SendItem { connection, item } => {
                self.send_items(connection, vec![item], &mut out);
            }
            EntryEvent::Shutdown => self.is_shutting_down = true,
            EntryEvent::Tick => {}
        }
        out
    }

    /// Places queued tasks. Called once after each batch of events, so that all tasks of a submission
    /// that go to the same agent are sent in one message.
    pub fn flush(&mut self, now: Moment) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.request_newer_config(now, &mut out);
        self.offer_config(now, &mut out);
        self.review_speeds(now);
        self.review_queue(now, &mut out);
        self.dispatch(now, &mut out);
        self.throughput
            .observe_backlog(now, self.queue.task_count() > 0);
        if self.is_shutting_down && self.jobs.is_empty() && !self.is_shutdown_complete {
            self.is_shutdown_complete = true;
            out.push(EntryAction::ShutdownComplete);
        }
        out
    }

    fn expire(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        self.judge_crashes(now, out);
        self.expire_leases(now, out);
        self.expire_deadlines(now, out);
        self.expire_crashes(now, out);
    }
}
