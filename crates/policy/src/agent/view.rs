//! What an agent knows of one entry incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dfs_ids::EntryId;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRun;
use dfs_wire::session::Open;
use dfs_wire::session::TaskRef;
use serde_json::value::RawValue;

use crate::ConnectionId;

/// One entry incarnation.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is told or cleared on its own"
)]
#[derive(Debug)]
pub(super) struct EntryView {
    pub entry: EntryId,
    /// Absent between two sessions.
    pub connection: Option<ConnectionId>,
    pub session: SessionNumber,
    pub phase: Phase,
    /// Position of the next message; any other closes the session.
    pub next_message: u64,
    /// Messages that are known to be on their way or read.
    pub sent_messages: u64,
    pub next_report: u64,
    pub in_flight: BTreeMap<u64, InFlight>,
    pub lease_ms: Millis,
    pub busy_renew_ms: Millis,
    pub idle_renew_ms: Millis,
    /// When the latest acknowledged report was sent; the lease runs from here, so that a message
    /// that waited in a buffer while the agent was paused does not renew it.
    pub leased_at: Moment,
    pub last_sent_at: Moment,
    /// Whether records of started tasks of this entry may have been dropped since a list of held
    /// tasks was acknowledged.
    pub forgotten: bool,
    /// Finished tasks whose results are not sent in this session.
    pub unsent: BTreeSet<TaskRef>,
    pub not_run: Vec<NotRun>,
    pub config_body: Option<Box<RawValue>>,
    pub told_hint: LoadHint,
    pub told_hint_at: Moment,
    /// Shortest time between two hints that ride on nothing, as the entry asks for.
    pub hint_ms: Millis,
    pub tell_target: bool,
    pub tell_version: bool,
    pub is_config_source: bool,
    pub probed: bool,
}

/// Phase of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The list of held tasks is not acknowledged; nothing starts.
    Fencing,
    /// Tasks may start while the lease holds.
    Established,
}

/// A report that is not acknowledged.
#[derive(Debug)]
pub(super) struct InFlight {
    pub sent_at: Moment,
    pub results: Vec<TaskRef>,
}

impl EntryView {
    pub fn open(
        connection: ConnectionId,
        session: SessionNumber,
        open: &Open,
        now: Moment,
    ) -> Self {
        Self {
            entry: open.entry.clone(),
            connection: Some(connection),
            session,
            phase: Phase::Fencing,
            next_message: 0,
            sent_messages: 0,
            next_report: 0,
            in_flight: BTreeMap::new(),
            lease_ms: open.lease_ms,
            busy_renew_ms: open.busy_renew_ms,
            idle_renew_ms: open.idle_renew_ms,
            leased_at: now,
            last_sent_at: now,
            forgotten: false,
            unsent: BTreeSet::new(),
            not_run: Vec::new(),
            config_body: None,
            told_hint: LoadHint::default(),
            told_hint_at: now,
            hint_ms: Millis::default(),
            tell_target: true,
            tell_version: true,
            is_config_source: false,
            probed: false,
        }
    }

    /// Whether tasks of the entry may start.
    pub fn may_start(&self, now: Moment) -> bool {
        self.is_established() && !self.has_lapsed(now)
    }

    pub fn is_established(&self) -> bool {
        self.connection.is_some() && self.phase == Phase::Established
    }

    pub fn has_lapsed(&self, now: Moment) -> bool {
        now >= self.leased_at + self.lease_ms
    }
}
