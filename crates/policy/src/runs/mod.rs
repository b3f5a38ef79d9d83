//! Runs on a target that checks fencing tokens and leases: certainty about what runs there.
//!
//! An order without an answer may be carried out much later. Raising the token settles it: once a look
//! with a higher token is answered, an order that its lists do not show never takes effect. A target
//! that can't be reached ends all runs when their lease lapses.

mod active;
mod event;
mod look;
mod order;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use active::Active;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TaskRef;
use dfs_wire::target::Announcement;

pub use event::ActiveRun;
pub use event::EndedRun;
pub use event::FencingToken;
pub use event::Heartbeat;
pub use event::PollOutcome;
pub use event::PollRequest;
pub use event::Refusal;
pub use event::RequestOutcome;
pub use event::RunNumber;
pub use event::RunOutcome;
pub use event::RunSnapshot;
pub use event::RunsAction;
pub use event::RunsEvent;
pub use event::StartRequest;
pub use event::StopRequest;
pub use event::TargetIncarnation;
pub use event::TargetTime;
pub use event::TaskSpec;

/// Times of a target's leases.
#[derive(Debug, Clone)]
pub struct RunsOptions {
    /// Lease that is asked for the runs.
    pub run_lease_ms: Millis,
    /// Longest lease that the target grants, which runs of an earlier life of the agent may have.
    pub max_lease_ms: Millis,
    /// Time that the target takes to stop a run.
    pub stop_ms: Millis,
    /// Longest wait of one look.
    pub poll_wait_ms: Millis,
    /// The target is gone if no heartbeat comes within this time.
    pub heartbeat_lease_ms: Millis,
}

/// Everything that may run on one target.
#[derive(Debug)]
pub struct Runs {
    options: RunsOptions,
    /// Token of the next orders; it never falls.
    token: FencingToken,
    /// Tasks by their name on the target; one run of a name at a time.
    active: HashMap<Arc<str>, Active>,
    names: BTreeMap<TaskRef, Arc<str>>,
    /// Tasks that wait for the end of an earlier run of their name.
    successors: HashMap<Arc<str>, VecDeque<(TaskRef, TaskSpec)>>,
    /// Highest run number of names that ran lately.
    last_run_numbers: HashMap<Arc<str>, (RunNumber, Moment)>,
    heartbeat: Option<(Heartbeat, Moment)>,
    /// Life of the target that the lists of runs belong to.
    incarnation: Option<TargetIncarnation>,
    /// Number of the last end that is known.
    last_end: u64,
    /// The target's clock, and when it was told.
    clock: Option<(TargetTime, Moment)>,
    /// Until when any run may go on without a further renewal, by this process's clock.
    leased_until: Moment,
    /// Looks that are not answered.
    pending_polls: u32,
    /// When the latest look was sent.
    last_poll_sent_at: Moment,
    /// When the target last answered a look.
    last_snapshot_at: Moment,
    /// Since when looks fail.
    failing_since: Option<Moment>,
    next_poll_at: Moment,
    taken_over: bool,
    /// Runs of an earlier life of the agent that were told to stop.
    orphans_stopped: usize,
    is_announced: bool,
    /// Looks in a row that a higher token fenced.
    climbs: u32,
}

/// Clocks of two instances differ by at most this part of a lease.
const CLOCK_DRIFT: (u64, u64) = (2, 100);
/// Time for which the highest run number of a name is kept; callers send a job again within seconds.
const RUN_NUMBER_RETENTION_MS: Millis = Millis::new(30_000);
/// Wait after a look that failed.
const POLL_RETRY_DELAY_MS: Millis = Millis::new(50);
/// Time beyond its wait after which a look that is not answered is followed by another one; until then
/// all ends are unseen, and an answer takes a few milliseconds.
const POLL_OVERDUE_MS: Millis = Millis::new(25);
/// Most looks that are not answered at one time.
const MAX_PENDING_POLLS: u32 = 4;
/// Failing looks for longer than this make a target unreachable; one lost answer does not.
const UNREACHABLE_MS: Millis = Millis::new(400);

impl Runs {
    /// Nothing is known of the target yet; `token` is higher than those of earlier lives of the agent,
    /// as far as is known.
    #[must_use]
    pub fn new(options: RunsOptions, token: FencingToken, now: Moment) -> Self {
        let leased_until = now + with_drift(options.max_lease_ms) + options.stop_ms;
        Self {
            options,
            token,
            active: HashMap::new(),
            names: BTreeMap::new(),
            successors: HashMap::new(),
            last_run_numbers: HashMap::new(),
            heartbeat: None,
            incarnation: None,
            last_end: 0,
            clock: None,
            leased_until,
            pending_polls: 0,
            last_poll_sent_at: now,
            last_snapshot_at: now,
            failing_since: None,
            next_poll_at: now,
            taken_over: false,
            orphans_stopped: 0,
            is_announced: false,
            climbs: 0,
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Moment, event: RunsEvent) -> Vec<RunsAction> {
        let mut out = Vec::new();
        match event {
            RunsEvent::StartTask { task, spec } => self.on_start(now, task, spec, &mut out),
            RunsEvent::StopTask { task } => self.on_stop(now, &task, &mut out),
            RunsEvent::StartCompleted { request, outcome } => {
                self.on_start_completed(now, &request, outcome, &mut out);
            }
            RunsEvent::PollCompleted { poll, outcome } => {
                self.on_poll_completed(now, &poll, outcome, &mut out)
            }
            RunsEvent::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat, &mut out),
            RunsEvent::Deregistered { target } => self.on_deregistered(&target, &mut out),
            RunsEvent::Tick => {}
        }
        self.expire(now, &mut out);
        self.send_poll_if_due(now, &mut out);
        out
    }

    /// Whether no run of an earlier life of the agent can go on any more.
    #[must_use]
    pub const fn is_taken_over(&self) -> bool {
        self.taken_over
    }

    /// Tasks that run or may run.
    #[must_use]
    pub fn open(&self) -> usize {
        self.names.len()
    }

    fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat, out: &mut Vec<RunsAction>) {
        if let Some((known, _)) = &self.heartbeat
            && is_outdated(&heartbeat, known)
        {
            return;
        }
        let is_new_incarnation = self
            .heartbeat
            .as_ref()
            .is_some_and(|(known, _)| incarnation_key(known) != incarnation_key(&heartbeat));
        if is_new_incarnation {
            self.on_new_incarnation(now, out);
        }
        self.heartbeat = Some((heartbeat, now));
        self.announce(now, out);
    }

    fn on_deregistered(&mut self, target: &dfs_ids::TargetId, out: &mut Vec<RunsAction>) {
        let is_this = |known: &(Heartbeat, Moment)| known.0.target == *target;
        if self.heartbeat.as_ref().is_some_and(is_this) {
            self.heartbeat = None;
            self.say_goodbye(out);
        }
    }

    /// Another life of the target runs nothing of the one before and knows no tokens.
    fn on_new_incarnation(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        self.last_end = 0;
        self.clock = None;
        self.incarnation = None;
        self.interrupt_all(now, "the target has started anew", out);
    }

    /// Tells the agent of the target once it is commanded and answers.
    fn announce(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let Some((heartbeat, heard_at)) = &self.heartbeat else {
            return;
        };
        let is_fresh = now.since(*heard_at) < self.options.heartbeat_lease_ms;
        if heartbeat.is_leaving || !self.taken_over || self.failing_since.is_some() || !is_fresh {
            if heartbeat.is_leaving || !is_fresh {
                self.say_goodbye(out);
            }
            return;
        }
        self.is_announced = true;
        out.push(RunsAction::Announce(Announcement {
            address: heartbeat.address,
            lease_ms: self.options.heartbeat_lease_ms,
            offer: heartbeat.offer.clone(),
        }));
    }

    fn say_goodbye(&mut self, out: &mut Vec<RunsAction>) {
        if std::mem::take(&mut self.is_announced) {
            out.push(RunsAction::Goodbye);
        }
    }

    /// Settles all runs once their lease has certainly lapsed.
    fn expire(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        if now < self.leased_until {
            return;
        }
        if !self.taken_over {
            // Runs of an earlier life have lapsed, though the target was never reached.
            self.take_over(out);
        }
        self.interrupt_all(now, "its lease has lapsed", out);
    }

    fn take_over(&mut self, out: &mut Vec<RunsAction>) {
        self.taken_over = true;
        out.push(RunsAction::TakenOver {
            token: self.token,
            stopped_runs: self.orphans_stopped,
        });
    }

    /// End of a lease that begins now, by the target's clock, as far as that is known.
    fn lease_end(&self, now: Moment) -> Option<TargetTime> {
        let (clock, told_at) = self.clock?;
        let end = clock.0 + now.since(told_at).get() + self.options.run_lease_ms.get();
        Some(TargetTime(end))
    }

    /// Notes that an order with a lease is on its way.
    fn note_lease(&mut self, now: Moment) {
        let until = now + with_drift(self.options.run_lease_ms) + self.options.stop_ms;
        self.leased_until = self.leased_until.max(until);
    }
}

fn with_drift(lease_ms: Millis) -> Millis {
    let (part, whole) = CLOCK_DRIFT;
    lease_ms + Millis::new(lease_ms.get() * part / whole + 1)
}

fn incarnation_key(heartbeat: &Heartbeat) -> (&dfs_ids::TargetId, Option<TargetIncarnation>) {
    (&heartbeat.target, heartbeat.incarnation)
}

/// Whether a heartbeat is older than another one, of the same life or an earlier one.
fn is_outdated(heartbeat: &Heartbeat, known: &Heartbeat) -> bool {
    if incarnation_key(heartbeat) == incarnation_key(known) {
        return heartbeat.sequence <= known.sequence;
    }
    heartbeat.incarnation.is_some() && heartbeat.incarnation < known.incarnation
}
