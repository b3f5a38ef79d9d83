//! Faults, how they begin, and how they end.

use dfs_ids::Incarnation;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::entry::EntryEvent;
use dfs_wire::session::TaskOutcome;

use crate::link::Connection;
use crate::link::Item;
use crate::link::Way;
use crate::node;
use crate::node::Node;
use crate::world::REPLACE_US;
use crate::world::World;

/// Longer than every lease with the time that results are kept.
const LONG_US: u64 = 10_000_000;
/// Shorter than every lease.
const SHORT_US: u64 = 800_000;
/// Longer than a near deadline, shorter than every lease.
const STALL_US: u64 = 1_500_000;
/// Time until a target that said goodbye is back, and until a late connection is read.
const RETURN_US: u64 = 400_000;

/// Kinds of faults, each at one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    CrashEntry,
    CrashAgent,
    CrashTarget,
    FreezeEntry,
    /// The clock stands still meanwhile and does not jump on waking.
    FreezeEntryWithClock,
    FreezeEntryShort,
    FreezeAgent,
    FreezeAgentWithClock,
    FreezeAgentShort,
    FreezeTarget,
    /// A connection closes; what is on its way arrives first.
    Close,
    /// A connection closes and loses what is on its way.
    Reset,
    ResetToEntry,
    ResetToAgent,
    /// The agent attaches anew before the entry has read the old connection to its end.
    Crossed,
    /// The old connection is read to its end only after the new session has opened.
    CrossedLate,
    CutBoth,
    CutToEntry,
    CutToAgent,
    /// What is on its way arrives after the mend.
    CutBothShort,
    CutToEntryShort,
    CutToAgentShort,
    CutTarget,
    CutToTarget,
    CutFromTarget,
    /// The next item arrives after those behind it.
    Late,
    Doubled,
    Swapped,
    Lost,
    Cancel,
    Goodbye,
    StopEntry,
    StopAgent,
    /// Nothing arrives until the deadline of each short submission has passed.
    Stall,
}

/// What a kind of fault is aimed at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aim {
    Entry,
    Agent,
    Link,
    Caller,
    NextItem,
}

/// One fault at one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub kind: Kind,
    pub entry: usize,
    pub agent: usize,
    pub caller: usize,
}

/// The end of a fault.
#[derive(Debug, Clone, Copy)]
pub enum Heal {
    ReplaceEntry(usize, Incarnation),
    ReplaceAgent(usize, Incarnation),
    ReplaceTarget(usize),
    WakeEntry(usize, Incarnation, u64),
    WakeAgent(usize, Incarnation, u64),
    WakeTarget(usize),
    Mend(usize, usize, Way),
    MendAndClose(usize, usize, Way),
    Return(usize),
}

impl Kind {
    pub const ALL: [Self; 34] = [
        Self::CrashEntry,
        Self::CrashAgent,
        Self::CrashTarget,
        Self::FreezeEntry,
        Self::FreezeEntryWithClock,
        Self::FreezeEntryShort,
        Self::FreezeAgent,
        Self::FreezeAgentWithClock,
        Self::FreezeAgentShort,
        Self::FreezeTarget,
        Self::Close,
        Self::Reset,
        Self::ResetToEntry,
        Self::ResetToAgent,
        Self::Crossed,
        Self::CrossedLate,
        Self::CutBoth,
        Self::CutToEntry,
        Self::CutToAgent,
        Self::CutBothShort,
        Self::CutToEntryShort,
        Self::CutToAgentShort,
        Self::CutTarget,
        Self::CutToTarget,
        Self::CutFromTarget,
        Self::Late,
        Self::Doubled,
        Self::Swapped,
        Self::Lost,
        Self::Cancel,
        Self::Goodbye,
        Self::StopEntry,
        Self::StopAgent,
        Self::Stall,
    ];

    pub fn aim(self) -> Aim {
        match self {
            Self::CrashEntry
            | Self::FreezeEntry
            | Self::FreezeEntryWithClock
            | Self::FreezeEntryShort
            | Self::StopEntry => Aim::Entry,
            Self::CrashAgent
            | Self::CrashTarget
            | Self::FreezeAgent
            | Self::FreezeAgentWithClock
            | Self::FreezeAgentShort
            | Self::FreezeTarget
            | Self::CutTarget
            | Self::CutToTarget
            | Self::CutFromTarget
            | Self::Goodbye
            | Self::StopAgent => Aim::Agent,
            Self::Close
            | Self::Reset
            | Self::ResetToEntry
            | Self::ResetToAgent
            | Self::Crossed
            | Self::CrossedLate
            | Self::CutBoth
            | Self::CutToEntry
            | Self::CutToAgent
            | Self::CutBothShort
            | Self::CutToEntryShort
            | Self::CutToAgentShort => Aim::Link,
            Self::Cancel => Aim::Caller,
            Self::Late | Self::Doubled | Self::Swapped | Self::Lost | Self::Stall => Aim::NextItem,
        }
    }

    /// Whether every accepted submission is still answered whole: nobody dies or is silent past a
    /// lease while it holds tasks.
    pub fn is_harmless(self) -> bool {
        matches!(
            self,
            Self::FreezeEntryShort
                | Self::FreezeAgentShort
                | Self::FreezeTarget
                | Self::Close
                | Self::Reset
                | Self::ResetToEntry
                | Self::ResetToAgent
                | Self::Crossed
                | Self::CrossedLate
                | Self::CutBothShort
                | Self::CutToEntryShort
                | Self::CutToAgentShort
                | Self::CutToTarget
                | Self::CutFromTarget
                | Self::Late
                | Self::Doubled
                | Self::Swapped
                | Self::Goodbye
                | Self::StopEntry
                | Self::StopAgent
        )
    }
}

impl World {
    pub fn heal_after(&mut self, delay_us: u64, heal: Heal) {
        let at_us = self.now_us + delay_us;
        self.disturbed_us = self.disturbed_us.max(at_us);
        self.heals.push((at_us, heal));
    }

    pub fn inject(&mut self, fault: Fault) {
        let Fault { entry, agent, .. } = fault;
        self.disturbed_us = self.disturbed_us.max(self.now_us);
        match fault.kind {
            Kind::CrashEntry if self.entries[entry].machine.is_some() => self.end_entry(entry),
            Kind::CrashAgent if self.agents[agent].machine.is_some() => self.end_agent(agent),
            Kind::CrashEntry | Kind::CrashAgent => {}
            Kind::CrashTarget => self.crash_target(agent),
            Kind::FreezeEntry => self.freeze_entry(entry, LONG_US, 0),
            Kind::FreezeEntryWithClock => self.freeze_entry(entry, LONG_US, LONG_US),
            Kind::FreezeEntryShort => self.freeze_entry(entry, SHORT_US, 0),
            Kind::FreezeAgent => self.freeze_agent(agent, LONG_US, 0),
            Kind::FreezeAgentWithClock => self.freeze_agent(agent, LONG_US, LONG_US),
            Kind::FreezeAgentShort => self.freeze_agent(agent, SHORT_US, 0),
            Kind::FreezeTarget => {
                self.targets[agent].is_frozen = true;
                self.heal_after(LONG_US, Heal::WakeTarget(agent));
            }
            Kind::Close => self.close_link(entry, agent, |_| false),
            Kind::Reset => self.close_link(entry, agent, |_| true),
            Kind::ResetToEntry => self.close_link(entry, agent, Item::goes_to_entry),
            Kind::ResetToAgent => self.close_link(entry, agent, |item| !item.goes_to_entry()),
            Kind::Crossed => self.cross(entry, agent, 0),
            Kind::CrossedLate => self.cross(entry, agent, RETURN_US),
            Kind::CutBoth => {
                self.cut(entry, agent, Way::ToEntry, LONG_US);
                self.cut(entry, agent, Way::ToAgent, LONG_US);
            }
            Kind::CutToEntry => self.cut(entry, agent, Way::ToEntry, LONG_US),
            Kind::CutToAgent => self.cut(entry, agent, Way::ToAgent, LONG_US),
            Kind::CutBothShort => {
                self.cut(entry, agent, Way::ToEntry, SHORT_US);
                self.cut(entry, agent, Way::ToAgent, SHORT_US);
            }
            Kind::CutToEntryShort => self.cut(entry, agent, Way::ToEntry, SHORT_US),
            Kind::CutToAgentShort => self.cut(entry, agent, Way::ToAgent, SHORT_US),
            Kind::CutTarget => {
                self.cut(0, agent, Way::ToTarget, LONG_US);
                self.cut(0, agent, Way::FromTarget, LONG_US);
                self.end_runs(agent);
            }
            Kind::CutToTarget => self.cut(0, agent, Way::ToTarget, SHORT_US),
            Kind::CutFromTarget => self.cut(0, agent, Way::FromTarget, SHORT_US),
            Kind::Late | Kind::Doubled | Kind::Swapped | Kind::Lost => self.disturb(fault.kind),
            Kind::Cancel => self.push(Item::Cancel(fault.caller)),
            Kind::Goodbye => {
                self.targets[agent].is_leaving = true;
                self.at_agent(agent, AgentEvent::TargetGoodbye, true);
                self.heal_after(RETURN_US, Heal::Return(agent));
            }
            Kind::StopEntry => self.at_entry(entry, EntryEvent::Stop, true),
            Kind::StopAgent => self.at_agent(agent, AgentEvent::Shutdown, true),
            Kind::Stall => self.stall(),
        }
    }

    fn freeze_entry(&mut self, index: usize, span_us: u64, lag_us: u64) {
        if self.entries[index].is_awake() {
            self.entries[index].is_frozen = true;
            let life = self.entries[index].life;
            self.heal_after(span_us, Heal::WakeEntry(index, life, lag_us));
        }
    }

    fn freeze_agent(&mut self, index: usize, span_us: u64, lag_us: u64) {
        if self.agents[index].is_awake() {
            self.agents[index].is_frozen = true;
            let life = self.agents[index].life;
            self.heal_after(span_us, Heal::WakeAgent(index, life, lag_us));
        }
    }

    fn crash_target(&mut self, agent: usize) {
        self.targets[agent].is_up = false;
        self.end_runs(agent);
        self.heal_after(REPLACE_US, Heal::ReplaceTarget(agent));
    }

    /// Running tasks lose their connection.
    fn end_runs(&mut self, at: usize) {
        let now_us = self.now_us;
        let runs = self.items.extract_if(
            ..,
            |_, item| matches!(item, Item::Ended { agent, .. } if *agent == at),
        );
        let runs: Vec<_> = runs.map(|(_, item)| item).collect();
        for item in runs {
            if let Item::Ended {
                agent, life, task, ..
            } = item
            {
                let end = RunEnd::Finished(TaskOutcome::Unknown("the connection broke".to_owned()));
                let serial = self.next_serial();
                let item = Item::Ended {
                    agent,
                    life,
                    task,
                    end,
                };
                self.items.insert((now_us, serial), item);
            }
        }
    }

    fn close_link(&mut self, entry: usize, agent: usize, is_lost: impl Fn(&Item) -> bool) {
        for connection in self.connections_of(entry, agent) {
            self.items
                .retain(|_, item| item.connection() != Some(connection) || !is_lost(item));
            self.close_at_agent(connection);
        }
    }

    fn cross(&mut self, entry: usize, agent: usize, delay_us: u64) {
        for connection in self.connections_of(entry, agent) {
            self.close_at_agent(connection);
            if self.agents[agent].is_awake() {
                self.dial(agent);
            }
            let old: Vec<_> = self
                .items
                .extract_if(.., |_, item| item.connection() == Some(connection))
                .collect();
            for (_, item) in old {
                self.push_after(delay_us, item);
            }
        }
    }

    fn cut(&mut self, entry: usize, agent: usize, way: Way, span_us: u64) {
        self.cuts.insert((entry, agent, way));
        let is_link = matches!(way, Way::ToEntry | Way::ToAgent);
        let heal = if is_link && span_us == LONG_US {
            Heal::MendAndClose(entry, agent, way)
        } else {
            Heal::Mend(entry, agent, way)
        };
        self.heal_after(span_us, heal);
    }

    fn disturb(&mut self, kind: Kind) {
        let Some(key) = self.next_key().filter(|key| self.items[key].is_data()) else {
            return;
        };
        let item = self.items[&key].clone();
        // A byte stream loses a message only together with its connection.
        if let (Kind::Lost, Item::Message(connection, _)) = (kind, &item) {
            let Connection { entry, agent, .. } = self.connections[connection];
            return self.close_link(entry, agent, |_| true);
        }
        match kind {
            Kind::Late => {
                self.items.remove(&key);
                self.push_after(SHORT_US, item);
                self.disturbed_us = self.disturbed_us.max(self.now_us + SHORT_US);
            }
            Kind::Doubled => self.push(item),
            Kind::Swapped => {
                self.items.remove(&key);
                self.push(item);
            }
            _ => drop(self.items.remove(&key)),
        }
        if kind == Kind::Lost {
            self.disturbed_us = self.disturbed_us.max(self.now_us + LONG_US);
        }
    }

    fn stall(&mut self) {
        self.now_us += STALL_US;
        self.disturbed_us = self.disturbed_us.max(self.now_us);
        for index in 0..self.entries.len() {
            if self.entries[index].is_awake() {
                self.at_entry(index, EntryEvent::Tick, true);
            }
        }
    }

    pub fn heal_due(&mut self) {
        let now_us = self.now_us;
        let due: Vec<_> = self.heals.extract_if(.., |(at, _)| *at <= now_us).collect();
        for (_, heal) in due {
            self.heal(heal);
        }
    }

    fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::ReplaceEntry(index, old) if self.entries[index].life == old => {
                let life = self.next_life();
                self.entries[index] = Node::new(node::entry(index, life), life);
            }
            Heal::ReplaceAgent(index, old) if self.agents[index].life == old => {
                let life = self.next_life();
                self.agents[index] = Node::new(node::agent(life), life);
            }
            Heal::WakeEntry(index, life, lag_us) if self.entries[index].life == life => {
                self.entries[index].is_frozen = false;
                self.entries[index].lag_us += lag_us;
                let is_for = |world: &Self, item: &Item| match item {
                    Item::Submit(caller) => world.callers[*caller].entry == index,
                    _ => item.connection().is_some_and(|c| {
                        item.goes_to_entry() && world.connections[&c].entry == index
                    }),
                };
                self.take_waiting(is_for);
                self.at_entry(index, EntryEvent::Tick, true);
            }
            Heal::WakeAgent(index, life, lag_us) if self.agents[index].life == life => {
                self.agents[index].is_frozen = false;
                self.agents[index].lag_us += lag_us;
                let is_for = |world: &Self, item: &Item| match item {
                    Item::Ended { agent, .. } => *agent == index,
                    _ => item.connection().is_some_and(|c| {
                        !item.goes_to_entry() && world.connections[&c].agent == index
                    }),
                };
                self.take_waiting(is_for);
                self.at_agent(index, AgentEvent::Tick, true);
            }
            Heal::ReplaceTarget(index) => self.targets[index].is_up = true,
            Heal::WakeTarget(index) => self.targets[index].is_frozen = false,
            Heal::Return(index) => self.targets[index].is_leaving = false,
            Heal::Mend(entry, agent, way) => drop(self.cuts.remove(&(entry, agent, way))),
            Heal::MendAndClose(entry, agent, way) => {
                self.cuts.remove(&(entry, agent, way));
                self.close_link(entry, agent, |_| true);
            }
            _ => {}
        }
    }

    /// A process that wakes takes all that waits before it starts or places anything.
    fn take_waiting(&mut self, is_for: impl Fn(&Self, &Item) -> bool) {
        let due = self.items.range(..=(self.now_us, u64::MAX));
        let open = due.filter(|(_, item)| is_for(self, item) && !self.is_blocked(item));
        let keys: Vec<_> = open.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(item) = self.items.remove(&key) {
                self.deliver(item, false);
            }
        }
    }
}
