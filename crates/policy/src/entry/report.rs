//! Handling of reports from agents.

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;
use dfs_wire::session::TypicalRuns;

use super::Entry;
use super::EntryAction;
use super::Observation;
use crate::ConnectionId;

const MILLIS_PER_SECOND: u64 = 1_000;

impl Entry {
    pub(super) fn on_report(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        report: Report,
        out: &mut Vec<EntryAction>,
    ) {
        self.totals.messages += 1;
        let seq = report.seq;
        let reply = self.apply_report(now, connection, report, out);
        out.push(EntryAction::Reply {
            connection,
            seq,
            reply,
        });
    }

    fn apply_report(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        report: Report,
        out: &mut Vec<EntryAction>,
    ) -> Result<Ack, ReportError> {
        let session_over = ReportError::SessionOver {
            session: report.session,
        };
        let agent = self
            .connections
            .get(&connection)
            .cloned()
            .ok_or(session_over)?;
        let view = self.agents.get_mut(&agent).ok_or(session_over)?;
        let opens_session = matches!(report.items.first(), Some(AgentItem::Held(_)));
        if view.session != report.session || !(view.is_session_open || opens_session) {
            return Err(session_over);
        }
        view.last_heard_at = now;
        view.probed_at = None;
        let mut ack = Ack::default();
        for item in report.items {
            match item {
                AgentItem::Held(held) => ack = self.on_held_tasks(&agent, &held, out),
                AgentItem::Evacuations(evacuations) => {
                    self.on_agent_evacuations(&agent, evacuations, out);
                }
                AgentItem::Target(state) => {
                    ack.sent_messages = self.on_target_state(now, &agent, report.seq, state);
                }
                AgentItem::Crashes(crashes) => self.on_crashes(now, &agent, &crashes, out),
                AgentItem::GivenUp(tasks) => self.on_given_up(now, &agent, &tasks, out),
                AgentItem::Load(hint) => self.on_load_hint(now, &agent, report.seq, hint, out),
                AgentItem::Results(results) => {
                    for result in results {
                        if let Some(job) = self.jobs.get_mut(&result.task.submission) {
                            job.count_report(&agent, report.seq);
                        }
                        self.on_result(now, &agent, result, out);
                    }
                }
                AgentItem::NotRun(tasks) => {
                    if tasks.iter().any(|t| t.reason == NotRunReason::Leaving) {
                        self.mark_target_leaving(&agent, report.seq);
                    }
                    for not_run in tasks {
                        self.on_not_run(now, &agent, &not_run.task, not_run.reason, out);
                    }
                }
                AgentItem::Version(version, is_config_client) => {
                    self.on_version(
                        connection,
                        &agent,
                        report.seq,
                        version,
                        is_config_client,
                        out,
                    );
                }
                AgentItem::Config(body) => out.push(EntryAction::ConfigReceived(body)),
            }
        }
        ack.hint_ms = self.hint_interval_update(&agent);
        ack.typical = self.typical_update(&agent);
        ack.evacuations_age_ms = self.take_evacuations_age(now, &agent);
        if ack.evacuations_age_ms.is_some() {
            let view = self.agents.get(&agent);
            ack.sent_messages = view.map(|view| view.next_seq);
        }
        Ok(ack)
    }

    /// Interval of load hints at which all agents together keep to `max_hints_per_s`; `None` if the agent
    /// was sent the same one last.
    fn hint_interval_update(&mut self, agent: &AgentId) -> Option<Millis> {
        let rules = &self.config.as_ref()?.rules.placement;
        let agents = self.agents.len() as u64;
        let hints_per_s = u64::from(rules.max_hints_per_s.max(1));
        let min_interval_ms = Millis::new(agents * MILLIS_PER_SECOND / hints_per_s);
        let interval_ms = Some(rules.hint_cadence_ms.max(min_interval_ms));
        let view = self.agents.get_mut(agent)?;
        let sent_ms = std::mem::replace(&mut view.sent_hint_interval_ms, interval_ms);
        interval_ms.filter(|_| sent_ms != interval_ms)
    }

    /// Typical run times that have changed since the agent was last sent any.
    fn typical_update(&mut self, agent: &AgentId) -> Vec<TypicalRuns> {
        let revision = self.speeds.revision();
        let Some(view) = self.agents.get_mut(agent) else {
            return Vec::new();
        };
        let sent = std::mem::replace(&mut view.sent_typical_revision, revision);
        if sent == revision {
            return Vec::new();
        }
        self.speeds.typical_since(sent)
    }

    /// Opens the session by reconciling outstanding tasks with those that the agent holds. A list that
    /// arrives again gets the same answer.
    fn on_held_tasks(
        &mut self,
        agent: &AgentId,
        held: &HeldTasks,
        out: &mut Vec<EntryAction>,
    ) -> Ack {
        let Some(view) = self.agents.get_mut(agent) else {
            return Ack::default();
        };
        if !std::mem::replace(&mut view.is_session_open, true) {
            self.remove_answered(agent);
            out.push(EntryAction::Observe(Observation::SessionOpened {
                agent: agent.clone(),
            }));
            self.settle_missing(agent, held, out);
        }
        Ack {
            drop: self.tasks_to_drop(agent, held),
            ..Ack::default()
        }
    }

    /// Removes outstanding tasks of answered submissions. Their withdrawal may have been lost with the
    /// previous session, so the agent may never report on them.
    fn remove_answered(&mut self, agent: &AgentId) {
        let Some(view) = self.agents.get_mut(agent) else {
            return;
        };
        let jobs = &self.jobs;
        let is_answered = |task: &&TaskRef| {
            let job = jobs.get(&task.submission);
            !job.is_some_and(|job| job.is_placed(task, agent))
        };
        let answered: Vec<_> = view
            .outstanding
            .keys()
            .filter(is_answered)
            .cloned()
            .collect();
        for task in answered {
            view.remove_outstanding(&task);
        }
    }

    /// Settles outstanding tasks that the agent does not hold. They will never start, unless the agent has
    /// dropped records of tasks that it had started.
    fn settle_missing(&mut self, agent: &AgentId, held: &HeldTasks, out: &mut Vec<EntryAction>) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let missing = view.outstanding.keys();
        let missing: Vec<_> = missing
            .filter(|task| !held.tasks.contains(task))
            .cloned()
            .collect();
        for task in missing {
            if held.may_lack_records {
                self.remove_outstanding(agent, &task);
                self.on_unknown(agent, &task, "the agent has dropped its records", out);
            } else {
                self.on_never_received(agent, &task, out);
            }
        }
    }

    /// Tasks that the agent holds but this entry no longer tracks.
    fn tasks_to_drop(&self, agent: &AgentId, held: &HeldTasks) -> Vec<TaskRef> {
        let Some(view) = self.agents.get(agent) else {
            return Vec::new();
        };
        let tasks = held.tasks.iter();
        tasks
            .filter(|task| !view.outstanding.contains_key(task))
            .cloned()
            .collect()
    }

    /// Returns the number of messages sent in the session so far; those may have been sent without
    /// knowledge of the new state.
    fn on_target_state(
        &mut self,
        now: Moment,
        agent: &AgentId,
        seq: u64,
        state: TargetState,
    ) -> Option<u64> {
        let view = self.agents.get_mut(agent)?;
        let sent_messages = view.next_seq;
        if view.target_seq > seq {
            return Some(sent_messages);
        }
        view.target_seq = seq;
        view.target = state;
        if let TargetState::Live(offer) = &view.target {
            let last = view.last_offer.replace(offer.clone());
            if last.is_some_and(|last| !last.is_alike(offer)) {
                self.speeds.remove(agent);
            }
        }
        if view.is_up() {
            self.crashes.record_return(now, agent);
            self.update_containment();
        }
        self.index_labels(agent);
        Some(sent_messages)
    }

    /// Marks a target as leaving on the first task that is returned for that reason. The report with the
    /// target's state may arrive later, and until then the task would be placed there over and over.
    fn mark_target_leaving(&mut self, agent: &AgentId, seq: u64) {
        if let Some(view) = self.agents.get_mut(agent).filter(|v| v.target_seq < seq) {
            view.target = TargetState::Leaving;
            view.target_seq = seq;
        }
    }

    fn on_load_hint(
        &mut self,
        now: Moment,
        agent: &AgentId,
        seq: u64,
        hint: LoadHint,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self
            .agents
            .get_mut(agent)
            .filter(|view| view.hint_seq <= seq)
        else {
            return;
        };
        view.hint = hint;
        view.hint_seq = seq;
        view.hint_received_at = now;
        view.own_load_in_hint = view.own_load;
        // 0 means unknown.
        if hint.slowdown_permille > 0 {
            self.on_reported_slowdown(now, agent, &hint, out);
        }
    }

    fn on_version(
        &mut self,
        connection: ConnectionId,
        agent: &AgentId,
        seq: u64,
        version: ConfigVersion,
        is_config_client: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self
            .agents
            .get_mut(agent)
            .filter(|view| view.config_version_seq <= seq)
        else {
            return;
        };
        view.config_version_seq = seq;
        if view.config_version.replace(version) != Some(version) {
            view.config_offered_at = None;
        }
        let was_config_client = std::mem::replace(&mut view.is_config_client, is_config_client);
        let becomes_config_client = is_config_client && !was_config_client;
        // Agents with another configuration source receive the addresses from that entry.
        if becomes_config_client && !self.known_entries.is_empty() {
            let addresses = vec![EntryItem::Entries(self.known_entries.clone())];
            self.send_items(connection, addresses, out);
        }
    }
}
