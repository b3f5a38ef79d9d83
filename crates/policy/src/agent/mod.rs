//! State machine of an agent: which tasks start on its target, and what it reports to entries.

mod crash;
mod evacuation;
mod event;
mod evidence;
mod freshness;
mod lease;
mod progress;
mod queue;
mod record;
mod report;
mod start;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::PlacementRules;
use dfs_ids::ConfigVersion;
use dfs_ids::FailureDomain;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Evacuations;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;
use dfs_wire::target::Resources;

use crash::CrashHistory;
pub use event::AgentAction;
pub use event::AgentEvent;
pub use event::EvacuationSource;
pub use event::Observation;
pub use event::RunEnd;
use evidence::Evidence;
use freshness::Freshness;
pub use freshness::evacuation_read_timing;
use queue::Queue;
use record::Stage;
use record::TaskRecord;
use view::EntryView;

use crate::share::ShareLedger;

/// The state of one agent. It performs no I/O: the caller passes in events and performs the returned
/// actions.
#[derive(Debug)]
pub struct Agent {
    /// Entries that have opened a session, by incarnation.
    entries: BTreeMap<Incarnation, EntryView>,
    /// All accepted tasks whose result the entry has not acknowledged.
    records: BTreeMap<TaskRef, TaskRecord>,
    /// `None` once the target has withdrawn its announcement or its lease has expired.
    target: Option<LiveTarget>,
    shares: ShareLedger,
    rules: PlacementRules,
    config_version: Option<ConfigVersion>,
    /// Failure domain of the target; `None` if it is never evacuated.
    domain: Option<FailureDomain>,
    evacuations: Evacuations,
    /// `None` if the agent can't read the store.
    freshness: Option<Freshness>,
    /// Incarnation of this agent; seeds the choice of a configuration source, so that agents choose different
    /// entries.
    incarnation: Incarnation,
    result_retention_ms: Millis,
    running_tasks: u32,
    /// Running tasks under which a target has crashed before.
    running_suspects: u32,
    crashes: CrashHistory,
    /// Address of the latest target; kept after the target is gone.
    latest_target_address: Option<SocketAddr>,
    /// Tasks running on targets at other addresses, which occupy no slots of the latest one.
    running_on_former_targets: u32,
    /// Total demand of the tasks running on the latest target.
    used_resources: Resources,
    queue: Queue,
    is_shutting_down: bool,
    is_shutdown_complete: bool,
    /// Whether all slots were occupied when reports were last sent.
    was_full: bool,
    evidence: Evidence,
    last_event_at: Moment,
    /// When the first event after a gap was processed.
    resumed_at: Moment,
    /// Factor by which runs on the target are slower than typical ones, in thousandths.
    slowdown_permille: u32,
    /// What [`AgentAction::EntriesHeard`] said last.
    reported_heard_at: Option<Moment>,
    /// Log events to emit with the next flush.
    observations: Vec<Observation>,
}

/// A target whose lease has not expired.
#[derive(Debug, Clone)]
struct LiveTarget {
    announcement: Announcement,
    announced_at: Moment,
}

impl Agent {
    /// Creates an agent without entries, target or configuration.
    ///
    /// Results of an entry are kept for `result_retention_ms` after its lease has expired.
    #[must_use]
    pub fn new(incarnation: Incarnation, result_retention_ms: Millis) -> Self {
        Self {
            entries: BTreeMap::new(),
            records: BTreeMap::new(),
            target: None,
            shares: ShareLedger::default(),
            rules: PlacementRules::default(),
            config_version: None,
            domain: None,
            evacuations: Evacuations::default(),
            freshness: None,
            incarnation,
            result_retention_ms,
            running_tasks: 0,
            running_suspects: 0,
            crashes: CrashHistory::default(),
            latest_target_address: None,
            running_on_former_targets: 0,
            used_resources: Resources::default(),
            queue: Queue::default(),
            is_shutting_down: false,
            is_shutdown_complete: false,
            was_full: false,
            evidence: Evidence::default(),
            last_event_at: Moment::default(),
            resumed_at: Moment::default(),
            slowdown_permille: progress::NOMINAL_SLOWDOWN_PERMILLE,
            reported_heard_at: None,
            observations: Vec::new(),
        }
    }

    /// Sets the failure domain of the target, whose evacuation the agent follows.
    #[must_use]
    pub fn in_domain(mut self, domain: FailureDomain) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Processes one event. Starts and reports are batched: they are returned by the next [`Agent::flush`].
    pub fn handle(&mut self, now: Moment, event: AgentEvent) -> Vec<AgentAction> {
        let mut out = Vec::new();
        self.record_event(now);
        match event {
            AgentEvent::Message {
                connection,
                message,
            } => {
                self.on_message(now, connection, message, &mut out);
            }
            AgentEvent::ReportAcked {
                connection,
                seq,
                ack,
            } => self.on_ack(now, connection, seq, &ack, &mut out),
            AgentEvent::ConnectionLost { connection } => self.on_connection_lost(connection),
            AgentEvent::TargetAnnounced(announcement) => {
                self.on_target_announced(now, announcement);
            }
            AgentEvent::TargetGoodbye => self.on_target_gone(),
            AgentEvent::TargetCrashed(tasks) => self.on_target_crashed(now, &tasks),
            AgentEvent::RunEnded { task, run_us, end } => {
                self.on_run_ended(now, &task, run_us, end, &mut out);
            }
            AgentEvent::RunProgress(progress) => self.on_progress(now, &progress, &mut out),
            AgentEvent::EvacuationsRead { read, answer } => {
                self.on_evacuations_read(now, read, answer, &mut out);
            }
            AgentEvent::ConfigAdopted(config) => self.on_config_adopted(&config),
            AgentEvent::ConfigBody { connection, body } => self.on_config_body(connection, body),
            AgentEvent::Shutdown => self.on_shutdown(),
            AgentEvent::Tick => self.on_tick(now, &mut out),
        }
        out
    }

    /// Starts queued tasks and sends due reports; called once after each batch of events.
    ///
    /// The lease of the target is checked first, since a batch may contain events that were delayed while the
    /// process was paused.
    pub fn flush(&mut self, now: Moment) -> Vec<AgentAction> {
        let mut out = Vec::new();
        self.expire_target(now);
        self.start_ready(now, &mut out);
        self.refresh_evacuations(now, &mut out);
        self.report_entries_heard(&mut out);
        self.send_reports(now, &mut out);
        out.extend(self.observations.drain(..).map(AgentAction::Observe));
        if self.is_drained(now) && !self.is_shutdown_complete {
            self.is_shutdown_complete = true;
            out.push(AgentAction::ShutdownComplete);
        }
        out
    }

    /// Whether there is a target whose lease has not expired.
    #[must_use]
    pub const fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// Number of started tasks that have not ended, including those on former targets.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running_tasks
    }

    /// Number of accepted tasks that have not started.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    fn on_config_adopted(&mut self, config: &Arc<Config>) {
        if self
            .config_version
            .is_some_and(|version| config.version <= version)
        {
            return;
        }
        self.config_version = Some(config.version);
        self.rules = config.rules.placement.clone();
        self.shares.set_shares(
            config
                .inventory
                .groups
                .iter()
                .map(|g| (g.group.clone(), g.share)),
        );
        self.entries
            .values_mut()
            .for_each(|view| view.is_version_pending = true);
    }

    fn on_target_announced(&mut self, now: Moment, announcement: Announcement) {
        let is_changed = self
            .target
            .as_ref()
            .is_none_or(|old| old.announcement != announcement);
        self.forget_speed_of_other_target(&announcement);
        self.set_target_address(announcement.address);
        self.target = Some(LiveTarget {
            announcement,
            announced_at: now,
        });
        if is_changed {
            self.mark_target_state_pending();
            self.hand_back_unsuitable();
        }
    }

    /// A target at another address, or with other labels or capacity, may run at another speed.
    fn forget_speed_of_other_target(&mut self, announcement: &Announcement) {
        let is_same = self.target.as_ref().is_none_or(|old| {
            let (old, new) = (&old.announcement, announcement);
            old.address == new.address && old.offer.is_alike(&new.offer)
        });
        if !is_same {
            self.evidence.forget_target();
            self.slowdown_permille = progress::NOMINAL_SLOWDOWN_PERMILLE;
        }
    }

    /// Recounts which running tasks occupy the target at this address, if the address has changed.
    fn set_target_address(&mut self, address: SocketAddr) {
        if self.latest_target_address.replace(address) == Some(address) {
            return;
        }
        let is_elsewhere = |record: &&TaskRecord| matches!(record.stage, Stage::Running { address: at, .. } if at != address);
        let elsewhere = self.records.values().filter(is_elsewhere).count();
        self.running_on_former_targets = u32::try_from(elsewhere).unwrap_or(u32::MAX);
        let is_here = |record: &&TaskRecord| matches!(record.stage, Stage::Running { address: at, .. } if at == address);
        let here = self.records.values().filter(is_here);
        self.used_resources = here.fold(Resources::default(), |used, record| {
            used.saturating_add(&record.terms.demand)
        });
    }

    /// Occupied slots of the latest target.
    const fn occupied_slots(&self) -> u32 {
        self.running_tasks - self.running_on_former_targets
    }

    fn on_target_gone(&mut self) {
        if self.target.take().is_some() {
            self.mark_target_state_pending();
            self.hand_back_queued();
        }
    }

    fn on_shutdown(&mut self) {
        if self.is_shutting_down {
            return;
        }
        self.is_shutting_down = true;
        self.mark_target_state_pending();
        self.hand_back_queued();
    }

    fn on_tick(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        self.expire_target(now);
        self.expire_entries(now, out);
    }

    fn expire_target(&mut self, now: Moment) {
        let is_expired = self
            .target
            .as_ref()
            .is_some_and(|target| now.since(target.announced_at) >= target.announcement.lease_ms);
        if is_expired {
            self.on_target_gone();
        }
    }

    fn mark_target_state_pending(&mut self) {
        self.entries
            .values_mut()
            .for_each(|view| view.is_target_state_pending = true);
    }

    fn target_state(&self) -> TargetState {
        match &self.target {
            None => TargetState::Absent,
            Some(_) if self.is_shutting_down || self.is_evacuated() => TargetState::Leaving,
            Some(target) => TargetState::Live(target.announcement.offer.clone()),
        }
    }

    fn slot_count(&self) -> u32 {
        self.target.as_ref().map_or(0, |target| {
            let offer = &target.announcement.offer;
            offer.slots.get().min(offer.connections)
        })
    }

    /// Whether a shutdown can complete: no task is running, and no entry with a valid lease lacks a report.
    ///
    /// An entry without a session may not know yet that its queued tasks were handed back. Only its next
    /// session tells it, so the shutdown waits for that session or the expiry of the lease.
    fn is_drained(&self, now: Moment) -> bool {
        let awaits_session =
            |view: &EntryView| view.connection.is_none() && !view.is_lease_expired(now);
        let is_deliverable = |record: &TaskRecord| {
            let view = self.entries.get(&record.entry);
            view.is_some_and(|view| view.connection.is_some())
        };
        self.is_shutting_down
            && self.running_tasks == 0
            && !self.records.values().any(is_deliverable)
            && !self.entries.values().any(awaits_session)
            && !self.has_undelivered_items()
    }
}
