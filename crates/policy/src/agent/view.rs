//! State that an agent keeps for one entry incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::EntryId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_wire::session::Evacuations;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRun;
use dfs_wire::session::SessionParams;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;

use crate::ConnectionId;

/// An entry incarnation and its latest session.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is set and cleared independently"
)]
#[derive(Debug)]
pub(super) struct EntryView {
    pub entry: EntryId,
    /// `None` between two sessions.
    pub connection: Option<ConnectionId>,
    pub session: SessionNumber,
    pub phase: Phase,
    /// Sequence number of the next message; a gap closes the session.
    pub next_message_seq: u64,
    /// Messages that the entry is known to have sent in this session.
    pub sent_messages: u64,
    pub next_report_seq: u64,
    pub unacked_reports: BTreeMap<u64, UnackedReport>,
    pub lease_ms: Millis,
    pub busy_renew_ms: Millis,
    pub idle_renew_ms: Millis,
    /// When the latest acknowledged report was sent. The lease runs from this time, so that a message that
    /// was buffered while the agent was paused does not renew it. Before the first acknowledgement of an entry, of
    /// which nothing has started then, when its session opened.
    pub lease_renewed_at: Moment,
    pub last_sent_at: Moment,
    /// Whether records of started tasks of this entry may have been dropped since the entry last
    /// acknowledged a list of held tasks.
    pub may_lack_records: bool,
    /// Finished tasks whose results were not sent in this session.
    pub unsent_results: BTreeSet<TaskRef>,
    pub pending_not_run: Vec<NotRun>,
    /// Tasks that other entries have given up and this one has placed.
    pub pending_given_up: Vec<GivenUpTask>,
    pub pending_config: Option<Box<RawValue>>,
    /// Evacuations that the entry is known to hold or to receive in this session.
    pub known_evacuations: Evacuations,
    /// What the entry has told of the age of its set, while earlier messages of it have not arrived.
    pub pending_confirmation: Option<PendingConfirmation>,
    pub sent_hint: LoadHint,
    pub hint_sent_at: Moment,
    /// Minimum time between two reports that are sent only for a load hint, as requested by the entry.
    pub min_hint_interval_ms: Millis,
    /// Number of the last crash of the target that was reported in this session.
    pub reported_crash: u64,
    /// Number of the last crash that the entry has acknowledged in this session. Reports may overtake each
    /// other, so until then each of them carries the crash: the entry must know of it before the ends of the runs.
    pub acked_crash: u64,
    pub is_target_state_pending: bool,
    pub is_version_pending: bool,
    pub is_config_source: bool,
    pub is_probe_pending: bool,
}

/// Phase of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The entry has not acknowledged the list of held tasks; no task starts.
    Reconciling,
    /// Tasks may start until the lease expires.
    Established,
}

/// A report that was sent and not acknowledged.
#[derive(Debug)]
pub(super) struct UnackedReport {
    pub sent_at: Moment,
    /// Tasks whose results the report contains.
    pub results: Vec<TaskRef>,
    /// Number of the last crash that the report contains.
    pub last_crash: u64,
}

/// The set of an entry was complete at some time, and is known here once so many messages have arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingConfirmation {
    pub known_at: Moment,
    pub sent_messages: u64,
}

impl EntryView {
    pub fn open(
        connection: ConnectionId,
        session: SessionNumber,
        open: &SessionParams,
        now: Moment,
    ) -> Self {
        Self {
            entry: open.entry.clone(),
            connection: Some(connection),
            session,
            phase: Phase::Reconciling,
            next_message_seq: 0,
            sent_messages: 0,
            next_report_seq: 0,
            unacked_reports: BTreeMap::new(),
            lease_ms: open.lease_ms,
            busy_renew_ms: open.busy_renew_ms,
            idle_renew_ms: open.idle_renew_ms,
            lease_renewed_at: now,
            last_sent_at: now,
            may_lack_records: false,
            unsent_results: BTreeSet::new(),
            pending_not_run: Vec::new(),
            pending_given_up: Vec::new(),
            pending_config: None,
            known_evacuations: Evacuations::default(),
            pending_confirmation: None,
            sent_hint: LoadHint::default(),
            hint_sent_at: now,
            min_hint_interval_ms: Millis::default(),
            reported_crash: 0,
            acked_crash: 0,
            is_target_state_pending: true,
            is_version_pending: true,
            is_config_source: false,
            is_probe_pending: false,
        }
    }

    /// The time at which the set of the entry was complete, once the messages before it have arrived.
    pub fn take_confirmation(&mut self) -> Option<Moment> {
        let next_message_seq = self.next_message_seq;
        let arrived = |pending: &mut PendingConfirmation| pending.sent_messages <= next_message_seq;
        let pending = self.pending_confirmation.take_if(arrived)?;
        Some(pending.known_at)
    }

    pub fn may_start(&self, now: Moment) -> bool {
        self.is_established() && !self.is_lease_expired(now)
    }

    pub fn is_established(&self) -> bool {
        self.connection.is_some() && self.phase == Phase::Established
    }

    pub fn is_lease_expired(&self, now: Moment) -> bool {
        now >= self.lease_renewed_at + self.lease_ms
    }
}
