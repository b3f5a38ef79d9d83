//! Eviction from a full queue, at the expense of the group that is furthest over its share.

use dfs_ids::GroupId;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::Entry;
use super::EntryAction;
use super::Submission;

impl Entry {
    /// Fails queued submissions while the queue is too full for the new one and another group has used
    /// more of its share than that of the new one. Only submissions of which no task may have run are
    /// failed, those that would be placed last first.
    pub(super) fn evict_for(&mut self, submission: &Submission, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        if config.group(&submission.group).is_none() {
            return;
        }
        let added = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let max_queued = config.rules.admission.max_queued_tasks;
        while added <= max_queued && self.queue.task_count() > max_queued - added {
            let Some(evicted) = self.eviction_candidate(&submission.group) else {
                return;
            };
            let message = "the queue is full and its group is furthest over its share: try later";
            let reason = FailureReason::Overloaded;
            self.fail(&evicted, reason, message.to_owned(), Vec::new(), out);
        }
    }

    /// The submission to evict next: one of the group that has used most of its share, if that is more
    /// than `group` has used.
    fn eviction_candidate(&self, group: &GroupId) -> Option<SubmissionId> {
        let own_used = self.shares.normalized_usage(group);
        let mut lanes: Vec<_> = self
            .queue
            .lanes()
            .map(|lane| (self.shares.normalized_usage(&lane.group), lane))
            .filter(|(used, lane)| *used > own_used && lane.group != *group)
            .collect();
        lanes.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut last_first = lanes
            .into_iter()
            .flat_map(|(_, lane)| self.queue.iter_rev(lane));
        last_first.find(|id| self.is_certainly_not_run(id)).cloned()
    }

    fn is_certainly_not_run(&self, submission: &SubmissionId) -> bool {
        self.jobs
            .get(submission)
            .is_some_and(|job| job.may_have_run().is_empty())
    }
}
