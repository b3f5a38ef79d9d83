//! Queued submissions whose time is running out.

use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::Job;
use super::job::millis;
use crate::order::rank;

impl Entry {
    /// Refuses at once submissions that can't be answered while that is of use to their callers, and puts
    /// late ones behind the others.
    pub(super) fn review_queue(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        self.refuse_useless(now, out);
        let lanes: Vec<_> = self.queue.lanes().cloned().collect();
        for lane in lanes {
            while let Some(name) = self.queue.first(&lane).cloned()
                && self.becomes_late(now, &name)
            {
                self.demote(now, &name, out);
            }
        }
    }

    /// Refuses submissions wherever they are queued. One of which something may have run is looked at
    /// again when a task of it comes back.
    fn refuse_useless(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        while let Some((latest_start, name)) = self.latest_starts.first().cloned()
            && latest_start < now
        {
            self.latest_starts.pop_first();
            if self.jobs.get(&name).is_some_and(Job::has_not_run) {
                let message = "no room came free in time to run it: try later";
                let reason = FailureReason::DeadlineUnreachable;
                self.fail(&name, reason, message.to_owned(), Vec::new(), out);
            }
        }
    }

    /// Whether a submission can no longer be answered when it is due. One that has begun keeps its place
    /// while its answer is of use, so that what has run is not thrown away.
    fn becomes_late(&self, now: Moment, name: &SubmissionId) -> bool {
        let Some(job) = self.jobs.get(name).filter(|job| !job.is_late) else {
            return false;
        };
        let run_ms = millis(job.expected_run_us(self.totals.mean_run_us()));
        let is_overdue = job.due.is_some_and(|due| now + run_ms > due);
        is_overdue && (job.has_not_run() || job.latest_start < now)
    }

    fn demote(&mut self, now: Moment, name: &SubmissionId, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        self.queue.take(&job.lane(), name);
        job.is_late = true;
        out.push(EntryAction::Observe(Observation::ObjectiveUnreachable {
            submission: name.clone(),
            age_ms: now.since(job.submitted_at),
        }));
        let rank = rank(&config.rules.placement, job.submitted_at, job.left);
        self.queue.put(job.lane(), name, rank);
    }
}
