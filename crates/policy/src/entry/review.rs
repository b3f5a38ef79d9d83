//! Review of queued submissions: refuses those that can't be answered in time and demotes those that
//! will miss their latency objective.

use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::admit::Needs;
use super::job::Job;
use super::job::millis_from_micros;
use crate::order::rank;

impl Entry {
    /// Refuses submissions whose answer would come too late to be of use to the caller, and moves those
    /// that will miss their objective behind the others.
    pub(super) fn review_queue(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        self.refuse_unreachable(now, out);
        if !self.is_starting(now) {
            self.refuse_without_target(out);
            self.refuse_evacuated(out);
        }
        let lanes: Vec<_> = self.queue.lanes().cloned().collect();
        for lane in lanes {
            while let Some(id) = self.queue.first(&lane).cloned()
                && self.will_miss_objective(now, &id)
            {
                self.demote(now, &id, out);
            }
        }
    }

    /// Refuses submissions whose latest start has passed, at any position in the queue. Those of which a
    /// task may have run are skipped and checked again when one of their tasks is requeued.
    fn refuse_unreachable(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        while let Some((latest_start, id)) = self.latest_starts.first().cloned()
            && latest_start < now
        {
            self.latest_starts.pop_first();
            if self.jobs.get(&id).is_some_and(Job::has_not_run) {
                let message = "no room came free in time to run it: try later";
                let reason = FailureReason::DeadlineUnreachable;
                self.fail(&id, reason, message.to_owned(), Vec::new(), out);
            }
        }
    }

    /// Refuses the submissions that were queued while the entry was starting and that no target can run which has
    /// become known since.
    fn refuse_without_target(&mut self, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        for id in std::mem::take(&mut self.queued_at_start) {
            let Some(job) = self.jobs.get(&id).filter(|job| job.has_not_run()) else {
                continue;
            };
            let needs = Needs::of_job(job);
            if !self.has_live_target(&config, &needs) {
                let message = self.no_live_target(&needs);
                self.fail(&id, FailureReason::NoTarget, message, Vec::new(), out);
            }
        }
    }

    /// Whether a submission that is not demoted yet can no longer meet its objective. One that has begun to
    /// run is spared until its latest start, so that completed work is not wasted.
    fn will_miss_objective(&self, now: Moment, id: &SubmissionId) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_demoted) else {
            return false;
        };
        let run_ms = millis_from_micros(job.shortest_run_us(self.totals.mean_run_us()));
        let misses_objective = job
            .objective_at
            .is_some_and(|objective_at| now + run_ms > objective_at);
        misses_objective && (job.has_not_run() || job.latest_start < now)
    }

    fn demote(&mut self, now: Moment, id: &SubmissionId, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.queue.remove(&job.lane(), id);
        job.is_demoted = true;
        out.push(EntryAction::Observe(Observation::ObjectiveUnreachable {
            submission: id.clone(),
            age_ms: now.since(job.submitted_at),
        }));
        let rank = rank(&config.rules.placement, job.submitted_at, job.unfinished);
        self.queue.insert(job.lane(), id, rank);
    }
}
