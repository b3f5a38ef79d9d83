//! Decisions of an agent: what starts on its target, and what entries are told.

mod event;
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
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;
use dfs_wire::target::Resources;

pub use event::AgentAction;
pub use event::AgentEvent;
pub use event::Observation;
pub use event::RunEnd;
use queue::Queue;
use record::Record;
use record::Stage;
use view::EntryView;

use crate::share::ShareLedger;

/// The state of one agent.
#[derive(Debug)]
pub struct Agent {
    /// Entries by incarnation; at most one view for each.
    entries: BTreeMap<Incarnation, EntryView>,
    /// Every task that was accepted and not acknowledged.
    records: BTreeMap<TaskRef, Record>,
    target: Option<LiveTarget>,
    shares: ShareLedger,
    rules: PlacementRules,
    version: Option<ConfigVersion>,
    /// Life of this agent; spreads the agents' choices of a config source.
    incarnation: Incarnation,
    keep_results_ms: Millis,
    running: u32,
    /// Address of the latest target; kept after it has gone.
    task_address: Option<SocketAddr>,
    /// Tasks running on targets at other addresses, which take no slots of the latest one.
    running_elsewhere: u32,
    /// What the tasks running on the latest target take together.
    used: Resources,
    queue: Queue,
    stopping: bool,
    stopped: bool,
    was_full: bool,
    /// Run time on the target over the expected one, by how far the runs have come; in thousandths.
    stretch_permille: u32,
    /// What the log is still to be told.
    observed: Vec<Observation>,
}

/// A target within its lease.
#[derive(Debug, Clone)]
struct LiveTarget {
    announcement: Announcement,
    heard_at: Moment,
}

impl Agent {
    /// An agent that knows no entry, no target and no configuration.
    #[must_use]
    pub fn new(incarnation: Incarnation, keep_results_ms: Millis) -> Self {
        Self {
            entries: BTreeMap::new(),
            records: BTreeMap::new(),
            target: None,
            shares: ShareLedger::default(),
            rules: PlacementRules::default(),
            version: None,
            incarnation,
            keep_results_ms,
            running: 0,
            task_address: None,
            running_elsewhere: 0,
            used: Resources::default(),
            queue: Queue::default(),
            stopping: false,
            stopped: false,
            was_full: false,
            stretch_permille: progress::NORMAL_PERMILLE,
            observed: Vec::new(),
        }
    }

    /// Takes one event; its consequences that may be batched are left to [`Agent::flush`].
    pub fn handle(&mut self, now: Moment, event: AgentEvent) -> Vec<AgentAction> {
        let mut out = Vec::new();
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
            } => self.on_ack(connection, seq, &ack, &mut out),
            AgentEvent::ConnectionLost { connection } => self.on_lost(connection),
            AgentEvent::TargetAnnounced(announcement) => self.on_announced(now, announcement),
            AgentEvent::TargetGoodbye => self.on_target_gone(),
            AgentEvent::RunEnded { task, run_us, end } => {
                self.on_ended(&task, run_us, end, &mut out);
            }
            AgentEvent::RunProgress(progress) => self.on_progress(now, &progress, &mut out),
            AgentEvent::ConfigAdopted(config) => self.on_configured(&config),
            AgentEvent::ConfigBody { connection, body } => self.on_config_body(connection, body),
            AgentEvent::Shutdown => self.on_stop(),
            AgentEvent::Tick => self.on_tick(now, &mut out),
        }
        out
    }

    /// Starts what can start and sends what is due; called once after a batch of events. The
    /// target's lease is settled first, since a batch may hold all that waited during a pause.
    pub fn flush(&mut self, now: Moment) -> Vec<AgentAction> {
        let mut out = Vec::new();
        self.expire_target(now);
        self.start_ready(now, &mut out);
        self.send_reports(now, &mut out);
        out.extend(self.observed.drain(..).map(AgentAction::Observe));
        if self.is_drained(now) && !self.stopped {
            self.stopped = true;
            out.push(AgentAction::ShutdownComplete);
        }
        out
    }

    /// Whether a target is within its lease.
    #[must_use]
    pub const fn has_target(&self) -> bool {
        self.target.is_some()
    }

    /// Tasks running on the target.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Tasks accepted and not started.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len()
    }

    fn on_configured(&mut self, config: &Arc<Config>) {
        if self
            .version
            .is_some_and(|version| config.version <= version)
        {
            return;
        }
        self.version = Some(config.version);
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
            .for_each(|view| view.tell_version = true);
    }

    fn on_announced(&mut self, now: Moment, announcement: Announcement) {
        let changed = self
            .target
            .as_ref()
            .is_none_or(|old| old.announcement != announcement);
        self.follow(announcement.address);
        self.target = Some(LiveTarget {
            announcement,
            heard_at: now,
        });
        if changed {
            self.tell_target();
        }
    }

    /// Counts anew which running tasks take slots of the target at this address.
    fn follow(&mut self, address: SocketAddr) {
        if self.task_address.replace(address) == Some(address) {
            return;
        }
        let is_elsewhere = |record: &&Record| matches!(record.stage, Stage::Running { address: at, .. } if at != address);
        let elsewhere = self.records.values().filter(is_elsewhere).count();
        self.running_elsewhere = u32::try_from(elsewhere).unwrap_or(u32::MAX);
        let is_here = |record: &&Record| matches!(record.stage, Stage::Running { address: at, .. } if at == address);
        let here = self.records.values().filter(is_here);
        self.used = here.fold(Resources::default(), |used, record| {
            used.saturating_add(&record.terms.demand)
        });
    }

    /// Slots of the latest target that are taken.
    const fn occupied(&self) -> u32 {
        self.running - self.running_elsewhere
    }

    fn on_target_gone(&mut self) {
        if self.target.take().is_some() {
            self.tell_target();
            self.return_queued();
        }
    }

    fn on_stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.tell_target();
        self.return_queued();
    }

    fn on_tick(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        self.expire_target(now);
        self.expire_entries(now, out);
    }

    fn expire_target(&mut self, now: Moment) {
        let lapsed = self
            .target
            .as_ref()
            .is_some_and(|target| now.since(target.heard_at) >= target.announcement.lease_ms);
        if lapsed {
            self.on_target_gone();
        }
    }

    fn tell_target(&mut self) {
        self.entries
            .values_mut()
            .for_each(|view| view.tell_target = true);
    }

    fn target_state(&self) -> TargetState {
        match &self.target {
            None => TargetState::Absent,
            Some(_) if self.stopping => TargetState::Leaving,
            Some(target) => TargetState::Live(target.announcement.offer.clone()),
        }
    }

    fn slots(&self) -> u32 {
        self.target.as_ref().map_or(0, |target| {
            let offer = &target.announcement.offer;
            offer.slots.get().min(offer.connections)
        })
    }

    /// Whether nothing is left to run, and nothing to tell an entry within its lease.
    ///
    /// An entry without a session may not know yet that its queued tasks are handed back; only the
    /// next session tells it, so the stop waits for that session or the end of the lease.
    fn is_drained(&self, now: Moment) -> bool {
        let awaits_session = |view: &EntryView| view.connection.is_none() && !view.has_lapsed(now);
        let deliverable = |record: &Record| {
            let view = self.entries.get(&record.entry);
            view.is_some_and(|view| view.connection.is_some())
        };
        self.stopping
            && self.running == 0
            && !self.records.values().any(deliverable)
            && !self.entries.values().any(awaits_session)
            && !self.owes_report()
    }
}
