//! What entries are told, and when.

use dfs_conf::HintMode;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Held;
use dfs_wire::session::LoadHint;
use dfs_wire::session::Report;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TaskResult;
use serde_json::value::RawValue;

use super::Agent;
use super::AgentAction;
use super::record::Record;
use super::record::Stage;
use super::view::EntryView;
use super::view::InFlight;
use super::view::Phase;
use crate::ConnectionId;
use crate::membership::hash_pair;
use crate::placement::to_permille;

impl Agent {
    pub(super) fn on_config_body(&mut self, connection: ConnectionId, body: Box<RawValue>) {
        let Some(incarnation) = self.entry_of(connection) else {
            return;
        };
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.config_body = Some(body);
        }
    }

    /// Whether an entry with a session has not been told or has not acknowledged something, or has
    /// sent something that is not read.
    pub(super) fn owes_report(&self) -> bool {
        let owes = |v: &EntryView| {
            v.tell_target
                || !v.not_run.is_empty()
                || !v.in_flight.is_empty()
                || v.next_message < v.sent_messages
        };
        self.entries
            .values()
            .filter(|view| view.connection.is_some())
            .any(owes)
    }

    pub(super) fn send_reports(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        let edge = self.crossed_edge();
        let incarnations: Vec<_> = self.entries.keys().copied().collect();
        for incarnation in incarnations {
            let Some(connection) = self.entries[&incarnation].connection else {
                continue;
            };
            let items = match self.entries[&incarnation].phase {
                Phase::Fencing if self.entries[&incarnation].next_report == 0 => {
                    self.opening_items(incarnation)
                }
                Phase::Fencing => continue,
                Phase::Established => match self.due_items(now, incarnation, edge) {
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
            .expect("the caller has just seen the view");
        let seq = view.next_report;
        view.next_report += 1;
        view.last_sent_at = now;
        view.probed = false;
        let results = items.iter().flat_map(result_tasks).collect();
        view.in_flight.insert(
            seq,
            InFlight {
                sent_at: now,
                results,
            },
        );
        Report {
            session: view.session,
            seq,
            items,
        }
    }

    /// The list of held tasks, target, load and version.
    fn opening_items(&mut self, incarnation: Incarnation) -> Vec<AgentItem> {
        let of_entry = |(_, record): &(&TaskRef, &Record)| record.entry == incarnation;
        let tasks = self
            .records
            .iter()
            .filter(of_entry)
            .map(|(task, _)| task.clone())
            .collect();
        let forgotten = self.entries[&incarnation].forgotten;
        let mut items = vec![AgentItem::Held(Held { tasks, forgotten })];
        items.extend(self.changed_items(incarnation));
        items
    }

    /// The items of a report, or none if no report is due.
    fn due_items(
        &mut self,
        now: Moment,
        incarnation: Incarnation,
        edge: bool,
    ) -> Option<Vec<AgentItem>> {
        let results = self.take_results(incarnation);
        let hint = self.hint();
        let renewal_due = self.renewal_is_due(now, incarnation);
        let view = self.entries.get_mut(&incarnation)?;
        let told = &view.told_hint;
        let has_news = hint.window != told.window || hint.stretch_permille != told.stretch_permille;
        let hint_due = match self.rules.hints {
            HintMode::OnResults => false,
            HintMode::OnEdge => edge,
            HintMode::OnChange => {
                let cadence_ms = self.rules.hint_cadence_ms.max(view.hint_ms);
                hint != view.told_hint && now >= view.told_hint_at + cadence_ms
            }
        };
        // To the other entries the version rides on the next report.
        let tells_source = view.tell_version && view.is_config_source;
        let news = view.tell_target || tells_source || view.config_body.is_some();
        let answers = !results.is_empty() || !view.not_run.is_empty() || view.probed;
        if !(renewal_due || has_news || hint_due || news || answers) {
            return None;
        }
        let mut items = self.changed_items(incarnation);
        if !results.is_empty() {
            items.push(AgentItem::Results(results));
        }
        if let Some(view) = self
            .entries
            .get_mut(&incarnation)
            .filter(|_| items_have_load(&items))
        {
            view.told_hint_at = now;
        }
        Some(items)
    }

    fn renewal_is_due(&self, now: Moment, incarnation: Incarnation) -> bool {
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

    /// Half to all of the interval of the session, anew for each report, so that agents that
    /// attached together do not renew together.
    fn idle_renew_ms(&self, incarnation: Incarnation, view: &EntryView) -> Millis {
        let longest_ms = view.idle_renew_ms.get();
        let shortest_ms = longest_ms / 2;
        let random = hash_pair(&self.incarnation, &(incarnation, view.next_report));
        Millis::new(shortest_ms + random % (longest_ms - shortest_ms + 1))
    }

    /// What has changed since the entry was last told.
    fn changed_items(&mut self, incarnation: Incarnation) -> Vec<AgentItem> {
        let state = self.target_state();
        let hint = self.hint();
        let version = self.version;
        let mut items = Vec::new();
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return items;
        };
        if std::mem::take(&mut view.tell_target) {
            items.push(AgentItem::Target(state));
        }
        if hint != view.told_hint {
            view.told_hint = hint;
            items.push(AgentItem::Load(hint));
        }
        if std::mem::take(&mut view.tell_version) {
            let source = view.is_config_source;
            items.push(AgentItem::Version(version.unwrap_or_default(), source));
        }
        items.extend(view.config_body.take().map(AgentItem::Config));
        if !view.not_run.is_empty() {
            items.push(AgentItem::NotRun(std::mem::take(&mut view.not_run)));
        }
        items
    }

    fn take_results(&mut self, incarnation: Incarnation) -> Vec<TaskResult> {
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return Vec::new();
        };
        let unsent = std::mem::take(&mut view.unsent);
        let result = |task: &TaskRef| match &self.records.get(task)?.stage {
            Stage::Finished { result } => Some(result.clone()),
            Stage::Queued { .. } | Stage::Running { .. } => None,
        };
        unsent.iter().filter_map(result).collect()
    }

    /// Load, and the window that each entry with a session gets.
    fn hint(&self) -> LoadHint {
        let sessions = self
            .entries
            .values()
            .filter(|view| view.connection.is_some())
            .count();
        LoadHint {
            load_permille: to_permille(self.load()),
            stretch_permille: self.stretch_permille,
            window: window(self.slots(), self.rules.open_tasks_per_slot, sessions),
        }
    }

    /// Parts of the target that running and queued tasks take.
    pub(super) fn load(&self) -> f64 {
        self.target.as_ref().map_or(0.0, |target| {
            let offer = &target.announcement.offer;
            let demand = self.used.saturating_add(self.queue.demand());
            let tasks = f64::from(self.occupied() + self.queued());
            let of_slots = tasks / f64::from(self.slots().max(1));
            demand.max_fraction_of(&offer.resources).max(of_slots)
        })
    }

    /// Whether the target went from free to full or back since the last call.
    fn crossed_edge(&mut self) -> bool {
        let full = self.occupied() >= self.slots();
        std::mem::replace(&mut self.was_full, full) != full
    }
}

fn items_have_load(items: &[AgentItem]) -> bool {
    items.iter().any(|item| matches!(item, AgentItem::Load(_)))
}

fn result_tasks(item: &AgentItem) -> Vec<TaskRef> {
    match item {
        AgentItem::Results(results) => results.iter().map(|result| result.task.clone()).collect(),
        _ => Vec::new(),
    }
}

/// An equal part of the open tasks that the agent grants, but at least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the checked rules keep the product small and positive"
)]
fn window(slots: u32, open_tasks_per_slot: f64, sessions: usize) -> u32 {
    if slots == 0 {
        return 0;
    }
    let all = (f64::from(slots) * open_tasks_per_slot).floor() as u32;
    let sessions = u32::try_from(sessions).unwrap_or(u32::MAX).max(1);
    (all / sessions).max(1)
}
