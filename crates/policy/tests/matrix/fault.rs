//! Injection of faults into a simulation, and recovery from them.

use dfs_ids::Incarnation;
use dfs_policy::agent::AgentEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::entry::EntryEvent;
use dfs_wire::session::TaskOutcome;

use crate::link::Connection;
use crate::link::Delivery;
use crate::link::Direction;
use crate::node;
use crate::node::Node;
use crate::world::REPLACE_US;
use crate::world::Simulation;

/// Longer than every lease and the retention of results together.
const LONG_OUTAGE_US: u64 = 10_000_000;
/// Shorter than every lease.
const SHORT_OUTAGE_US: u64 = 800_000;
/// Longer than the near deadline, shorter than every lease.
const STALL_US: u64 = 1_500_000;
/// Time until a target that withdrew its announcement announces itself again, and until a replaced
/// connection is read to its end.
const RECONNECT_US: u64 = 400_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    CrashEntry,
    CrashAgent,
    CrashTarget,
    PauseEntry,
    /// The clock of the process is paused as well, so that it does not jump on resumption.
    PauseEntryWithClock,
    PauseEntryShort,
    PauseAgent,
    PauseAgentWithClock,
    PauseAgentShort,
    PauseTarget,
    /// A connection closes after everything in flight has arrived.
    Close,
    /// A connection closes and loses everything in flight.
    Reset,
    ResetToEntry,
    ResetToAgent,
    /// The agent attaches over a new connection before the entry has read the old one to its end.
    ReconnectOverlap,
    /// As above, but the entry reads the old connection only after the new session has opened.
    ReconnectOverlapLate,
    PartitionBoth,
    PartitionToEntry,
    PartitionToAgent,
    /// Everything in flight arrives after the link is restored.
    PartitionBothShort,
    PartitionToEntryShort,
    PartitionToAgentShort,
    PartitionTarget,
    PartitionToTarget,
    PartitionFromTarget,
    /// The next delivery arrives [`SHORT_OUTAGE_US`] later.
    Delayed,
    Duplicated,
    /// The next delivery arrives after all others that are due.
    Reordered,
    Dropped,
    Cancel,
    Goodbye,
    StopEntry,
    StopAgent,
    /// Nothing arrives until the near deadline of every submission has passed.
    Stall,
}

/// What a fault applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    Entry,
    Agent,
    Link,
    Caller,
    NextDelivery,
}

/// A fault; fields outside the scope of its kind are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    pub kind: Kind,
    pub entry: usize,
    pub agent: usize,
    pub caller: usize,
}

/// Scheduled end of a fault. An incarnation guards against ending a fault of an earlier one, and a number
/// next to it is the clock lag to add.
#[derive(Debug, Clone, Copy)]
pub enum Recovery {
    ReplaceEntry(usize, Incarnation),
    ReplaceAgent(usize, Incarnation),
    ReplaceTarget(usize),
    ResumeEntry(usize, Incarnation, u64),
    ResumeAgent(usize, Incarnation, u64),
    ResumeTarget(usize),
    RestoreLink(usize, usize, Direction),
    RestoreAndCloseLink(usize, usize, Direction),
    ReannounceTarget(usize),
}

impl Kind {
    pub const ALL: [Self; 34] = [
        Self::CrashEntry,
        Self::CrashAgent,
        Self::CrashTarget,
        Self::PauseEntry,
        Self::PauseEntryWithClock,
        Self::PauseEntryShort,
        Self::PauseAgent,
        Self::PauseAgentWithClock,
        Self::PauseAgentShort,
        Self::PauseTarget,
        Self::Close,
        Self::Reset,
        Self::ResetToEntry,
        Self::ResetToAgent,
        Self::ReconnectOverlap,
        Self::ReconnectOverlapLate,
        Self::PartitionBoth,
        Self::PartitionToEntry,
        Self::PartitionToAgent,
        Self::PartitionBothShort,
        Self::PartitionToEntryShort,
        Self::PartitionToAgentShort,
        Self::PartitionTarget,
        Self::PartitionToTarget,
        Self::PartitionFromTarget,
        Self::Delayed,
        Self::Duplicated,
        Self::Reordered,
        Self::Dropped,
        Self::Cancel,
        Self::Goodbye,
        Self::StopEntry,
        Self::StopAgent,
        Self::Stall,
    ];

    pub fn scope(self) -> Scope {
        match self {
            Self::CrashEntry
            | Self::PauseEntry
            | Self::PauseEntryWithClock
            | Self::PauseEntryShort
            | Self::StopEntry => Scope::Entry,
            Self::CrashAgent
            | Self::CrashTarget
            | Self::PauseAgent
            | Self::PauseAgentWithClock
            | Self::PauseAgentShort
            | Self::PauseTarget
            | Self::PartitionTarget
            | Self::PartitionToTarget
            | Self::PartitionFromTarget
            | Self::Goodbye
            | Self::StopAgent => Scope::Agent,
            Self::Close
            | Self::Reset
            | Self::ResetToEntry
            | Self::ResetToAgent
            | Self::ReconnectOverlap
            | Self::ReconnectOverlapLate
            | Self::PartitionBoth
            | Self::PartitionToEntry
            | Self::PartitionToAgent
            | Self::PartitionBothShort
            | Self::PartitionToEntryShort
            | Self::PartitionToAgentShort => Scope::Link,
            Self::Cancel => Scope::Caller,
            Self::Delayed | Self::Duplicated | Self::Reordered | Self::Dropped | Self::Stall => {
                Scope::NextDelivery
            }
        }
    }

    /// Whether every accepted submission must still complete: no process that holds tasks dies or is
    /// silent past a lease.
    pub fn is_harmless(self) -> bool {
        matches!(
            self,
            Self::PauseEntryShort
                | Self::PauseAgentShort
                | Self::PauseTarget
                | Self::Close
                | Self::Reset
                | Self::ResetToEntry
                | Self::ResetToAgent
                | Self::ReconnectOverlap
                | Self::ReconnectOverlapLate
                | Self::PartitionBothShort
                | Self::PartitionToEntryShort
                | Self::PartitionToAgentShort
                | Self::PartitionToTarget
                | Self::PartitionFromTarget
                | Self::Delayed
                | Self::Duplicated
                | Self::Reordered
                | Self::Goodbye
                | Self::StopEntry
                | Self::StopAgent
        )
    }
}

impl Simulation {
    pub fn schedule_recovery(&mut self, delay_us: u64, recovery: Recovery) {
        let at_us = self.now_us + delay_us;
        self.last_disturbance_us = self.last_disturbance_us.max(at_us);
        self.recoveries.push((at_us, recovery));
    }

    pub fn inject(&mut self, fault: Fault) {
        let Fault { entry, agent, .. } = fault;
        self.last_disturbance_us = self.last_disturbance_us.max(self.now_us);
        match fault.kind {
            Kind::CrashEntry if self.entries[entry].state.is_some() => self.terminate_entry(entry),
            Kind::CrashAgent if self.agents[agent].state.is_some() => self.terminate_agent(agent),
            Kind::CrashEntry | Kind::CrashAgent => {}
            Kind::CrashTarget => self.crash_target(agent),
            Kind::PauseEntry => self.pause_entry(entry, LONG_OUTAGE_US, 0),
            Kind::PauseEntryWithClock => self.pause_entry(entry, LONG_OUTAGE_US, LONG_OUTAGE_US),
            Kind::PauseEntryShort => self.pause_entry(entry, SHORT_OUTAGE_US, 0),
            Kind::PauseAgent => self.pause_agent(agent, LONG_OUTAGE_US, 0),
            Kind::PauseAgentWithClock => self.pause_agent(agent, LONG_OUTAGE_US, LONG_OUTAGE_US),
            Kind::PauseAgentShort => self.pause_agent(agent, SHORT_OUTAGE_US, 0),
            Kind::PauseTarget => {
                self.targets[agent].is_paused = true;
                self.schedule_recovery(LONG_OUTAGE_US, Recovery::ResumeTarget(agent));
            }
            Kind::Close => self.close_link(entry, agent, |_| false),
            Kind::Reset => self.close_link(entry, agent, |_| true),
            Kind::ResetToEntry => self.close_link(entry, agent, Delivery::goes_to_entry),
            Kind::ResetToAgent => {
                self.close_link(entry, agent, |delivery| !delivery.goes_to_entry());
            }
            Kind::ReconnectOverlap => self.reconnect_before_close(entry, agent, 0),
            Kind::ReconnectOverlapLate => self.reconnect_before_close(entry, agent, RECONNECT_US),
            Kind::PartitionBoth => {
                self.partition(entry, agent, Direction::ToEntry, LONG_OUTAGE_US);
                self.partition(entry, agent, Direction::ToAgent, LONG_OUTAGE_US);
            }
            Kind::PartitionToEntry => {
                self.partition(entry, agent, Direction::ToEntry, LONG_OUTAGE_US);
            }
            Kind::PartitionToAgent => {
                self.partition(entry, agent, Direction::ToAgent, LONG_OUTAGE_US);
            }
            Kind::PartitionBothShort => {
                self.partition(entry, agent, Direction::ToEntry, SHORT_OUTAGE_US);
                self.partition(entry, agent, Direction::ToAgent, SHORT_OUTAGE_US);
            }
            Kind::PartitionToEntryShort => {
                self.partition(entry, agent, Direction::ToEntry, SHORT_OUTAGE_US);
            }
            Kind::PartitionToAgentShort => {
                self.partition(entry, agent, Direction::ToAgent, SHORT_OUTAGE_US);
            }
            Kind::PartitionTarget => {
                self.partition(0, agent, Direction::ToTarget, LONG_OUTAGE_US);
                self.partition(0, agent, Direction::FromTarget, LONG_OUTAGE_US);
                self.disconnect_runs(agent);
            }
            Kind::PartitionToTarget => {
                self.partition(0, agent, Direction::ToTarget, SHORT_OUTAGE_US);
            }
            Kind::PartitionFromTarget => {
                self.partition(0, agent, Direction::FromTarget, SHORT_OUTAGE_US);
            }
            Kind::Delayed | Kind::Duplicated | Kind::Reordered | Kind::Dropped => {
                self.disturb(fault.kind);
            }
            Kind::Cancel => self.push(Delivery::Cancel(fault.caller)),
            Kind::Goodbye => {
                self.targets[agent].is_leaving = true;
                self.handle_at_agent(agent, AgentEvent::TargetGoodbye, true);
                self.schedule_recovery(RECONNECT_US, Recovery::ReannounceTarget(agent));
            }
            Kind::StopEntry => self.handle_at_entry(entry, EntryEvent::Shutdown, true),
            Kind::StopAgent => self.handle_at_agent(agent, AgentEvent::Shutdown, true),
            Kind::Stall => self.stall(),
        }
    }

    fn pause_entry(&mut self, index: usize, duration_us: u64, clock_lag_us: u64) {
        if self.entries[index].is_running() {
            self.entries[index].is_paused = true;
            let incarnation = self.entries[index].incarnation;
            self.schedule_recovery(
                duration_us,
                Recovery::ResumeEntry(index, incarnation, clock_lag_us),
            );
        }
    }

    fn pause_agent(&mut self, index: usize, duration_us: u64, clock_lag_us: u64) {
        if self.agents[index].is_running() {
            self.agents[index].is_paused = true;
            let incarnation = self.agents[index].incarnation;
            self.schedule_recovery(
                duration_us,
                Recovery::ResumeAgent(index, incarnation, clock_lag_us),
            );
        }
    }

    fn crash_target(&mut self, agent: usize) {
        self.targets[agent].is_up = false;
        self.disconnect_runs(agent);
        self.schedule_recovery(REPLACE_US, Recovery::ReplaceTarget(agent));
    }

    /// Ends the runs on a target with an unknown outcome, as if their connections broke.
    fn disconnect_runs(&mut self, target: usize) {
        let now_us = self.now_us;
        let runs = self.in_flight.extract_if(
            ..,
            |_, delivery| matches!(delivery, Delivery::RunEnded { agent, .. } if *agent == target),
        );
        let runs: Vec<_> = runs.map(|(_, delivery)| delivery).collect();
        for delivery in runs {
            if let Delivery::RunEnded {
                agent,
                incarnation,
                task,
                ..
            } = delivery
            {
                let end = RunEnd::Finished(TaskOutcome::Unknown("the connection broke".to_owned()));
                let serial = self.next_serial();
                let delivery = Delivery::RunEnded {
                    agent,
                    incarnation,
                    task,
                    end,
                };
                self.in_flight.insert((now_us, serial), delivery);
            }
        }
    }

    fn close_link(&mut self, entry: usize, agent: usize, is_lost: impl Fn(&Delivery) -> bool) {
        for connection in self.connections_of(entry, agent) {
            self.in_flight.retain(|_, delivery| {
                delivery.connection() != Some(connection) || !is_lost(delivery)
            });
            self.close_at_agent(connection);
        }
    }

    fn reconnect_before_close(&mut self, entry: usize, agent: usize, delay_us: u64) {
        for connection in self.connections_of(entry, agent) {
            self.close_at_agent(connection);
            if self.agents[agent].is_running() {
                self.dial(agent);
            }
            let old: Vec<_> = self
                .in_flight
                .extract_if(.., |_, delivery| delivery.connection() == Some(connection))
                .collect();
            for (_, delivery) in old {
                self.push_after(delay_us, delivery);
            }
        }
    }

    fn partition(&mut self, entry: usize, agent: usize, direction: Direction, duration_us: u64) {
        self.partitions.insert((entry, agent, direction));
        let is_link = matches!(direction, Direction::ToEntry | Direction::ToAgent);
        let recovery = if is_link && duration_us == LONG_OUTAGE_US {
            Recovery::RestoreAndCloseLink(entry, agent, direction)
        } else {
            Recovery::RestoreLink(entry, agent, direction)
        };
        self.schedule_recovery(duration_us, recovery);
    }

    fn disturb(&mut self, kind: Kind) {
        let Some(key) = self
            .next_key()
            .filter(|key| self.in_flight[key].may_be_disturbed())
        else {
            return;
        };
        let delivery = self.in_flight[&key].clone();
        // Messages travel over a byte stream, which loses one only together with its connection.
        if let (Kind::Dropped, Delivery::Message(connection, _)) = (kind, &delivery) {
            let Connection { entry, agent, .. } = self.connections[connection];
            return self.close_link(entry, agent, |_| true);
        }
        match kind {
            Kind::Delayed => {
                self.in_flight.remove(&key);
                self.push_after(SHORT_OUTAGE_US, delivery);
                self.last_disturbance_us =
                    self.last_disturbance_us.max(self.now_us + SHORT_OUTAGE_US);
            }
            Kind::Duplicated => self.push(delivery),
            Kind::Reordered => {
                self.in_flight.remove(&key);
                self.push(delivery);
            }
            _ => drop(self.in_flight.remove(&key)),
        }
        if kind == Kind::Dropped {
            self.last_disturbance_us = self.last_disturbance_us.max(self.now_us + LONG_OUTAGE_US);
        }
    }

    fn stall(&mut self) {
        self.now_us += STALL_US;
        self.last_disturbance_us = self.last_disturbance_us.max(self.now_us);
        for index in 0..self.entries.len() {
            if self.entries[index].is_running() {
                self.handle_at_entry(index, EntryEvent::Tick, true);
            }
        }
    }

    pub fn apply_due_recoveries(&mut self) {
        let now_us = self.now_us;
        let due: Vec<_> = self
            .recoveries
            .extract_if(.., |(at, _)| *at <= now_us)
            .collect();
        for (_, recovery) in due {
            self.apply_recovery(recovery);
        }
    }

    fn apply_recovery(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::ReplaceEntry(index, old) if self.entries[index].incarnation == old => {
                let incarnation = self.next_incarnation();
                self.entries[index] = Node::new(node::entry(index, incarnation), incarnation);
            }
            Recovery::ReplaceAgent(index, old) if self.agents[index].incarnation == old => {
                let incarnation = self.next_incarnation();
                self.agents[index] = Node::new(node::agent(incarnation), incarnation);
            }
            Recovery::ResumeEntry(index, incarnation, clock_lag_us)
                if self.entries[index].incarnation == incarnation =>
            {
                self.entries[index].is_paused = false;
                self.entries[index].clock_lag_us += clock_lag_us;
                let is_for = |sim: &Self, delivery: &Delivery| match delivery {
                    Delivery::Submit(caller) => sim.callers[*caller].entry == index,
                    _ => delivery.connection().is_some_and(|c| {
                        delivery.goes_to_entry() && sim.connections[&c].entry == index
                    }),
                };
                self.deliver_backlog(is_for);
                self.handle_at_entry(index, EntryEvent::Tick, true);
            }
            Recovery::ResumeAgent(index, incarnation, clock_lag_us)
                if self.agents[index].incarnation == incarnation =>
            {
                self.agents[index].is_paused = false;
                self.agents[index].clock_lag_us += clock_lag_us;
                let is_for = |sim: &Self, delivery: &Delivery| match delivery {
                    Delivery::RunEnded { agent, .. } => *agent == index,
                    _ => delivery.connection().is_some_and(|c| {
                        !delivery.goes_to_entry() && sim.connections[&c].agent == index
                    }),
                };
                self.deliver_backlog(is_for);
                self.handle_at_agent(index, AgentEvent::Tick, true);
            }
            Recovery::ReplaceTarget(index) => self.targets[index].is_up = true,
            Recovery::ResumeTarget(index) => self.targets[index].is_paused = false,
            Recovery::ReannounceTarget(index) => self.targets[index].is_leaving = false,
            Recovery::RestoreLink(entry, agent, direction) => {
                self.partitions.remove(&(entry, agent, direction));
            }
            Recovery::RestoreAndCloseLink(entry, agent, direction) => {
                self.partitions.remove(&(entry, agent, direction));
                self.close_link(entry, agent, |_| true);
            }
            _ => {}
        }
    }

    /// Delivers everything that has arrived at a process while it was paused, without a flush, so that the
    /// process starts or places nothing before it has read all of it.
    fn deliver_backlog(&mut self, is_for: impl Fn(&Self, &Delivery) -> bool) {
        let due = self.in_flight.range(..=(self.now_us, u64::MAX));
        let deliverable =
            due.filter(|(_, delivery)| is_for(self, delivery) && !self.is_blocked(delivery));
        let keys: Vec<_> = deliverable.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(delivery) = self.in_flight.remove(&key) {
                self.deliver(delivery, false);
            }
        }
    }
}
