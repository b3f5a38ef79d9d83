//! Making room in a full queue at the cost of the group furthest over its share.

use dfs_ids::GroupId;
use dfs_ids::SubmissionId;
use dfs_wire::api::FailureReason;

use super::Entry;
use super::EntryAction;
use super::Submission;

impl Entry {
    /// Fails queued submissions of which nothing was placed, the last in order first, while the
    /// queue is too full for the new one and a group has used more of its share.
    pub(super) fn make_room(&mut self, submission: &Submission, out: &mut Vec<EntryAction>) {
        let Some(config) = self.config.clone() else {
            return;
        };
        if config.group(&submission.group).is_none() {
            return;
        }
        let added = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let most = config.rules.admission.max_queued_tasks;
        while added <= most && self.queue.tasks() > most - added {
            let Some(evicted) = self.furthest_over(&submission.group) else {
                return;
            };
            let message = "the queue is full and its group is furthest over its share: try later";
            let reason = FailureReason::Overloaded;
            self.fail(&evicted, reason, message.to_owned(), Vec::new(), out);
        }
    }

    /// A submission of the group that has used most of its share, if that is more than `group` has.
    fn furthest_over(&self, group: &GroupId) -> Option<SubmissionId> {
        let limit = self.shares.normalized_usage(group);
        let mut lanes: Vec<_> = self
            .queue
            .lanes()
            .map(|lane| (self.shares.normalized_usage(&lane.group), lane))
            .filter(|(used, lane)| *used > limit && lane.group != *group)
            .collect();
        lanes.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let mut last_first = lanes
            .into_iter()
            .flat_map(|(_, lane)| self.queue.last_first(lane));
        last_first.find(|name| self.is_unplaced(name)).cloned()
    }

    fn is_unplaced(&self, submission: &SubmissionId) -> bool {
        self.jobs
            .get(submission)
            .is_some_and(|job| job.may_have_run().is_empty())
    }
}
