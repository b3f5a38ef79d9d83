//! Freshness of the set of evacuated domains, and the reads of the store that maintain it.
//!
//! Acknowledgements of entries tell how old their sets are. While an entry reads the store, the agent does not. It reads
//! the store itself when the newest set that it heard of has become too old, and only while that matters: while tasks run
//! or wait to start, or while its domain is evacuated.

use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Evacuations;

use super::Agent;
use super::AgentAction;
use super::EvacuationSource;
use super::Observation;
use crate::membership::hash_pair;
use crate::reads::ReadId;
use crate::reads::ReadSchedule;
use crate::reads::ReadTiming;

/// Divisor of all fractions of the bound.
const PARTS: u64 = 20;
/// Age of the set at which the first agents read the store: longer than entries that read it let the set become.
const FIRST_READ_PARTS: u64 = 8;
/// Age at which the last ones do. Agents are spread between the two, as the same failure makes all of them read. A read
/// may be lost: the one after it is still answered within the bound.
const LAST_READ_PARTS: u64 = 11;
/// Time after which a read without an answer, or a failed one, is repeated.
const RESEND_PARTS: u64 = 6;
/// Age above which a start waits for a read; the rest of the bound is left for the start itself.
const MAX_AGE_PARTS: u64 = 18;
/// Longest wait of a start: an agent that can't read the store either goes on without.
const START_WAIT_PARTS: u64 = 1;
/// How much less often an agent reads that only waits for the end of an evacuation.
const IDLE_FACTOR: u64 = 2;

/// Freshness of the set, of an agent that can read the store.
#[derive(Debug)]
pub(super) struct Freshness {
    bound_ms: Millis,
    /// The set has every request that the store had confirmed by this time; `None` until it is first known.
    known_at: Option<Moment>,
    schedule: ReadSchedule,
    /// When a read last failed.
    failed_at: Option<Moment>,
    /// Whether a task could start but for the age of the set.
    is_start_held: bool,
    /// Reads since an entry last confirmed the set; `None` if there were none.
    own_reads: Option<OwnReads>,
}

/// Reads of the agent since no entry has confirmed its set.
#[derive(Debug, Clone, Copy)]
struct OwnReads {
    since: Moment,
    reads: u64,
    answered: u64,
}

/// What an agent needs a fresh set for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// A task waits to start.
    HeldStart,
    /// Tasks run, and others may start at any time.
    Runs,
    /// The domain is evacuated, and the agent has nothing to do until it hears of the withdrawal.
    Withdrawal,
}

impl Freshness {
    fn new(bound_ms: Millis) -> Self {
        let schedule = ReadSchedule::new(evacuation_read_timing(bound_ms), Moment::default());
        Self {
            bound_ms,
            known_at: None,
            schedule,
            failed_at: None,
            is_start_held: false,
            own_reads: None,
        }
    }

    /// Whether the set is at least this old, or not known at all.
    fn is_older_than(&self, now: Moment, age_ms: Millis) -> bool {
        self.known_at
            .is_none_or(|known_at| now.since(known_at) >= age_ms)
    }

    /// Whether the store has lately left a read unanswered for longer than a start waits, or refused one. What it did
    /// before counts no more, as it may answer again.
    fn is_store_silent(&self, now: Moment) -> bool {
        let start_wait_ms = parts(self.bound_ms, START_WAIT_PARTS);
        let recent_ms = parts(self.bound_ms, 2 * RESEND_PARTS);
        let oldest_ms = self.schedule.oldest_age_ms(now);
        let has_failed = |failed_at| now.since(failed_at) < recent_ms;
        oldest_ms.is_some_and(|age_ms| age_ms >= start_wait_ms)
            || self.failed_at.is_some_and(has_failed)
    }

    /// Whether a task may start now; otherwise it waits for a read.
    fn allows_start(&mut self, now: Moment) -> bool {
        let max_age_ms = parts(self.bound_ms, MAX_AGE_PARTS);
        let is_allowed = !self.is_older_than(now, max_age_ms) || self.is_store_silent(now);
        self.is_start_held |= !is_allowed;
        is_allowed
    }

    /// Whether the set has reached the age at which this agent reads the store, times `factor`.
    fn is_old(&self, now: Moment, reader: Incarnation, factor: u64) -> bool {
        let first_ms = parts(self.bound_ms, FIRST_READ_PARTS).get();
        if !self.is_older_than(now, Millis::new(first_ms * factor)) {
            return false;
        }
        let last_ms = parts(self.bound_ms, LAST_READ_PARTS).get();
        // Differs by reader and by read, so that agents that have read at the same time don't do so again.
        let spread_ms = hash_pair(&reader, &self.known_at) % (last_ms - first_ms + 1);
        self.is_older_than(now, Millis::new((first_ms + spread_ms) * factor))
    }

    /// The read to send now, if one is due.
    fn start_due_read(&mut self, now: Moment, reader: Incarnation, need: Need) -> Option<ReadId> {
        let is_due = match need {
            Need::HeldStart => true,
            Need::Runs => self.is_old(now, reader, 1),
            Need::Withdrawal => self.is_old(now, reader, IDLE_FACTOR),
        };
        if !is_due {
            return None;
        }
        let read = self.schedule.start_due(now)?;
        let own_reads = self.own_reads.get_or_insert(OwnReads {
            since: now,
            reads: 0,
            answered: 0,
        });
        own_reads.reads += 1;
        Some(read.id)
    }
}

impl Agent {
    /// Lets the agent read the evacuated domains from the store, so that it starts no task later than `bound_ms` after
    /// its domain was evacuated. The caller must perform [`AgentAction::ReadEvacuations`].
    #[must_use]
    pub fn reading_evacuations(mut self, bound_ms: Millis) -> Self {
        self.freshness = Some(Freshness::new(bound_ms));
        self
    }

    /// Age of the set of evacuated domains; `None` until it is known, and for an agent that does not read the store.
    #[must_use]
    pub fn evacuations_age_ms(&self, now: Moment) -> Option<Millis> {
        let known_at = self.freshness.as_ref()?.known_at?;
        Some(now.since(known_at))
    }

    /// Whether the set of evacuated domains is fresh enough for a start. It always is for an agent that can't read
    /// the store.
    pub(super) fn may_start_by_freshness(&mut self, now: Moment) -> bool {
        let freshness = self.freshness.as_mut();
        freshness.is_none_or(|freshness| freshness.allows_start(now))
    }

    /// Sends a read of the store if the set has become too old for what the agent does.
    pub(super) fn refresh_evacuations(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        let is_evacuated = self.is_evacuated();
        let age_ms = self.evacuations_age_ms(now);
        let Some(freshness) = &mut self.freshness else {
            return;
        };
        freshness.schedule.abandon_old(now);
        let is_start_held = std::mem::take(&mut freshness.is_start_held);
        let need = match (is_start_held, self.running_tasks) {
            (true, _) => Need::HeldStart,
            (false, 1..) => Need::Runs,
            (false, 0) if is_evacuated => Need::Withdrawal,
            (false, 0) => return,
        };
        let was_confirmed = freshness.own_reads.is_none();
        let Some(read) = freshness.start_due_read(now, self.incarnation, need) else {
            return;
        };
        if was_confirmed {
            let unconfirmed = Observation::EvacuationsUnconfirmed { age_ms };
            self.observations.push(unconfirmed);
        }
        out.push(AgentAction::ReadEvacuations { read });
    }

    /// Records that an entry's set, which the agent holds or has a newer one than, was complete at this time.
    pub(super) fn confirm_evacuations(&mut self, now: Moment, known_at: Moment) {
        let Some(freshness) = &mut self.freshness else {
            return;
        };
        if freshness.known_at >= Some(known_at) {
            return;
        }
        freshness.known_at = Some(known_at);
        if let Some(own_reads) = freshness.own_reads.take() {
            let confirmed = Observation::EvacuationsConfirmed {
                unconfirmed_ms: now.since(own_reads.since),
                reads: own_reads.reads,
                answered: own_reads.answered,
            };
            self.observations.push(confirmed);
        }
    }

    /// Adopts the answer to a read of the store, `None` for a failed one. An answer that is older than the set held was
    /// served from a copy that lags behind, and counts as failed.
    pub(super) fn on_evacuations_read(
        &mut self,
        now: Moment,
        read: ReadId,
        answer: Option<Evacuations>,
        out: &mut Vec<AgentAction>,
    ) {
        let held = self.evacuations.revision;
        let Some(freshness) = &mut self.freshness else {
            return;
        };
        let Some(sent_at) = freshness.schedule.sent_at(read) else {
            return;
        };
        let Some(evacuations) = answer.filter(|answer| answer.revision >= held) else {
            freshness.schedule.on_failure(now, read);
            freshness.failed_at = Some(now);
            return;
        };
        freshness.schedule.on_answer(now, read);
        freshness.failed_at = None;
        freshness.known_at = freshness.known_at.max(Some(sent_at));
        if let Some(own_reads) = &mut freshness.own_reads {
            own_reads.answered += 1;
        }
        self.adopt_evacuations(evacuations, EvacuationSource::Store, out);
    }
}

/// Times between the reads of an agent that starts no task later than `bound_ms` after its domain was evacuated.
#[must_use]
pub const fn evacuation_read_timing(bound_ms: Millis) -> ReadTiming {
    ReadTiming {
        wait_ms: Millis::new(0),
        resend_ms: parts(bound_ms, RESEND_PARTS),
        retry_ms: parts(bound_ms, RESEND_PARTS),
        pace_ms: Millis::new(0),
        abandon_ms: parts(bound_ms, 2 * RESEND_PARTS),
    }
}

/// A number of twentieths of the bound.
const fn parts(bound_ms: Millis, parts: u64) -> Millis {
    Millis::new(bound_ms.get() * parts / PARTS)
}
