//! What agents report.

use dfs_ids::AgentId;
use dfs_ids::ConfigVersion;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::EntryItem;
use dfs_wire::session::Held;
use dfs_wire::session::LoadHint;
use dfs_wire::session::NotRunReason;
use dfs_wire::session::Report;
use dfs_wire::session::ReportError;
use dfs_wire::session::TargetState;
use dfs_wire::session::TaskRef;

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
        let reply = self.take_report(now, connection, report, out);
        out.push(EntryAction::Reply {
            connection,
            seq,
            reply,
        });
    }

    fn take_report(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        report: Report,
        out: &mut Vec<EntryAction>,
    ) -> Result<Ack, ReportError> {
        let over = ReportError::SessionOver {
            session: report.session,
        };
        let agent = self.connections.get(&connection).cloned().ok_or(over)?;
        let view = self.agents.get_mut(&agent).ok_or(over)?;
        let opens = matches!(report.items.first(), Some(AgentItem::Held(_)));
        if view.session != report.session || !(view.is_open || opens) {
            return Err(over);
        }
        view.heard_at = now;
        view.probed_at = None;
        let mut ack = Ack::default();
        for item in report.items {
            match item {
                AgentItem::Held(held) => ack = self.on_held(&agent, &held, out),
                AgentItem::Target(state) => {
                    ack.sent_messages = self.on_target(&agent, report.seq, state);
                }
                AgentItem::Load(hint) => self.on_load(now, &agent, report.seq, hint, out),
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
                        self.on_leaving(&agent, report.seq);
                    }
                    for not_run in tasks {
                        self.on_not_run(now, &agent, &not_run.task, not_run.reason, out);
                    }
                }
                AgentItem::Version(version, source) => {
                    self.on_version(connection, &agent, report.seq, version, source, out);
                }
                AgentItem::Config(body) => out.push(EntryAction::ConfigReceived(body)),
            }
        }
        ack.hint_ms = self.changed_hint_ms(&agent);
        Ok(ack)
    }

    /// Cadence at which the hints of all agents keep to their bound, if the agent was told another one.
    fn changed_hint_ms(&mut self, agent: &AgentId) -> Option<Millis> {
        let rules = &self.config.as_ref()?.rules.placement;
        let agents = self.agents.len() as u64;
        let hints_per_s = u64::from(rules.max_hints_per_s.max(1));
        let of_all_ms = Millis::new(agents * MILLIS_PER_SECOND / hints_per_s);
        let hint_ms = Some(rules.hint_cadence_ms.max(of_all_ms));
        let view = self.agents.get_mut(agent)?;
        let told_ms = std::mem::replace(&mut view.told_hint_ms, hint_ms);
        hint_ms.filter(|_| told_ms != hint_ms)
    }

    /// Opens the session with the list of held tasks; a list that arrives twice is answered alike.
    fn on_held(&mut self, agent: &AgentId, held: &Held, out: &mut Vec<EntryAction>) -> Ack {
        let Some(view) = self.agents.get_mut(agent) else {
            return Ack::default();
        };
        if !std::mem::replace(&mut view.is_open, true) {
            self.drop_answered(agent);
            out.push(EntryAction::Observe(Observation::SessionOpened {
                agent: agent.clone(),
            }));
            self.settle_missing(agent, held, out);
        }
        Ack {
            drop: self.unwanted(agent, held),
            ..Ack::default()
        }
    }

    /// A withdrawal may be lost with its session, so tasks of answered submissions are dropped.
    fn drop_answered(&mut self, agent: &AgentId) {
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
            view.release(&task);
        }
    }

    /// A task that is outstanding and not listed never starts, unless the agent has forgotten tasks.
    fn settle_missing(&mut self, agent: &AgentId, held: &Held, out: &mut Vec<EntryAction>) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        let missing = view.outstanding.keys();
        let missing: Vec<_> = missing
            .filter(|task| !held.tasks.contains(task))
            .cloned()
            .collect();
        for task in missing {
            if held.forgotten {
                self.release(agent, &task);
                self.on_unknown(agent, &task, "the agent has dropped its records", out);
            } else {
                self.on_absent(agent, &task, out);
            }
        }
    }

    fn unwanted(&self, agent: &AgentId, held: &Held) -> Vec<TaskRef> {
        let Some(view) = self.agents.get(agent) else {
            return Vec::new();
        };
        let unwanted = held.tasks.iter();
        unwanted
            .filter(|task| !view.outstanding.contains_key(task))
            .cloned()
            .collect()
    }

    /// Returns the number of messages sent before the state was known.
    fn on_target(&mut self, agent: &AgentId, seq: u64, state: TargetState) -> Option<u64> {
        let view = self.agents.get_mut(agent)?;
        if view.target_seq <= seq {
            view.target = state;
            view.target_seq = seq;
        }
        Some(view.next_message)
    }

    /// The report that tells of the leaving target may be late, and without it the same tasks
    /// would be placed there again and again.
    fn on_leaving(&mut self, agent: &AgentId, seq: u64) {
        if let Some(view) = self.agents.get_mut(agent).filter(|v| v.target_seq < seq) {
            view.target = TargetState::Leaving;
            view.target_seq = seq;
        }
    }

    fn on_load(
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
        view.hint_at = now;
        view.load_at_hint = view.own_load;
        if hint.stretch_permille > 0 {
            self.note_stretch(now, agent, hint.stretch_permille, out);
        }
    }

    fn on_version(
        &mut self,
        connection: ConnectionId,
        agent: &AgentId,
        seq: u64,
        version: ConfigVersion,
        source: bool,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(view) = self
            .agents
            .get_mut(agent)
            .filter(|view| view.version_seq <= seq)
        else {
            return;
        };
        view.version_seq = seq;
        view.version = Some(version);
        let took_config = std::mem::replace(&mut view.takes_config, source);
        let starts_source = source && !took_config;
        let own = self
            .config
            .as_ref()
            .map(|config| config.version)
            .unwrap_or_default();
        // Agents without this entry as their source learn of the others from theirs.
        if starts_source && !self.entries.is_empty() {
            let entries = vec![EntryItem::Entries(self.entries.clone())];
            self.send_to(connection, entries, out);
        }
        if source && version < own {
            out.push(EntryAction::OfferConfig {
                connection,
                have: version,
            });
        }
    }
}
