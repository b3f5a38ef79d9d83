//! What an entry tells its agents: versions that their entry of choice does not bring, and the cadence of
//! their hints.

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

struct Bench {
    entry: Entry,
    now: Moment,
    seq: u64,
    offers: Vec<ConfigVersion>,
    told_hint_ms: Vec<Millis>,
}

impl Bench {
    /// An entry with one agent, which takes its configuration from another entry.
    fn new() -> Self {
        let identity = Identity {
            entry: "entry".parse().unwrap(),
            domain: "lagos".parse().unwrap(),
            incarnation: Incarnation::new(1),
            lease: LeaseSettings::default(),
        };
        let mut bench = Self {
            entry: Entry::new(identity, 1),
            now: Moment::from_millis(10_000),
            seq: 0,
            offers: Vec::new(),
            told_hint_ms: Vec::new(),
        };
        bench.configure(1);
        bench.handle(EntryEvent::Attach {
            connection: AGENT,
            attach: Attach {
                secret: "secret".to_owned(),
                agent: "agent".parse().unwrap(),
                incarnation: Incarnation::new(2),
                domain: "lagos".parse().unwrap(),
            },
        });
        let held = HeldTasks {
            tasks: Vec::new(),
            forgotten: false,
        };
        bench.report(vec![AgentItem::Held(held)]);
        bench.version(1);
        bench
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

    fn version(&mut self, version: u64) {
        let is_source = false;
        let version = ConfigVersion::new(version);
        self.report(vec![AgentItem::Version(version, is_source)]);
    }

    fn report(&mut self, items: Vec<AgentItem>) {
        let report = Report {
            session: dfs_ids::SessionNumber::new(1),
            seq: self.seq,
            items,
        };
        self.seq += 1;
        self.handle(EntryEvent::Report {
            connection: AGENT,
            report,
        });
    }

    fn after(&mut self, ms: u64) {
        self.now = self.now + Millis::new(ms);
        self.report(Vec::new());
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = self.entry.handle(self.now, event);
        actions.extend(self.entry.flush(self.now));
        for action in actions {
            match action {
                EntryAction::OfferConfig { have, .. } => self.offers.push(have),
                EntryAction::Reply { reply: Ok(ack), .. } => {
                    self.told_hint_ms.extend(ack.hint_ms);
                }
                _ => {}
            }
        }
    }
}

#[googletest::test]
fn an_agent_that_gets_no_version_from_its_entry_gets_it_from_another_one() {
    let mut bench = Bench::new();
    bench.configure(2);
    bench.after(500);
    expect_that!(bench.offers, is_empty());
    bench.after(600);
    bench.after(600);
    expect_that!(bench.offers, elements_are![eq(&ConfigVersion::new(1))]);
}

#[googletest::test]
fn an_agent_that_has_the_version_is_offered_nothing() {
    let mut bench = Bench::new();
    bench.configure(2);
    bench.version(2);
    bench.after(3_000);
    expect_that!(bench.offers, is_empty());
}

#[googletest::test]
fn an_agent_is_told_the_cadence_of_its_hints_once() {
    let mut bench = Bench::new();
    bench.after(100);
    bench.after(100);
    let cadence_ms = Rules::default().placement.hint_cadence_ms;
    expect_that!(bench.told_hint_ms, elements_are![eq(&cadence_ms)]);
}
