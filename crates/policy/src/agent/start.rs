//! Accepting, withdrawing, starting and ending tasks.

use std::collections::btree_map::Entry;

use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::GivenUpTask;
use dfs_wire::session::IfFull;
use dfs_wire::session::NotRun;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Placement;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use dfs_wire::session::Terms;
use dfs_wire::target::Resources;

use super::Agent;
use super::AgentAction;
use super::Observation;
use super::RunEnd;
use super::queue::Lane;
use super::record::Stage;
use super::record::TaskRecord;
use crate::order::rank;
use crate::placement::to_permille;

/// Limit on the queue length, far above the sum of the windows of all entries.
const MAX_QUEUED_TASKS: u32 = 65_536;
const MICROS_PER_MILLI: u64 = 1_000;

impl Agent {
    pub(super) fn accept(&mut self, now: Moment, entry: Incarnation, placement: Placement) {
        let refusal = self.refusal_reason(&placement);
        let rank = rank(
            &self.rules,
            now - placement.age_ms,
            placement.unfinished_tasks,
        );
        let (if_full, terms) = (placement.if_full, placement.terms);
        for placed in placement.tasks {
            let task = TaskRef {
                submission: placement.submission.clone(),
                task: placed.task,
                attempt: placed.attempt,
            };
            if let Some(given_up) = self.given_up(&task, &placement.origin).cloned() {
                self.report_given_up(entry, task, given_up);
                continue;
            }
            if let Some(reason) = refusal.or_else(|| self.busy_reason(if_full, &terms.demand)) {
                self.report_not_run(entry, task, reason);
                continue;
            }
            let Entry::Vacant(slot) = self.records.entry(task.clone()) else {
                continue;
            };
            let record = slot.insert(TaskRecord {
                entry,
                group: placement.group.clone(),
                service: placement.service.clone(),
                origin: placement.origin.clone(),
                accepted_at: now,
                start_by: now + placement.time_left_ms,
                rank,
                terms: terms.clone(),
                stage: Stage::Queued { body: placed.body },
                is_result_wanted: true,
            });
            self.queue.insert(&task, record);
            self.shares.activate(&placement.group);
        }
    }

    /// Whether the target has the label that a task requires.
    fn has_label(&self, terms: &Terms) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.announcement.offer.has_label(terms.label.as_ref()))
    }

    fn busy_reason(&self, if_full: IfFull, demand: &Resources) -> Option<NotRunReason> {
        let total = self.queue.demand().saturating_add(demand);
        let has_room = self.has_room(self.queued(), &total);
        (!has_room && if_full == IfFull::HandBack).then_some(NotRunReason::Busy)
    }

    /// Whether the target has room for another task beside the running ones and `ahead` queued ones.
    /// `demand` is the total demand of the queued ones and the new one.
    fn has_room(&self, ahead: u32, demand: &Resources) -> bool {
        let Some(target) = &self.target else {
            return false;
        };
        let capacity = &target.announcement.offer.resources;
        let has_slot = self.occupied_slots() + ahead < self.slot_count();
        has_slot
            && (*demand == Resources::default()
                || capacity.covers(&self.used_resources.saturating_add(demand)))
    }

    fn refusal_reason(&self, placement: &Placement) -> Option<NotRunReason> {
        let Some(target) = &self.target else {
            return Some(NotRunReason::Leaving);
        };
        if self.is_shutting_down || self.is_evacuated() {
            return Some(NotRunReason::Leaving);
        }
        if !target
            .announcement
            .offer
            .services
            .contains(&placement.service)
        {
            return Some(NotRunReason::NotOffered);
        }
        if !self.has_label(&placement.terms) {
            // The target that the entry has chosen was replaced by this one.
            return Some(NotRunReason::Leaving);
        }
        (self.queued() >= MAX_QUEUED_TASKS).then_some(NotRunReason::QueueFull)
    }

    /// Hands back queued tasks and stops repeatable runs.
    pub(super) fn withdraw(
        &mut self,
        entry: Incarnation,
        tasks: &[TaskRef],
        out: &mut Vec<AgentAction>,
    ) {
        for task in tasks {
            let Some(record) = self.records.get(task).filter(|r| r.entry == entry) else {
                continue;
            };
            if matches!(record.stage, Stage::Queued { .. }) {
                self.hand_back(task, NotRunReason::Withdrawn);
            } else {
                self.stop_run(task, "result no longer needed by the entry", out);
            }
        }
    }

    /// Stops a run if its task is repeatable; returns whether a stop was newly requested.
    pub(super) fn stop_run(
        &mut self,
        task: &TaskRef,
        cause: &'static str,
        out: &mut Vec<AgentAction>,
    ) -> bool {
        let Some(record) = self.records.get_mut(task) else {
            return false;
        };
        let Stage::Running { is_stopping, .. } = &mut record.stage else {
            return false;
        };
        if !record.terms.repeatable || std::mem::replace(is_stopping, true) {
            return false;
        }
        out.push(AgentAction::StopRun { task: task.clone() });
        let task = task.clone();
        out.push(AgentAction::Observe(Observation::RunStopRequested {
            task,
            cause,
        }));
        true
    }

    /// Hands all queued tasks back to their entries.
    pub(super) fn hand_back_queued(&mut self) {
        let tasks: Vec<_> = self.queue.tasks().cloned().collect();
        for task in tasks {
            self.hand_back(&task, NotRunReason::Leaving);
        }
    }

    /// Hands back queued tasks that the target can't run any more, however few others run there: its services or
    /// labels have changed or its capacity has shrunk since they were accepted.
    pub(super) fn hand_back_unsuitable(&mut self) {
        let Some(target) = &self.target else { return };
        let offer = &target.announcement.offer;
        let reason = |record: &TaskRecord| {
            let terms = &record.terms;
            if !offer.services.contains(&record.service) || !offer.has_label(terms.label.as_ref()) {
                return Some(NotRunReason::Leaving);
            }
            let fits =
                terms.demand == Resources::default() || offer.resources.covers(&terms.demand);
            (!fits).then_some(NotRunReason::Busy)
        };
        let unsuitable = self.queue.tasks().filter_map(|task| {
            let record = self.records.get(task)?;
            Some((task.clone(), reason(record)?))
        });
        let unsuitable: Vec<_> = unsuitable.collect();
        for (task, reason) in unsuitable {
            self.hand_back(&task, reason);
        }
    }

    pub(super) fn hand_back(&mut self, task: &TaskRef, reason: NotRunReason) {
        let Some(record) = self.records.remove(task) else {
            return;
        };
        if self.queue.remove(task, &record) {
            self.shares.deactivate(&record.group);
        }
        match self.given_up(task, &record.origin).cloned() {
            Some(given_up) => self.report_given_up(record.entry, task.clone(), given_up),
            None => self.report_not_run(record.entry, task.clone(), reason),
        }
    }

    fn report_given_up(&mut self, entry: Incarnation, task: TaskRef, given_up: GivenUpTask) {
        if let Some(view) = self.entries.get_mut(&entry) {
            view.pending_given_up.push(given_up);
        }
        self.report_not_run(entry, task, NotRunReason::GivenUp);
    }

    /// Reports that a task did not run and never will. Nothing is stored for an entry without a session: a
    /// task that is missing from the held tasks of the next session counts as not run, too.
    fn report_not_run(&mut self, entry: Incarnation, task: TaskRef, reason: NotRunReason) {
        self.observations.push(Observation::TaskHandedBack {
            task: task.clone(),
            reason,
            load_permille: to_permille(self.load()),
        });
        if let Some(view) = self
            .entries
            .get_mut(&entry)
            .filter(|v| v.connection.is_some())
        {
            // The entry takes the target for leaving; a target that has stayed or returned must be named again.
            view.is_target_state_pending |= reason == NotRunReason::Leaving;
            view.pending_not_run.push(NotRun { task, reason });
        }
    }

    pub(super) fn start_ready(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        self.expire_queued(now);
        while self.queued() > 0 {
            let Some(task) = self.next_task(now) else {
                return;
            };
            if !self.may_start_by_freshness(now) {
                return;
            }
            self.start(now, &task, out);
        }
    }

    fn expire_queued(&mut self, now: Moment) {
        for task in self.queue.expired(now) {
            self.hand_back(&task, NotRunReason::Expired);
        }
    }

    /// Selects the next task by lowest priority number, then lowest usage of the group relative to its share,
    /// then lowest rank. A task for which there is no room does not block smaller ones.
    ///
    /// Suspects run one at a time, so that a further crash shows which of them caused it.
    fn next_task(&self, now: Moment) -> Option<TaskRef> {
        let may_start = |task: &&TaskRef| {
            let Some(record) = self.records.get(*task) else {
                return false;
            };
            let view = self.entries.get(&record.entry);
            view.is_some_and(|view| view.may_start(now))
                && (self.running_suspects == 0 || !record.is_suspect())
                && self.has_room(0, &record.terms.demand)
        };
        let sort_key = |lane: &Lane| (lane.priority, self.shares.normalized_usage(&lane.group));
        let candidates = self
            .queue
            .lanes()
            .filter_map(|(lane, mut tasks)| Some((sort_key(lane), tasks.find(may_start)?)));
        let next = candidates.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        next.map(|(_, task)| task.clone())
    }

    fn start(&mut self, now: Moment, task: &TaskRef, out: &mut Vec<AgentAction>) {
        let Some(target) = &self.target else { return };
        let Some(record) = self.records.get_mut(task) else {
            return;
        };
        let address = target.announcement.address;
        let running = Stage::Running {
            started_at: now,
            address,
            is_stopping: false,
            progress: None,
        };
        let Stage::Queued { body } = std::mem::replace(&mut record.stage, running) else {
            return;
        };
        if self.queue.remove(task, record) {
            self.shares.deactivate(&record.group);
        }
        self.running_tasks += 1;
        self.running_suspects += u32::from(record.is_suspect());
        self.used_resources = self.used_resources.saturating_add(&record.terms.demand);
        let wait_ms = now.since(record.accepted_at);
        out.push(AgentAction::StartRun {
            task: task.clone(),
            group: record.group.clone(),
            service: record.service.clone(),
            declared_ms: record.terms.declared_ms,
            label: record.terms.label.clone(),
            address,
            time_left_ms: record.start_by.since(now),
            body,
        });
        out.push(AgentAction::Observe(Observation::RunStarted {
            task: task.clone(),
            wait_ms,
            load_permille: to_permille(self.load()),
        }));
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: Moment,
        task: &TaskRef,
        run_us: u64,
        end: RunEnd,
        out: &mut Vec<AgentAction>,
    ) {
        if matches!(&end, RunEnd::Finished(TaskOutcome::Done(_))) {
            self.record_ended_run(now, task, run_us);
        }
        let Some(record) = self.records.get_mut(task) else {
            return;
        };
        let Stage::Running {
            started_at,
            address,
            ..
        } = record.stage
        else {
            return;
        };
        out.push(AgentAction::Observe(Observation::RunEnded {
            task: task.clone(),
            outcome: end.to_string(),
            run_us,
        }));
        self.running_tasks -= 1;
        self.running_suspects -= u32::from(record.is_suspect());
        if self.latest_target_address == Some(address) {
            self.used_resources = self.used_resources.saturating_sub(&record.terms.demand);
        } else {
            self.running_on_former_targets -= 1;
        }
        let group = record.group.clone();
        #[expect(
            clippy::cast_precision_loss,
            reason = "run times stay far below 2^52 µs"
        )]
        self.shares.charge(&group, run_us as f64);
        if matches!(&end, RunEnd::Finished(TaskOutcome::Unknown(_))) {
            let duration_ms = Millis::new(run_us / MICROS_PER_MILLI);
            self.crashes.keep_ended(task, record, duration_ms);
        }
        if !record.is_result_wanted || !self.entries.contains_key(&record.entry) {
            self.records.remove(task);
            return;
        }
        match end {
            RunEnd::NotStarted(reason) => {
                let entry = record.entry;
                self.records.remove(task);
                self.report_not_run(entry, task.clone(), reason);
            }
            RunEnd::Finished(outcome) => {
                let wait_us = started_at.micros_since(record.accepted_at);
                let result = TaskResult {
                    task: task.clone(),
                    wait_us,
                    run_us,
                    outcome,
                };
                let entry = record.entry;
                record.stage = Stage::Finished { result };
                if let Some(view) = self.entries.get_mut(&entry) {
                    view.unsent_results.insert(task.clone());
                }
            }
        }
    }
}
