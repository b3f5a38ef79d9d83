//! Content and timing of the reports to entries.

use dfs_conf::HintMode;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::AgentItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::LoadHint;
use dfs_wire::session::Report;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use serde_json::value::RawValue;

use super::Agent;
use super::AgentAction;
use super::progress::NOMINAL_SLOWDOWN_PERMILLE;
use super::record::Stage;
use super::record::TaskRecord;
use super::view::EntryView;
use super::view::Phase;
use super::view::UnackedReport;
use crate::ConnectionId;
use crate::membership::hash_pair;
use crate::placement::to_permille;

impl Agent {
    pub(super) fn on_config_body(&mut self, connection: ConnectionId, body: Box<RawValue>) {
        let Some(incarnation) = self.entry_on_connection(connection) else {
            return;
        };
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.pending_config = Some(body);
        }
    }

    /// Whether a session has items that were not sent or not acknowledged, or messages of the entry that were
    /// not processed.
    pub(super) fn has_undelivered_items(&self) -> bool {
        let has_undelivered = |v: &EntryView| {
            v.is_target_state_pending
                || !v.pending_not_run.is_empty()
                || !v.unacked_reports.is_empty()
                || v.next_message_seq < v.sent_messages
        };
        self.entries
            .values()
            .filter(|view| view.connection.is_some())
            .any(has_undelivered)
    }

    pub(super) fn send_reports(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        let fullness_changed = self.update_was_full();
        let incarnations: Vec<_> = self.entries.keys().copied().collect();
        for incarnation in incarnations {
            let Some(connection) = self.entries[&incarnation].connection else {
                continue;
            };
            let items = match self.entries[&incarnation].phase {
                Phase::Reconciling if self.entries[&incarnation].next_report_seq == 0 => {
                    self.opening_items(now, incarnation)
                }
                Phase::Reconciling => continue,
                Phase::Established => match self.due_items(now, incarnation, fullness_changed) {
                    Some(items) => items,
                    None => continue,
                },
            };
            let report = self.report(now, incarnation, items);
            out.push(AgentAction::SendReport { connection, report });
        }
    }

    fn report(&mut self, now: Moment, incarnation: Incarnation, items: Vec<AgentItem>) -> Report {
        let view = self
            .entries
            .get_mut(&incarnation)
            .expect("send_reports passes only incarnations of existing entries");
        let seq = view.next_report_seq;
        view.next_report_seq += 1;
        view.last_sent_at = now;
        view.is_probe_pending = false;
        let results = items.iter().flat_map(result_tasks).collect();
        view.unacked_reports.insert(
            seq,
            UnackedReport {
                sent_at: now,
                results,
                last_crash: view.reported_crash,
            },
        );
        Report {
            session: view.session,
            seq,
            items,
        }
    }

    /// Items of the first report of a session: held tasks, target state, load and configuration version.
    fn opening_items(&mut self, now: Moment, incarnation: Incarnation) -> Vec<AgentItem> {
        let of_entry = |(_, record): &(&TaskRef, &TaskRecord)| record.entry == incarnation;
        let tasks = self
            .records
            .iter()
            .filter(of_entry)
            .map(|(task, _)| task.clone())
            .collect();
        let may_lack_records = self.entries[&incarnation].may_lack_records;
        let mut items = vec![AgentItem::Held(HeldTasks {
            tasks,
            may_lack_records,
        })];
        items.extend(self.take_changed_items(now, incarnation));
        items
    }

    /// Items of the next report, or `None` if no report is due.
    fn due_items(
        &mut self,
        now: Moment,
        incarnation: Incarnation,
        fullness_changed: bool,
    ) -> Option<Vec<AgentItem>> {
        let results = self.take_results(incarnation);
        let hint = self.load_hint();
        let is_renewal_due = self.is_renewal_due(now, incarnation);
        let view = self.entries.get_mut(&incarnation)?;
        let sent = &view.sent_hint;
        let is_hint_significant =
            hint.window != sent.window || hint.slowdown_permille != sent.slowdown_permille;
        let is_hint_due = match self.rules.hints {
            HintMode::OnResults => false,
            HintMode::OnEdge => fullness_changed,
            HintMode::OnChange => {
                let interval_ms = self.rules.hint_cadence_ms.max(view.min_hint_interval_ms);
                hint != view.sent_hint && now >= view.hint_sent_at + interval_ms
            }
        };
        // Other entries receive the version with the next report that is due for another reason.
        let is_source_version_due = view.is_version_pending && view.is_config_source;
        let has_changes = view.is_target_state_pending
            || is_source_version_due
            || view.pending_config.is_some()
            || self.evacuations.supersedes(&view.known_evacuations)
            || self.crashes.has_after(view.reported_crash);
        let has_replies =
            !results.is_empty() || !view.pending_not_run.is_empty() || view.is_probe_pending;
        if !(is_renewal_due || is_hint_significant || is_hint_due || has_changes || has_replies) {
            return None;
        }
        let mut items = self.take_changed_items(now, incarnation);
        if !results.is_empty() {
            items.push(AgentItem::Results(results));
        }
        if let Some(view) = self
            .entries
            .get_mut(&incarnation)
            .filter(|_| contains_load(&items))
        {
            view.hint_sent_at = now;
        }
        Some(items)
    }

    fn is_renewal_due(&self, now: Moment, incarnation: Incarnation) -> bool {
        let Some(view) = self.entries.get(&incarnation) else {
            return false;
        };
        let silent_ms = now.since(view.last_sent_at);
        if silent_ms >= self.idle_renew_ms(incarnation, view) {
            return true;
        }
        let mut records = self.records.values();
        silent_ms >= view.busy_renew_ms && records.any(|record| record.entry == incarnation)
    }

    /// A pseudorandom interval between half and all of the idle interval of the session. It differs for each
    /// report, so that agents that connected at the same time do not renew at the same time.
    fn idle_renew_ms(&self, incarnation: Incarnation, view: &EntryView) -> Millis {
        let longest_ms = view.idle_renew_ms.get();
        let shortest_ms = longest_ms / 2;
        let hash = hash_pair(&self.incarnation, &(incarnation, view.next_report_seq));
        Millis::new(shortest_ms + hash % (longest_ms - shortest_ms + 1))
    }

    /// Returns items for what has changed since the last report to the entry, and marks them as sent.
    fn take_changed_items(&mut self, now: Moment, incarnation: Incarnation) -> Vec<AgentItem> {
        let state = self.target_state();
        let hint = self.load_hint();
        let version = self.config_version;
        let mut items = Vec::new();
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return items;
        };
        if self.evacuations.supersedes(&view.known_evacuations) {
            view.known_evacuations = self.evacuations.clone();
            items.push(AgentItem::Evacuations(self.evacuations.clone()));
        }
        if std::mem::take(&mut view.is_target_state_pending) {
            items.push(AgentItem::Target(state));
        }
        if self.crashes.has_after(view.acked_crash) {
            items.push(AgentItem::Crashes(
                self.crashes.after(now, view.acked_crash),
            ));
            view.reported_crash = self.crashes.last_number();
        }
        if hint != view.sent_hint {
            view.sent_hint = hint;
            items.push(AgentItem::Load(hint));
        }
        if std::mem::take(&mut view.is_version_pending) {
            let source = view.is_config_source;
            items.push(AgentItem::Version(version.unwrap_or_default(), source));
        }
        items.extend(view.pending_config.take().map(AgentItem::Config));
        if !view.pending_given_up.is_empty() {
            let given_up = std::mem::take(&mut view.pending_given_up);
            items.push(AgentItem::GivenUp(given_up));
        }
        if !view.pending_not_run.is_empty() {
            items.push(AgentItem::NotRun(std::mem::take(&mut view.pending_not_run)));
        }
        items
    }

    fn take_results(&mut self, incarnation: Incarnation) -> Vec<TaskResult> {
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return Vec::new();
        };
        let unsent_results = std::mem::take(&mut view.unsent_results);
        let result = |task: &TaskRef| match &self.records.get(task)?.stage {
            Stage::Finished { result } => Some(result.clone()),
            Stage::Queued { .. } | Stage::Running { .. } => None,
        };
        unsent_results.iter().filter_map(result).collect()
    }

    /// Load of the target, and the window for each connected entry.
    fn load_hint(&self) -> LoadHint {
        let sessions = self
            .entries
            .values()
            .filter(|view| view.connection.is_some())
            .count();
        LoadHint {
            load_permille: to_permille(self.load()),
            slowdown_permille: self.slowdown_permille,
            is_typical_known: self.slowdown_permille > NOMINAL_SLOWDOWN_PERMILLE,
            window: window(self.slot_count(), self.rules.open_tasks_per_slot, sessions),
        }
    }

    /// Load that running and queued tasks put on the target: the largest fraction over all resources and
    /// slots.
    pub(super) fn load(&self) -> f64 {
        self.target.as_ref().map_or(0.0, |target| {
            let offer = &target.announcement.offer;
            let demand = self.used_resources.saturating_add(self.queue.demand());
            let tasks = f64::from(self.occupied_slots() + self.queued());
            let slot_load = tasks / f64::from(self.slot_count().max(1));
            demand.max_fraction_of(&offer.resources).max(slot_load)
        })
    }

    /// Stores whether all slots are occupied; returns whether this has changed since the last call.
    fn update_was_full(&mut self) -> bool {
        let is_full = self.occupied_slots() >= self.slot_count();
        std::mem::replace(&mut self.was_full, is_full) != is_full
    }
}

fn contains_load(items: &[AgentItem]) -> bool {
    items.iter().any(|item| matches!(item, AgentItem::Load(_)))
}

fn result_tasks(item: &AgentItem) -> Vec<TaskRef> {
    match item {
        AgentItem::Results(results) => results.iter().map(|result| result.task.clone()).collect(),
        _ => Vec::new(),
    }
}

/// Equal part of the open tasks that the agent allows, at least 1 unless there are no slots.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the checked rules keep the product small and positive"
)]
fn window(slots: u32, open_tasks_per_slot: f64, sessions: usize) -> u32 {
    if slots == 0 {
        return 0;
    }
    let total = (f64::from(slots) * open_tasks_per_slot).floor() as u32;
    let sessions = u32::try_from(sessions).unwrap_or(u32::MAX).max(1);
    (total / sessions).max(1)
}
