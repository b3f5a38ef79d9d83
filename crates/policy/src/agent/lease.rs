//! Sessions with entries: opening, fencing, loss and lease expiry.

use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::SessionParams;
use dfs_wire::session::TaskRef;

use super::Agent;
use super::AgentAction;
use super::record::Stage;
use super::record::TaskRecord;
use super::view::EntryView;
use super::view::PendingConfirmation;
use super::view::Phase;
use crate::ConnectionId;
use crate::membership::hash_pair;

const LEASE_EXPIRED: &str = "entry lease expired";

impl Agent {
    pub(super) fn on_message(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        message: EntryMessage,
        out: &mut Vec<AgentAction>,
    ) {
        let first = message.items.first();
        if let (0, Some(EntryItem::Open(open))) = (message.seq, first) {
            let open = open.clone();
            self.on_open(now, connection, message.session, &open, out);
        }
        let Some(incarnation) = self.entry_on_connection(connection) else {
            out.push(AgentAction::CloseConnection { connection });
            return;
        };
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return;
        };
        if message.session != view.session || message.seq < view.next_message_seq {
            return;
        }
        if message.seq > view.next_message_seq {
            self.on_connection_lost(connection);
            out.push(AgentAction::CloseConnection { connection });
            return;
        }
        view.next_message_seq += 1;
        for item in message.items {
            self.on_item(now, connection, incarnation, item, out);
        }
        let view = self.entries.get_mut(&incarnation);
        if let Some(known_at) = view.and_then(EntryView::take_confirmation) {
            self.confirm_evacuations(now, known_at);
        }
    }

    fn on_item(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        incarnation: Incarnation,
        item: EntryItem,
        out: &mut Vec<AgentAction>,
    ) {
        match item {
            EntryItem::Open(_) => {}
            EntryItem::Evacuations(evacuations) => {
                self.on_evacuations(incarnation, evacuations, out);
            }
            EntryItem::Place(placement) => self.accept(now, incarnation, placement),
            EntryItem::Withdraw(tasks) => self.withdraw(incarnation, &tasks, out),
            EntryItem::GivenUp(tasks) => self.on_given_up(now, tasks),
            EntryItem::Probe => {
                if let Some(view) = self.entries.get_mut(&incarnation) {
                    view.is_probe_pending = true;
                }
            }
            EntryItem::Config(body) => out.push(AgentAction::ConfigReceived(body)),
            EntryItem::WantConfig => {
                let request = |version| AgentAction::ConfigRequested {
                    connection,
                    version,
                };
                out.extend(self.config_version.map(request));
            }
            EntryItem::Entries(addresses) => out.push(AgentAction::EntryAddresses(addresses)),
        }
    }

    fn on_open(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        session: SessionNumber,
        open: &SessionParams,
        out: &mut Vec<AgentAction>,
    ) {
        let previous = self.entries.get(&open.incarnation);
        if previous.is_some_and(|view| session <= view.session) {
            return;
        }
        // What the lease forbids must not be in the list of held tasks with which the session begins.
        self.expire_entries(now, out);
        let previous = self.entries.get(&open.incarnation);
        let mut view = EntryView::open(connection, session, open, now);
        if let Some(previous) = previous {
            // The message may have been held up, and its entry be gone: it renews no lease under which tasks run.
            view.lease_renewed_at = previous.lease_renewed_at;
        }
        view.may_lack_records = previous.map_or(open.resumed, |view| view.may_lack_records);
        if let Some(fenced) = previous
            .and_then(|view| view.connection)
            .filter(|fenced| *fenced != connection)
        {
            out.push(AgentAction::CloseConnection { connection: fenced });
        }
        self.entries.insert(open.incarnation, view);
        self.expire_earlier_incarnations(open);
        self.mark_results_unsent(open.incarnation);
        self.choose_config_source();
        out.push(AgentAction::SessionOpened {
            connection,
            open: open.clone(),
        });
    }

    /// A new incarnation of an entry proves that the earlier ones have ended, so their leases expire at once.
    fn expire_earlier_incarnations(&mut self, open: &SessionParams) {
        let earlier = self
            .entries
            .iter_mut()
            .filter(|(key, view)| **key != open.incarnation && view.entry == open.entry);
        for (_, view) in earlier {
            view.lease_ms = Millis::default();
        }
    }

    pub(super) fn on_ack(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        seq: u64,
        ack: &Ack,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(incarnation) = self.entry_on_connection(connection) else {
            return;
        };
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let Some(report) = view.unacked_reports.remove(&seq) else {
            return;
        };
        view.lease_renewed_at = view.lease_renewed_at.max(report.sent_at);
        view.acked_crash = view.acked_crash.max(report.last_crash);
        view.sent_messages = view
            .sent_messages
            .max(ack.sent_messages.unwrap_or_default());
        if let (Some(age_ms), Some(sent_messages)) = (ack.evacuations_age_ms, ack.sent_messages) {
            // The age is as of a time after the report was sent.
            view.pending_confirmation = Some(PendingConfirmation {
                known_at: report.sent_at - age_ms,
                sent_messages,
            });
        }
        let confirmed_at = view.take_confirmation();
        view.min_hint_interval_ms = ack.hint_ms.unwrap_or(view.min_hint_interval_ms);
        if seq == 0 {
            view.phase = Phase::Established;
            view.may_lack_records = false;
        }
        ack.typical
            .iter()
            .for_each(|runs| self.evidence.learn_typical(runs));
        for task in &report.results {
            self.records.remove(task);
        }
        for task in &ack.drop {
            self.drop_unwanted_task(incarnation, task, out);
        }
        if let Some(known_at) = confirmed_at {
            self.confirm_evacuations(now, known_at);
        }
    }

    pub(super) fn on_connection_lost(&mut self, connection: ConnectionId) {
        let Some(incarnation) = self.entry_on_connection(connection) else {
            return;
        };
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.connection = None;
            view.phase = Phase::Reconciling;
            view.unacked_reports.clear();
            view.pending_not_run.clear();
            view.pending_given_up.clear();
            view.pending_confirmation = None;
        }
        self.mark_results_unsent(incarnation);
        self.choose_config_source();
    }

    /// Stops runs, drops tasks and finally removes the state of entries whose lease has expired.
    pub(super) fn expire_entries(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        let retention_ms = self.result_retention_ms;
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, view)| view.is_lease_expired(now))
            .map(|(key, _)| *key)
            .collect();
        for incarnation in expired {
            let stopped = self.stop_runs_of(incarnation, out);
            let connection = self.entries[&incarnation].connection;
            if let Some(connection) = connection.filter(|_| stopped > 0) {
                // The entry learns from the list of held tasks in its next session which tasks are left.
                self.on_connection_lost(connection);
                out.push(AgentAction::CloseConnection { connection });
            }
            if self.entries[&incarnation].connection.is_some() {
                continue;
            }
            let dropped = stopped + self.drop_queued_tasks_of(incarnation);
            if dropped > 0 {
                let entry = self.entries[&incarnation].entry.clone();
                out.push(AgentAction::EntryLeaseExpired { entry, dropped });
            }
            let Some(view) = self.entries.get(&incarnation) else {
                continue;
            };
            if now >= view.lease_renewed_at + view.lease_ms + retention_ms {
                self.remove_entry(incarnation);
            }
        }
    }

    /// Stops all repeatable runs of an entry and returns how many were newly stopped.
    fn stop_runs_of(&mut self, incarnation: Incarnation, out: &mut Vec<AgentAction>) -> u32 {
        let is_running = |(_, record): &(&TaskRef, &TaskRecord)| {
            record.entry == incarnation && matches!(record.stage, Stage::Running { .. })
        };
        let running = self.records.iter().filter(is_running);
        let running: Vec<_> = running.map(|(task, _)| task.clone()).collect();
        let mut stopped = 0;
        for task in running {
            stopped += u32::from(self.stop_run(&task, LEASE_EXPIRED, out));
        }
        stopped
    }

    /// Reports how recently the entries of the active runs were heard of, if it has changed: ahead of the starts in
    /// `out`, whose leases it limits.
    pub(super) fn report_entries_heard(&mut self, out: &mut Vec<AgentAction>) {
        let active = self.records.values().filter(|record| {
            record.terms.repeatable && matches!(record.stage, Stage::Running { .. })
        });
        let heard_at = active.map(|record| {
            let view = self.entries.get(&record.entry);
            view.map_or_else(Moment::default, |view| view.lease_renewed_at)
        });
        let earliest = heard_at.min();
        if earliest != self.reported_heard_at {
            self.reported_heard_at = earliest;
            out.insert(0, AgentAction::EntriesHeard { earliest });
        }
    }

    fn drop_queued_tasks_of(&mut self, incarnation: Incarnation) -> u32 {
        let of_entry =
            |task: &&TaskRef| self.records.get(*task).map(|r| r.entry) == Some(incarnation);
        let tasks: Vec<_> = self.queue.tasks().filter(of_entry).cloned().collect();
        for task in &tasks {
            if let Some(record) = self.records.remove(task)
                && self.queue.remove(task, &record)
            {
                self.shares.deactivate(&record.group);
            }
        }
        u32::try_from(tasks.len()).unwrap_or(u32::MAX)
    }

    /// Removes an entry incarnation and its results. If it connects again, the `resumed` flag of its session
    /// shows that this agent may lack records of its tasks.
    fn remove_entry(&mut self, incarnation: Incarnation) {
        self.records.retain(|_, record| {
            record.entry != incarnation || matches!(record.stage, Stage::Running { .. })
        });
        self.entries.remove(&incarnation);
    }

    fn drop_unwanted_task(
        &mut self,
        incarnation: Incarnation,
        task: &TaskRef,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(record) = self.records.get_mut(task) else {
            return;
        };
        if record.entry != incarnation {
            return;
        }
        match record.stage {
            Stage::Queued { .. } => {
                if self.queue.remove(task, record) {
                    self.shares.deactivate(&record.group);
                }
                self.records.remove(task);
            }
            Stage::Running { .. } => {
                record.is_result_wanted = false;
                self.stop_run(task, "result no longer needed by the entry", out);
            }
            Stage::Finished { .. } => {
                self.records.remove(task);
            }
        }
    }

    /// Queues all results of an entry for its next session, since those already sent may not have arrived.
    fn mark_results_unsent(&mut self, incarnation: Incarnation) {
        let is_finished = |(_, record): &(&TaskRef, &TaskRecord)| {
            record.entry == incarnation && matches!(record.stage, Stage::Finished { .. })
        };
        let unsent_results = self.records.iter().filter(is_finished);
        let unsent_results = unsent_results.map(|(task, _)| task.clone()).collect();
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.unsent_results = unsent_results;
        }
    }

    /// Selects the entry that sends configurations to this agent, so that each change arrives only once.
    /// Rendezvous hashing spreads the agents over the entries.
    fn choose_config_source(&mut self) {
        let own = self.incarnation;
        let connected = self
            .entries
            .iter()
            .filter(|(_, view)| view.connection.is_some());
        let chosen = connected
            .max_by_key(|(entry, _)| hash_pair(&own, entry))
            .map(|(entry, _)| *entry);
        for (entry, view) in &mut self.entries {
            let is_source = Some(*entry) == chosen;
            view.is_version_pending |= is_source != view.is_config_source;
            view.is_config_source = is_source;
        }
    }

    pub(super) fn entry_on_connection(&self, connection: ConnectionId) -> Option<Incarnation> {
        let found = self
            .entries
            .iter()
            .find(|(_, view)| view.connection == Some(connection));
        found.map(|(incarnation, _)| *incarnation)
    }
}
