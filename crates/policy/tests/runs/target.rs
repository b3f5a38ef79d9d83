//! Model of a target that enforces fencing tokens and leases.
//!
//! The caller decides which answers are lost and which requests are executed late; the users' platform allows
//! both.

use std::collections::BTreeMap;
use std::sync::Arc;

use dfs_policy::runs::ActiveRun;
use dfs_policy::runs::EndedRun;
use dfs_policy::runs::FencingToken;
use dfs_policy::runs::PollOutcome;
use dfs_policy::runs::PollRequest;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RequestOutcome;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::RunOutcome;
use dfs_policy::runs::RunSnapshot;
use dfs_policy::runs::StartRequest;
use dfs_policy::runs::StopRequest;
use dfs_policy::runs::TargetIncarnation;
use dfs_policy::runs::TargetTime;

use super::bench::MAX_LEASE_MS;

const RUN_DURATION_MS: u64 = 120;
/// Largest number of ends in one answer.
const MAX_ENDS_PER_ANSWER: usize = 2;

/// State of the target; each call passes the current time.
#[derive(Default)]
pub struct Target {
    restart_count: u64,
    /// When the present incarnation started; its clock begins at 0 then.
    started_ms: u64,
    token: FencingToken,
    /// End of the lease that all runs share.
    lease_end_ms: u64,
    running: BTreeMap<Arc<str>, (RunNumber, u64)>,
    /// Highest run number that was stopped or has ended, by task name.
    barred_runs: BTreeMap<Arc<str>, RunNumber>,
    ended: Vec<EndedRun>,
    /// All runs that were started, with their start times.
    pub starts: Vec<(Arc<str>, RunNumber, u64)>,
}

impl Target {
    pub const fn incarnation(&self) -> u64 {
        self.restart_count + 1
    }

    /// Starts anew under the same id, without any memory of runs, ends and tokens.
    pub fn restart(&mut self, now_ms: u64) {
        *self = Self {
            restart_count: self.restart_count + 1,
            started_ms: now_ms,
            starts: std::mem::take(&mut self.starts),
            ..Self::default()
        };
    }

    const fn clock(&self, now_ms: u64) -> TargetTime {
        TargetTime(now_ms - self.started_ms)
    }

    fn extend_lease(&mut self, now_ms: u64, until: TargetTime) {
        let clock_ms = self.clock(now_ms).0;
        let length_ms = until.0.saturating_sub(clock_ms).min(MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(now_ms + length_ms);
    }

    pub fn tick(&mut self, now_ms: u64) {
        if now_ms >= self.lease_end_ms {
            let names: Vec<_> = self.running.keys().cloned().collect();
            for name in names {
                self.end(&name, RunOutcome::Interrupted("lapsed".to_owned()));
            }
        }
        let is_done =
            |(_, (_, since)): &(&Arc<str>, &(RunNumber, u64))| now_ms >= since + RUN_DURATION_MS;
        let done: Vec<_> = self
            .running
            .iter()
            .filter(is_done)
            .map(|(n, _)| n.clone())
            .collect();
        for name in done {
            self.end(&name, RunOutcome::Done);
        }
    }

    fn end(&mut self, name: &Arc<str>, outcome: RunOutcome) {
        let Some((run, _)) = self.running.remove(name) else {
            return;
        };
        let barred = self.barred_runs.entry(name.clone()).or_insert(run);
        *barred = (*barred).max(run);
        self.ended.push(EndedRun {
            sequence: self.ended.len() as u64 + 1,
            name: name.clone(),
            run,
            outcome,
        });
    }

    const fn refuse(&self, refusal: Refusal, now_ms: u64) -> RequestOutcome {
        RequestOutcome::Refused {
            refusal,
            clock: Some(self.clock(now_ms)),
        }
    }

    pub fn start(&mut self, now_ms: u64, request: &StartRequest) -> RequestOutcome {
        self.tick(now_ms);
        if request.token < self.token {
            return self.refuse(Refusal::Fenced, now_ms);
        }
        self.token = request.token;
        let name = &request.spec.name;
        if let Some((run, _)) = self.running.get(name) {
            return if *run == request.run {
                let clock = Some(self.clock(now_ms));
                RequestOutcome::Done { clock }
            } else {
                self.refuse(Refusal::NoCapacity, now_ms)
            };
        }
        if self
            .barred_runs
            .get(name)
            .is_some_and(|barred| request.run <= *barred)
        {
            return self.refuse(Refusal::StaleRun, now_ms);
        }
        if request.lease_until <= self.clock(now_ms) {
            return self.refuse(Refusal::LeaseExpired, now_ms);
        }
        self.extend_lease(now_ms, request.lease_until);
        self.running.insert(name.clone(), (request.run, now_ms));
        self.starts.push((name.clone(), request.run, now_ms));
        let clock = Some(self.clock(now_ms));
        RequestOutcome::Done { clock }
    }

    pub fn stop(&mut self, now_ms: u64, request: &StopRequest) {
        self.tick(now_ms);
        if request.token < self.token {
            return;
        }
        self.token = request.token;
        let is_run = |(run, _): &(RunNumber, u64)| *run <= request.run;
        if self.running.get(&request.name).is_some_and(is_run) {
            self.end(&request.name, RunOutcome::Interrupted("stopped".to_owned()));
        }
        let barred = self
            .barred_runs
            .entry(request.name.clone())
            .or_insert(request.run);
        *barred = (*barred).max(request.run);
    }

    pub fn poll(&mut self, now_ms: u64, poll: &PollRequest) -> PollOutcome {
        self.tick(now_ms);
        if poll.token < self.token {
            return PollOutcome::Fenced;
        }
        self.token = poll.token;
        if let Some(until) = poll.lease_until {
            self.extend_lease(now_ms, until);
        }
        let running = self.running.iter();
        let unseen = |ended: &&EndedRun| ended.sequence > poll.last_acked_end;
        let ended = self.ended.iter().filter(unseen);
        let ended: Vec<_> = ended.take(MAX_ENDS_PER_ANSWER).cloned().collect();
        PollOutcome::Runs(RunSnapshot {
            clock: self.clock(now_ms),
            incarnation: Some(TargetIncarnation(self.incarnation())),
            running: running
                .map(|(name, (run, _))| ActiveRun {
                    name: name.clone(),
                    run: *run,
                    percent: 0,
                })
                .collect(),
            is_complete: ended.len() < MAX_ENDS_PER_ANSWER,
            ended,
        })
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }
}
