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

const RUN_DURATION_MS: u64 = 120;
/// Largest number of ends in one answer.
const MAX_ENDS_PER_ANSWER: usize = 2;

/// State of the target; each call passes the current time.
#[derive(Default)]
pub struct Target {
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

    fn refuse(refusal: Refusal, now_ms: u64) -> RequestOutcome {
        RequestOutcome::Refused {
            refusal,
            clock: Some(TargetTime(now_ms)),
        }
    }

    pub fn start(&mut self, now_ms: u64, request: &StartRequest) -> RequestOutcome {
        self.tick(now_ms);
        if request.token < self.token {
            return Self::refuse(Refusal::Fenced, now_ms);
        }
        self.token = request.token;
        let name = &request.spec.name;
        if let Some((run, _)) = self.running.get(name) {
            return if *run == request.run {
                let clock = Some(TargetTime(now_ms));
                RequestOutcome::Done { clock }
            } else {
                Self::refuse(Refusal::NoCapacity, now_ms)
            };
        }
        if self
            .barred_runs
            .get(name)
            .is_some_and(|barred| request.run <= *barred)
        {
            return Self::refuse(Refusal::StaleRun, now_ms);
        }
        if request.lease_until.0 <= now_ms {
            return Self::refuse(Refusal::LeaseExpired, now_ms);
        }
        self.lease_end_ms = self.lease_end_ms.max(request.lease_until.0);
        self.running.insert(name.clone(), (request.run, now_ms));
        self.starts.push((name.clone(), request.run, now_ms));
        let clock = Some(TargetTime(now_ms));
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
            self.lease_end_ms = self.lease_end_ms.max(until.0);
        }
        let running = self.running.iter();
        let unseen = |ended: &&EndedRun| ended.sequence > poll.last_acked_end;
        let ended = self.ended.iter().filter(unseen);
        let ended: Vec<_> = ended.take(MAX_ENDS_PER_ANSWER).cloned().collect();
        PollOutcome::Runs(RunSnapshot {
            clock: TargetTime(now_ms),
            incarnation: Some(TargetIncarnation(1)),
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
