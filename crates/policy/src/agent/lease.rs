//! Sessions: opening, fencing, losing and lapsing.

use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_wire::session::Ack;
use dfs_wire::session::EntryItem;
use dfs_wire::session::Open;
use dfs_wire::session::TaskRef;
use dfs_wire::session::ToAgent;

use super::Agent;
use super::AgentAction;
use super::record::Record;
use super::record::Stage;
use super::view::EntryView;
use super::view::Phase;
use crate::ConnectionId;
use crate::membership::hash_pair;

const LAPSED: &str = "the lease of its entry has lapsed";

impl Agent {
    pub(super) fn on_message(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        message: ToAgent,
        out: &mut Vec<AgentAction>,
    ) {
        let first = message.items.first();
        if let (0, Some(EntryItem::Open(open))) = (message.seq, first) {
            let open = open.clone();
            self.on_open(now, connection, message.session, &open, out);
        }
        let Some(incarnation) = self.entry_of(connection) else {
            out.push(AgentAction::CloseConnection { connection });
            return;
        };
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return;
        };
        if message.session != view.session || message.seq < view.next_message {
            return;
        }
        if message.seq > view.next_message {
            self.on_lost(connection);
            out.push(AgentAction::CloseConnection { connection });
            return;
        }
        view.next_message += 1;
        for item in message.items {
            self.on_item(now, connection, incarnation, item, out);
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
            EntryItem::Place(placement) => self.accept(now, incarnation, placement),
            EntryItem::Withdraw(tasks) => self.withdraw(incarnation, &tasks, out),
            EntryItem::Probe => {
                if let Some(view) = self.entries.get_mut(&incarnation) {
                    view.probed = true;
                }
            }
            EntryItem::Config(body) => out.push(AgentAction::ConfigReceived(body)),
            EntryItem::WantConfig => {
                let wanted = |version| AgentAction::ConfigRequested {
                    connection,
                    version,
                };
                out.extend(self.version.map(wanted));
            }
            EntryItem::Entries(addresses) => out.push(AgentAction::EntryAddresses(addresses)),
        }
    }

    fn on_open(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        session: SessionNumber,
        open: &Open,
        out: &mut Vec<AgentAction>,
    ) {
        let old = self.entries.get(&open.incarnation);
        if old.is_some_and(|view| session <= view.session) {
            return;
        }
        let mut view = EntryView::open(connection, session, open, now);
        view.forgotten = old.map_or(open.resumed, |old| old.forgotten);
        if let Some(fenced) = old
            .and_then(|old| old.connection)
            .filter(|old| *old != connection)
        {
            out.push(AgentAction::CloseConnection { connection: fenced });
        }
        self.entries.insert(open.incarnation, view);
        self.end_earlier_lives(open);
        self.mark_unsent(open.incarnation);
        self.choose_config_source();
        out.push(AgentAction::SessionOpened {
            connection,
            open: open.clone(),
        });
    }

    /// A new life of an entry proves that the earlier ones are over; their leases end at once.
    fn end_earlier_lives(&mut self, open: &Open) {
        let earlier = self
            .entries
            .iter_mut()
            .filter(|(life, view)| **life != open.incarnation && view.entry == open.entry);
        for (_, view) in earlier {
            view.lease_ms = Millis::default();
        }
    }

    pub(super) fn on_ack(
        &mut self,
        connection: ConnectionId,
        seq: u64,
        ack: &Ack,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(incarnation) = self.entry_of(connection) else {
            return;
        };
        let Some(view) = self.entries.get_mut(&incarnation) else {
            return;
        };
        let Some(report) = view.in_flight.remove(&seq) else {
            return;
        };
        view.leased_at = view.leased_at.max(report.sent_at);
        view.sent_messages = view
            .sent_messages
            .max(ack.sent_messages.unwrap_or_default());
        view.hint_ms = ack.hint_ms.unwrap_or(view.hint_ms);
        if seq == 0 {
            view.phase = Phase::Established;
            view.forgotten = false;
        }
        for task in &report.results {
            self.records.remove(task);
        }
        for task in &ack.drop {
            self.drop_unwanted(incarnation, task, out);
        }
    }

    pub(super) fn on_lost(&mut self, connection: ConnectionId) {
        let Some(incarnation) = self.entry_of(connection) else {
            return;
        };
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.connection = None;
            view.phase = Phase::Fencing;
            view.in_flight.clear();
            view.not_run.clear();
        }
        self.mark_unsent(incarnation);
        self.choose_config_source();
    }

    /// Drops what waits for entries that are gone.
    pub(super) fn expire_entries(&mut self, now: Moment, out: &mut Vec<AgentAction>) {
        let keep_ms = self.keep_results_ms;
        let lapsed: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, view)| view.has_lapsed(now))
            .map(|(key, _)| *key)
            .collect();
        for incarnation in lapsed {
            let stopped = self.stop_runs(incarnation, out);
            let connection = self.entries[&incarnation].connection;
            if let Some(connection) = connection.filter(|_| stopped > 0) {
                // The list of held tasks in the next session tells the entry what has become of them.
                self.on_lost(connection);
                out.push(AgentAction::CloseConnection { connection });
            }
            if self.entries[&incarnation].connection.is_some() {
                continue;
            }
            let dropped = stopped + self.drop_queued(incarnation);
            if dropped > 0 {
                let entry = self.entries[&incarnation].entry.clone();
                out.push(AgentAction::EntryLapsed { entry, dropped });
            }
            let Some(view) = self.entries.get(&incarnation) else {
                continue;
            };
            if now >= view.leased_at + view.lease_ms + keep_ms {
                self.forget(incarnation);
            }
        }
    }

    /// Stops all repeatable runs of an entry; returns how many were not told to stop before.
    fn stop_runs(&mut self, incarnation: Incarnation, out: &mut Vec<AgentAction>) -> u32 {
        let of_entry = |(_, record): &(&TaskRef, &Record)| {
            record.entry == incarnation && matches!(record.stage, Stage::Running { .. })
        };
        let running = self.records.iter().filter(of_entry);
        let running: Vec<_> = running.map(|(task, _)| task.clone()).collect();
        let mut stopped = 0;
        for task in running {
            stopped += u32::from(self.stop_run(&task, LAPSED, out));
        }
        stopped
    }

    fn drop_queued(&mut self, incarnation: Incarnation) -> u32 {
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

    /// Removes an entry incarnation and its results; if it comes back, its `resumed` flag tells
    /// that this agent has forgotten tasks.
    fn forget(&mut self, incarnation: Incarnation) {
        self.records.retain(|_, record| {
            record.entry != incarnation || matches!(record.stage, Stage::Running { .. })
        });
        self.entries.remove(&incarnation);
    }

    fn drop_unwanted(
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
                record.wanted = false;
                self.stop_run(task, "the entry no longer wants it", out);
            }
            Stage::Finished { .. } => {
                self.records.remove(task);
            }
        }
    }

    /// Results that may not have arrived are sent again in the next session.
    fn mark_unsent(&mut self, incarnation: Incarnation) {
        let finished = |(_, record): &(&TaskRef, &Record)| {
            record.entry == incarnation && matches!(record.stage, Stage::Finished { .. })
        };
        let unsent = self.records.iter().filter(finished);
        let unsent = unsent.map(|(task, _)| task.clone()).collect();
        if let Some(view) = self.entries.get_mut(&incarnation) {
            view.unsent = unsent;
        }
    }

    /// One session at a time brings configurations, so that each change arrives once; agents
    /// spread over the entries by rendezvous hashing.
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
            view.tell_version |= is_source != view.is_config_source;
            view.is_config_source = is_source;
        }
    }

    pub(super) fn entry_of(&self, connection: ConnectionId) -> Option<Incarnation> {
        let found = self
            .entries
            .iter()
            .find(|(_, view)| view.connection == Some(connection));
        found.map(|(incarnation, _)| *incarnation)
    }
}
