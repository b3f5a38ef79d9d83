//! Queued submissions whose time is running out.

use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::Entry;
use super::EntryAction;
use super::Observation;
use super::job::Job;
use super::job::millis;
use crate::order::rank;

/// What becomes of the first submission of a lane.
enum Verdict {
    /// It can be answered in time.
    Keep,
    /// It goes behind all that can be answered in time.
    Demote,
    /// It can't be answered while that is of use to its caller; nothing of it has run.
    Refuse,
}

impl Entry {
    /// Puts submissions that are late behind the others, and refuses at once those that certainly
    /// can't be answered any more.
    pub(super) fn review_queue(&mut self, now: Moment, out: &mut Vec<EntryAction>) {
        let lanes: Vec<_> = self.queue.lanes().cloned().collect();
        for lane in lanes {
            while let Some(name) = self.queue.first(&lane).cloned() {
                let Some(job) = self.jobs.get(&name) else {
                    break;
                };
                match self.verdict(now, job) {
                    Verdict::Keep => break,
                    Verdict::Demote => self.demote(now, &name, out),
                    Verdict::Refuse => {
                        let message = "no room came free in time to run it: try later";
                        let reason = FailureReason::DeadlineUnreachable;
                        self.fail(&name, reason, message.to_owned(), Vec::new(), out);
                    }
                }
            }
        }
    }

    fn verdict(&self, now: Moment, job: &Job) -> Verdict {
        let run_ms = millis(job.expected_run_us(self.totals.mean_run_us()));
        let earliest_end = now + run_ms;
        let is_declared = job.terms.declared_ms > Millis::default();
        let is_hopeless = earliest_end > job.give_up_at.min(job.deadline);
        if is_declared && is_hopeless && job.may_have_run().is_empty() {
            return Verdict::Refuse;
        }
        match job.due {
            Some(due) if !job.is_late && earliest_end > due => Verdict::Demote,
            _ => Verdict::Keep,
        }
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
        out.push(EntryAction::Observe(Observation::Late {
            submission: name.clone(),
            age_ms: now.since(job.submitted_at),
        }));
        let rank = rank(&config.rules.placement, job.submitted_at, job.left);
        self.queue.put(job.lane(), name, rank);
    }
}
