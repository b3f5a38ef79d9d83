//! Tracks the runs on a target that enforces fencing tokens and run leases.
//!
//! A request that was not answered may still take effect much later. The agent resolves this by raising
//! its fencing token: once a poll with the higher token is answered, a start that the answer does not
//! list never takes effect. A target that is unreachable stops all runs when their lease expires.

mod active;
mod event;
mod heartbeat;
mod lease;
mod look;
mod order;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use active::PendingStop;
use active::TrackedRun;
use active::WantedTask;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::TaskRef;
use heartbeat::UnconfirmedHeartbeat;
use lease::longest_lease_end;

pub use event::ActiveRun;
pub use event::CrashedAttempt;
pub use event::EndedRun;
pub use event::FencingToken;
pub use event::Heartbeat;
pub use event::ListedEnd;
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
pub use event::TakeoverEvidence;
pub use event::TargetIncarnation;
pub use event::TargetTime;
pub use event::TaskSpec;

/// Lease durations and timeouts for one target.
#[derive(Debug, Clone)]
pub struct RunsOptions {
    /// Lease duration that each start or poll requests for all runs.
    pub run_lease_ms: Millis,
    /// Longest lease that the target grants; runs started by an earlier incarnation of the agent may hold
    /// one of this length.
    pub max_lease_ms: Millis,
    /// Time that the target needs to stop a run after its lease has expired.
    pub stop_ms: Millis,
    /// Time for which the target may hold a poll until a run ends.
    pub poll_wait_ms: Millis,
    /// Time without a heartbeat after which the target is considered gone.
    pub heartbeat_lease_ms: Millis,
    /// Shortest time after which a caller whose entry has died submits its job to another one. The runs of an entry
    /// that was not heard of for so long have ended. `None` if callers do not submit jobs again.
    pub resubmit_ms: Option<Millis>,
}

/// State machine that starts, stops and tracks all runs on one target.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is set and cleared independently"
)]
#[derive(Debug)]
pub struct Runs {
    options: RunsOptions,
    /// Token of the next requests; never decreases.
    token: FencingToken,
    /// Whether the failure domain of the target is evacuated.
    is_evacuated: bool,
    /// Runs by task name on the target; at most one per name.
    tracked: HashMap<Arc<str>, TrackedRun>,
    names_by_task: BTreeMap<TaskRef, Arc<str>>,
    /// Tasks that wait for an earlier run of the same name to end.
    waiting_tasks: HashMap<Arc<str>, VecDeque<WantedTask>>,
    /// Last run number of each task name that ended recently, and when it ended.
    last_run_numbers: HashMap<Arc<str>, (RunNumber, Moment)>,
    /// Latest heartbeat of the incarnation that the target's own answers have shown, and when it was received.
    heartbeat: Option<(Heartbeat, Moment)>,
    /// Latest heartbeat that the target has not confirmed yet. Anyone could have sent it: it ends no run, and
    /// nothing starts until the target has answered a poll.
    unconfirmed: Option<UnconfirmedHeartbeat>,
    /// Id under which the target last answered a poll.
    answered_as: Option<dfs_ids::TargetId>,
    /// Whether the target has said that it is about to exit, so that its exit is no crash.
    is_exit_planned: bool,
    /// Whether a crash was reported, or a planned exit seen, and the target has not answered since.
    is_exit_accounted: bool,
    /// Runs whose lease has expired since the target last answered. If it turns out to have restarted, it may have
    /// crashed under them.
    expired_tasks: Vec<CrashedAttempt>,
    /// Heartbeat that the store holds, as far as known.
    stored_heartbeat: Option<Heartbeat>,
    /// Heartbeat received by an earlier incarnation of the agent. It is used once the target reports the same
    /// incarnation, until its next heartbeat arrives.
    recalled_heartbeat: Option<Heartbeat>,
    /// Incarnation that the last snapshot came from; `None` after an answer of another one that is not known.
    incarnation: Option<TargetIncarnation>,
    /// Incarnation that the present one has replaced.
    previous_incarnation: Option<TargetIncarnation>,
    /// When the present incarnation became known.
    incarnation_since: Moment,
    /// Sequence number of the last end that was processed.
    last_end_sequence: u64,
    /// When a request last met a target that may have restarted since, if no later poll was answered. Until
    /// then polls acknowledge no ends, because a new incarnation would discard its own.
    maybe_restarted_at: Option<Moment>,
    /// Last known time of the target's clock, and when it was received.
    target_clock: Option<(TargetTime, Moment)>,
    /// Latest time, by this process's clock, until which a run may continue if no lease is renewed.
    lease_expires_at: Moment,
    /// Of the entries with runs here, when the one that was silent for longest was last heard of.
    entries_heard_at: Option<Moment>,
    /// Active runs that this process has not requested, and their stops.
    orphans: HashMap<(Arc<str>, RunNumber), PendingStop>,
    /// Polls that have not completed.
    pending_polls: u32,
    last_poll_sent_at: Moment,
    /// Highest token of all polls sent.
    last_poll_token: FencingToken,
    /// When a poll first met no process that listens at the target's address, if no later one was answered.
    not_listening_since: Option<Moment>,
    /// Whether the connection of a poll broke and none was answered since.
    is_disconnected: bool,
    /// When a poll last returned a snapshot.
    last_snapshot_at: Moment,
    /// When the last of the polls that returned a snapshot was sent.
    last_answered_poll_sent_at: Moment,
    /// Time of the first failed poll since the last snapshot.
    polls_failing_since: Option<Moment>,
    next_poll_at: Moment,
    /// Whether all runs of earlier incarnations of the agent have certainly ended.
    taken_over: bool,
    /// Lowest token of a poll whose answer can complete the takeover.
    takeover_token: FencingToken,
    /// Whether the last snapshot listed all ends.
    has_read_all_ends: bool,
    /// Stop requests sent to runs of earlier incarnations of the agent.
    orphans_stopped: usize,
    is_announced: bool,
    /// Consecutive polls that the target refused because it has seen a higher token.
    fenced_polls: u32,
}

/// Time for which the last run number of a name is kept; callers resubmit a job within seconds.
const RUN_NUMBER_RETENTION_MS: Millis = Millis::new(30_000);
/// Delay before the next poll after a failed one.
const POLL_RETRY_DELAY_MS: Millis = Millis::new(50);
/// Grace period after [`RunsOptions::poll_wait_ms`] after which another poll is sent. It is short because
/// an answer takes only a few milliseconds, and no end is noticed until one arrives.
const POLL_OVERDUE_MS: Millis = Millis::new(25);
/// Limit on polls in flight.
const MAX_PENDING_POLLS: u32 = 4;
/// Time for which polls must fail before the target counts as unreachable; a single lost answer must not
/// suffice.
const UNREACHABLE_MS: Millis = Millis::new(400);

impl Runs {
    /// Creates the state for a target that has not been contacted. `token` should be higher than the tokens
    /// of earlier incarnations of the agent; if it is not, it is raised when the target refuses it.
    #[must_use]
    pub fn new(options: RunsOptions, token: FencingToken, now: Moment) -> Self {
        let lease_expires_at = longest_lease_end(&options, now);
        Self {
            options,
            token,
            is_evacuated: false,
            tracked: HashMap::new(),
            names_by_task: BTreeMap::new(),
            waiting_tasks: HashMap::new(),
            last_run_numbers: HashMap::new(),
            heartbeat: None,
            unconfirmed: None,
            answered_as: None,
            is_exit_planned: false,
            is_exit_accounted: false,
            expired_tasks: Vec::new(),
            stored_heartbeat: None,
            recalled_heartbeat: None,
            incarnation: None,
            previous_incarnation: None,
            incarnation_since: now,
            last_end_sequence: 0,
            maybe_restarted_at: None,
            target_clock: None,
            lease_expires_at,
            entries_heard_at: None,
            orphans: HashMap::new(),
            pending_polls: 0,
            last_poll_sent_at: now,
            last_poll_token: FencingToken::default(),
            not_listening_since: None,
            is_disconnected: false,
            last_snapshot_at: now,
            last_answered_poll_sent_at: now,
            polls_failing_since: None,
            next_poll_at: now,
            taken_over: false,
            takeover_token: token,
            has_read_all_ends: false,
            orphans_stopped: 0,
            is_announced: false,
            fenced_polls: 0,
        }
    }

    /// Processes an event and returns the actions that the caller must perform.
    pub fn handle(&mut self, now: Moment, event: RunsEvent) -> Vec<RunsAction> {
        let mut out = Vec::new();
        match event {
            RunsEvent::StartTask { task, spec, label } => {
                let wanted = WantedTask { task, spec, label };
                self.on_start(now, wanted, &mut out);
            }
            RunsEvent::StopTask { task } => self.on_stop(now, &task, &mut out),
            RunsEvent::DomainEvacuated(is_evacuated) => self.is_evacuated = is_evacuated,
            RunsEvent::EntriesHeard { earliest } => self.entries_heard_at = earliest,
            RunsEvent::StopCompleted { request, outcome } => {
                self.on_stop_completed(now, &request, &outcome, &mut out);
            }
            RunsEvent::StartCompleted { request, outcome } => {
                self.on_start_completed(now, &request, outcome, &mut out);
            }
            RunsEvent::PollCompleted { poll, outcome } => {
                self.on_poll_completed(now, &poll, outcome, &mut out);
            }
            RunsEvent::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat, &mut out),
            RunsEvent::HeartbeatRecalled(heartbeat) => {
                self.on_heartbeat_recalled(now, heartbeat, &mut out);
            }
            RunsEvent::HeartbeatStored(heartbeat) => self.stored_heartbeat = Some(heartbeat),
            RunsEvent::Deregistered { target } => self.on_deregistered(&target, &mut out),
            RunsEvent::Tick => {}
        }
        self.end_expired_runs(now, &mut out);
        self.send_poll_if_due(now, &mut out);
        out
    }

    /// Whether all runs of earlier incarnations of the agent have certainly ended.
    #[must_use]
    pub const fn is_taken_over(&self) -> bool {
        self.taken_over
    }

    /// Number of tasks that are running or may be running on the target.
    #[must_use]
    pub fn tracked_runs(&self) -> usize {
        self.names_by_task.len()
    }

    /// Handles a list of runs by another incarnation, which has lost the runs and the fencing token of the previous
    /// one.
    fn on_new_incarnation(
        &mut self,
        now: Moment,
        current: Option<TargetIncarnation>,
        out: &mut Vec<RunsAction>,
    ) {
        self.forget_incarnation(now, current, out);
        self.report_crash(out);
        self.end_or_recheck_runs(now, out);
        // Without the time of the new incarnation no start can carry a lease end; it refuses such a start.
        self.send_goodbye(out);
    }

    /// Handles the refusal of an id under which the target has answered before. Another incarnation is there, but only
    /// its list shows which runs have ended.
    fn on_replaced(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        self.forget_incarnation(now, None, out);
        self.recheck_runs();
        self.send_goodbye(out);
    }

    fn forget_incarnation(
        &mut self,
        now: Moment,
        current: Option<TargetIncarnation>,
        out: &mut Vec<RunsAction>,
    ) {
        out.push(RunsAction::TargetRestarted {
            previous: self.incarnation,
            current,
            tracked_runs: self.tracked.len(),
        });
        self.last_end_sequence = 0;
        self.target_clock = None;
        self.previous_incarnation = self.incarnation.or(self.previous_incarnation);
        self.set_incarnation(now, current);
        // A lease end on the clock of the previous incarnation is so late on the new one's that the target
        // shortens the lease to the longest that it grants.
        let until = longest_lease_end(&self.options, now);
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    fn set_incarnation(&mut self, now: Moment, current: Option<TargetIncarnation>) {
        self.incarnation = current;
        self.incarnation_since = now;
    }

    fn send_goodbye(&mut self, out: &mut Vec<RunsAction>) {
        if std::mem::take(&mut self.is_announced) {
            out.push(RunsAction::Goodbye);
        }
    }

    /// Ends all runs once their lease has certainly expired.
    fn end_expired_runs(&mut self, now: Moment, out: &mut Vec<RunsAction>) {
        let crash_at = self.presumed_crash_at();
        if now < crash_at.map_or(self.lease_expires_at, |at| at.max(self.lease_expires_at)) {
            return;
        }
        if !self.taken_over {
            // The leases of earlier runs have expired even though the target was never reached.
            self.complete_takeover(TakeoverEvidence::LeaseOver, out);
        }
        if crash_at.is_some() {
            self.report_crash(out);
        } else {
            let active = self.active_attempts(None);
            self.expired_tasks.extend(active);
        }
        self.interrupt_all(now, "its lease has lapsed", out);
    }

    /// When a target at whose address no process listens counts as crashed: after the time of a whole lease, so that
    /// a listener that fails for a moment accuses no task, and targets that crash together are reported together.
    fn presumed_crash_at(&self) -> Option<Moment> {
        let lease_ms = lease::with_clock_drift(self.options.run_lease_ms) + self.options.stop_ms;
        let since = self.not_listening_since?;
        Some(since + lease_ms)
    }

    /// Attempts that may have runs on the target which were requested up to a time.
    fn active_attempts(&self, until: Option<Moment>) -> Vec<CrashedAttempt> {
        let attempt = |(task, name): (&TaskRef, &Arc<str>)| {
            let tracked = self.tracked.get(name)?;
            let may_have_run = until.is_none_or(|until| tracked.started_at <= until);
            may_have_run.then(|| CrashedAttempt {
                task: task.clone(),
                is_confirmed: matches!(tracked.phase, active::Phase::Running { .. }),
            })
        };
        self.names_by_task.iter().filter_map(attempt).collect()
    }

    /// Reports an unplanned exit or restart of the target with all runs that may have been active on it.
    fn report_crash(&mut self, out: &mut Vec<RunsAction>) {
        let mut tasks = std::mem::take(&mut self.expired_tasks);
        if std::mem::take(&mut self.is_exit_planned) {
            self.is_exit_accounted = true;
            return;
        }
        // A start that was sent after the target had gone is refused.
        tasks.extend(self.active_attempts(self.not_listening_since));
        // Also a crash of an idle target shows that others crashed with it for another cause than their tasks.
        let is_new = self.incarnation.is_some() && !self.is_exit_accounted;
        if is_new || !tasks.is_empty() {
            self.is_exit_accounted = true;
            out.push(RunsAction::TargetCrashed(tasks));
        }
    }

    fn complete_takeover(&mut self, evidence: TakeoverEvidence, out: &mut Vec<RunsAction>) {
        self.taken_over = true;
        out.push(RunsAction::TakenOver {
            token: self.token,
            stopped_runs: self.orphans_stopped,
            evidence,
        });
    }
}
