//! What an entry sends to agents besides tasks: configurations that their configuration source has not
//! delivered, and the interval of load hints.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_policy::ConnectionId;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::HeldTasks;
use dfs_wire::session::Report;
use googletest::prelude::*;

const AGENT: ConnectionId = ConnectionId(1);

/// An entry under test with what it has sent to its one agent.
struct TestEntry {
    entry: Entry,
    now: Moment,
    next_seq: u64,
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
            next_seq: 0,
            offered_from: Vec::new(),
            sent_hint_intervals_ms: Vec::new(),
        };
        entry.configure(1);
        entry.handle(EntryEvent::Attach {
            connection: AGENT,
            attach: Attach {
                secret: "secret".to_owned(),
                agent: "agent".parse().unwrap(),
                incarnation: Incarnation::new(2),
                domain: "lagos".parse().unwrap(),
                takeover: None,
            },
        });
        let held = HeldTasks {
            tasks: Vec::new(),
            may_lack_records: false,
        };
        entry.report(vec![AgentItem::Held(held)]);
        entry.report_version(1);
        entry
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
        let is_config_client = false;
        let version = ConfigVersion::new(version);
        self.report(vec![AgentItem::Version(version, is_config_client)]);
    }

    fn report(&mut self, items: Vec<AgentItem>) {
        let report = Report {
            session: dfs_ids::SessionNumber::new(1),
            seq: self.next_seq,
            items,
        };
        self.next_seq += 1;
        self.handle(EntryEvent::Report {
            connection: AGENT,
            report,
        });
    }

    fn report_after(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.report(Vec::new());
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
fn an_agent_that_holds_the_version_is_offered_nothing() {
    let mut entry = TestEntry::new();
    entry.configure(2);
    entry.report_version(2);
    entry.report_after(3_000);
    expect_that!(entry.offered_from, is_empty());
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
