//! What an entry sends to agents besides tasks: configurations that their configuration source has not
//! delivered, and the interval of load hints.

use std::collections::BTreeMap;
use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::Report;
use googletest::prelude::*;

const AGENT: ConnectionId = ConnectionId(1);
const OTHER_AGENTS: [ConnectionId; 2] = [ConnectionId(2), ConnectionId(3)];

/// An entry under test with what it has sent to its agents.
struct TestEntry {
    entry: Entry,
    now: Moment,
    /// Number of the session on each connection, and of its next report.
    sessions: BTreeMap<ConnectionId, (SessionNumber, u64)>,
    /// Agents that were asked for their configuration.
    asked: Vec<ConnectionId>,
    /// Probes of agents for their version.
    probes: usize,
    /// Version held by the agent at each configuration offer.
    offered_from: Vec<ConfigVersion>,
    sent_hint_intervals_ms: Vec<Millis>,
}

impl TestEntry {
    /// An entry with one agent whose configuration source is another entry. Both hold version 1.
    fn new() -> Self {
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings::default(),
            propagation_ms: Millis::new(1_000),
        };
        let mut entry = Self {
            entry: Entry::new(identity, 1),
            now: Moment::from_millis(10_000),
            sessions: BTreeMap::new(),
            asked: Vec::new(),
            probes: 0,
            offered_from: Vec::new(),
            sent_hint_intervals_ms: Vec::new(),
        };
        entry.configure(1);
        entry.attach(AGENT);
        entry
    }

    /// Opens the session of an agent that holds version 1.
    fn attach(&mut self, connection: ConnectionId) {
        self.handle(EntryEvent::Attach {
            connection,
            attach: Attach {
                secret: "secret".to_owned(),
                agent: format!("agent-{}", connection.0).parse().unwrap(),
                incarnation: Incarnation::new(2),
                domain: "lagos".parse().unwrap(),
                takeover: None,
            },
        });
        let number = self.sessions.len() as u64 + 1;
        self.sessions
            .insert(connection, (SessionNumber::new(number), 0));
        let held = HeldTasks {
            tasks: Vec::new(),
            may_lack_records: false,
        };
        self.report_on(connection, vec![AgentItem::Held(held)]);
        self.report_version_on(connection, 1);
    }

    fn configure(&mut self, version: u64) {
        let inventory = Inventory {
            domains: Vec::new(),
            operators: Vec::new(),
            services: Vec::new(),
            groups: Vec::new(),
            queues: Vec::new(),
            targets: Vec::new(),
        };
        self.handle(EntryEvent::Configured(Arc::new(Config {
            version: ConfigVersion::new(version),
            inventory,
            rules: Rules::default(),
        })));
    }

    fn report_version(&mut self, version: u64) {
        self.report_version_on(AGENT, version);
    }

    fn report_version_on(&mut self, connection: ConnectionId, version: u64) {
        self.report_version_as(connection, version, false);
    }

    /// Reports the version of an agent that has this entry as the source of its configuration.
    fn report_client_version(&mut self, version: u64) {
        self.report_version_as(AGENT, version, true);
    }

    fn report_version_as(
        &mut self,
        connection: ConnectionId,
        version: u64,
        is_config_client: bool,
    ) {
        let version = ConfigVersion::new(version);
        let items = vec![AgentItem::Version(version, is_config_client)];
        self.report_on(connection, items);
    }

    fn report_on(&mut self, connection: ConnectionId, items: Vec<AgentItem>) {
        let (session, next_seq) = self.sessions.get_mut(&connection).unwrap();
        let report = Report {
            session: *session,
            seq: *next_seq,
            items,
        };
        *next_seq += 1;
        self.handle(EntryEvent::Report { connection, report });
    }

    fn report_after(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.report_on(AGENT, Vec::new());
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = self.entry.handle(self.now, event);
        actions.extend(self.entry.flush(self.now));
        for action in actions {
            match action {
                EntryAction::OfferConfig { have, .. } => self.offered_from.push(have),
                EntryAction::Reply { reply: Ok(ack), .. } => {
                    self.sent_hint_intervals_ms.extend(ack.hint_ms);
                }
                EntryAction::Send {
                    connection,
                    message,
                } => {
                    for item in message.items {
                        match item {
                            EntryItem::WantConfig => self.asked.push(connection),
                            EntryItem::Probe => self.probes += 1,
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
        }
    }
}

#[googletest::test]
fn an_agent_is_offered_once_a_version_that_its_source_has_not_delivered_in_time() {
    let mut entry = TestEntry::new();
    entry.configure(2);
    entry.report_after(500);
    expect_that!(entry.offered_from, is_empty());
    entry.report_after(600);
    entry.report_after(600);
    expect_that!(
        entry.offered_from,
        elements_are![eq(&ConfigVersion::new(1))]
    );
}

#[googletest::test]
fn an_agent_has_at_most_one_update_that_it_has_not_confirmed() {
    let mut entry = TestEntry::new();
    entry.report_client_version(1);
    for version in 2..=40 {
        entry.now = entry.now + Millis::new(50);
        entry.configure(version);
    }
    let first = ConfigVersion::new(1);
    expect_that!(entry.offered_from, elements_are![eq(&first)]);
    entry.report_client_version(2);
    let second = ConfigVersion::new(2);
    expect_that!(entry.offered_from, elements_are![eq(&first), eq(&second)]);
    entry.report_client_version(40);
    expect_that!(entry.offered_from, len(eq(2)));
}

#[googletest::test]
fn an_agent_that_confirms_no_version_is_sent_the_whole_configuration() {
    let mut entry = TestEntry::new();
    entry.report_client_version(1);
    entry.configure(2);
    entry.report_after(3_900);
    expect_that!(entry.offered_from, len(eq(1)));
    entry.report_after(200);
    let (held, none) = (ConfigVersion::new(1), ConfigVersion::default());
    expect_that!(entry.offered_from, elements_are![eq(&held), eq(&none)]);
}

#[googletest::test]
fn an_agent_whose_source_delivers_nothing_is_offered_versions_in_quick_succession() {
    let mut entry = TestEntry::new();
    for version in 2..=40 {
        entry.configure(version);
        entry.report_after(50);
    }
    let held = ConfigVersion::new(1);
    expect_that!(entry.offered_from, elements_are![eq(&held)]);
}

#[googletest::test]
fn an_agent_that_rarely_reports_is_asked_for_its_version_before_it_is_offered_one() {
    let mut entry = TestEntry::new();
    entry.configure(2);
    for _ in 0..3 {
        entry.now = entry.now + Millis::new(1_000);
        entry.handle(EntryEvent::Tick);
    }
    expect_that!(entry.probes, eq(1));
    expect_that!(entry.offered_from, is_empty());
    entry.report_version(2);
    entry.report_after(500);
    expect_that!(entry.offered_from, is_empty());
}

#[googletest::test]
fn an_agent_that_holds_the_version_is_offered_nothing() {
    let mut entry = TestEntry::new();
    entry.configure(2);
    entry.report_version(2);
    entry.report_after(3_000);
    expect_that!(entry.offered_from, is_empty());
}

#[googletest::test]
fn other_agents_are_asked_for_a_newer_version_when_the_first_does_not_answer() {
    let mut entry = TestEntry::new();
    entry.attach(OTHER_AGENTS[0]);
    entry.attach(OTHER_AGENTS[1]);
    for agent in OTHER_AGENTS.into_iter().chain([AGENT]) {
        entry.report_version_on(agent, 2);
    }
    entry.report_after(1_000);
    expect_that!(entry.asked, len(eq(1)));
    entry.report_after(500);
    expect_that!(entry.asked, len(eq(1)));
    entry.report_after(500);
    expect_that!(
        entry.asked,
        unordered_elements_are![eq(&AGENT), eq(&OTHER_AGENTS[0]), eq(&OTHER_AGENTS[1])]
    );
}

#[googletest::test]
fn an_agent_is_sent_an_unchanged_hint_interval_only_once() {
    let mut entry = TestEntry::new();
    entry.report_after(100);
    entry.report_after(100);
    let interval_ms = Rules::default().placement.hint_cadence_ms;
    expect_that!(
        entry.sent_hint_intervals_ms,
        elements_are![eq(&interval_ms)]
    );
}
