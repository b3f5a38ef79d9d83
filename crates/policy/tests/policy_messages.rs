//! Messages of sessions with numbers at the limits of their types, or without some of their parts. They are refused by
//! the decoder or handled; neither an entry nor an agent ends.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::Group;
use dfs_conf::Inventory;
use dfs_conf::LeaseSettings;
use dfs_conf::Rules;
use dfs_conf::Service;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::entry::Constraints;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_policy::entry::Submission;
use dfs_wire::session::Ack;
use dfs_wire::session::AgentItem;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::Report;
use dfs_wire::session::Terms;
use dfs_wire::target::Announcement;
use dfs_wire::target::Resources;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::sample::select;
use proptest::strategy::Strategy;
use proptest::test_runner::Config as RunnerConfig;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use serde::Deserialize;
use serde_json::value::RawValue;

const CASES: u32 = 500;
const SEED: [u8; 32] = [9; 32];
const CONNECTION: ConnectionId = ConnectionId(1);
/// Stands for a number in the templates.
const NUMBER: char = '#';
/// Largest count of numbers in a template.
const MAX_NUMBERS: usize = 16;

const ANNOUNCEMENT: &str = r#"{"address":"127.0.0.1:1","lease_ms":#,"offer":{"target":"t","services":["desk"],
    "slots":#,"connections":#,"resources":{"cpu_millis":#,"memory_mib":#,"accelerators":#}}}"#;
const OPEN: &str = r#"{"open":{"entry":"e","incarnation":1,"domain":"lagos","resumed":false,"lease_ms":#,
    "busy_renew_ms":#,"idle_renew_ms":#,"version":null}}"#;
const ENTRY_ITEMS: [&str; 3] = [
    r#"{"place":["s","aba","desk",#,#,#,0,{"demand":{"cpu_millis":#,"memory_mib":#},"declared_ms":#,
        "repeatable":true,"label":"a"},{"job":"j","crashes":#},#,#,1]}"#,
    r#"{"place":["s","aba","desk",#,#,#,1,{"declared_ms":#},{"crashes":#},#,#,1]}"#,
    r#"{"given_up":[{"job":"j","task":#,"crashes":#,"is_confirmed":true}]}"#,
];
const AGENT_ITEMS: [&str; 6] = [
    r#"{"target":{"live":{"target":"t","services":["desk"],"slots":#,"connections":#,
        "resources":{"cpu_millis":#,"memory_mib":#,"accelerators":#}}}}"#,
    r#"{"load":{"window":#,"load_permille":#,"stretch_permille":#}}"#,
    r#"{"crashes":[{"number":#,"age_ms":#,"runs":[{"job":"s","task":#,"run_ms":#,"is_confirmed":true,
        "earlier_crashes":#}]}]}"#,
    r#"{"given_up":[{"job":"s","task":#,"crashes":#,"is_confirmed":true}]}"#,
    r#"{"results":[["s",0,#,#,#,0,1]]}"#,
    r#"{"version":[#,true]}"#,
];

fn runner() -> TestRunner {
    let config = RunnerConfig {
        cases: CASES,
        failure_persistence: None,
        ..RunnerConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Numbers for the templates, among them the limits of the integer types and values that no field takes.
fn numbers() -> impl Strategy<Value = Vec<&'static str>> {
    let number = select(vec![
        "0",
        "1",
        "1000",
        "4294967295",
        "18446744073709551615",
        "-1",
        "1e300",
        "\"1\"",
    ]);
    vec(number, MAX_NUMBERS)
}

/// Numbers that most fields take.
fn valid_numbers() -> impl Strategy<Value = Vec<&'static str>> {
    let number = select(vec!["0", "1", "1000", "4294967295", "18446744073709551615"]);
    vec(number, MAX_NUMBERS)
}

/// A template with its numbers filled in; `None` if the decoder refuses it.
fn decode<T: for<'de> Deserialize<'de>>(template: &str, numbers: &[&str]) -> Option<T> {
    let mut numbers = numbers.iter();
    let fill = |c: char| match c {
        NUMBER => (*numbers.next().unwrap()).to_owned(),
        other => other.to_string(),
    };
    let text: String = template.chars().map(fill).collect();
    serde_json::from_str(&text).ok()
}

/// Times of the events after a message: at once, within the leases, and long after.
fn later(now: Moment) -> [Moment; 3] {
    [0, 300, 100_000_000].map(|ms| now + Millis::new(ms))
}

/// Returns how many tasks the agent has started.
fn run_agent(open: EntryItem, items: Vec<EntryItem>, announcement: Option<Announcement>) -> usize {
    let now = Moment::from_millis(100_000);
    let mut agent = Agent::new(Incarnation::new(1), Millis::new(10_000));
    let mut starts = 0;
    let mut handle = |now: Moment, event: AgentEvent| {
        let mut actions = agent.handle(now, event);
        actions.extend(agent.flush(now));
        let is_start = |action: &&AgentAction| matches!(action, AgentAction::StartRun { .. });
        starts += actions.iter().filter(is_start).count();
        actions
    };
    if let Some(announcement) = announcement {
        handle(now, AgentEvent::TargetAnnounced(announcement));
    }
    for (seq, item) in (0..).zip(std::iter::once(open).chain(items)) {
        let message = EntryMessage {
            session: SessionNumber::new(1),
            seq,
            items: vec![item],
        };
        let connection = CONNECTION;
        let actions = handle(
            now,
            AgentEvent::Message {
                connection,
                message,
            },
        );
        for action in actions {
            if let AgentAction::SendReport { connection, report } = action {
                let (seq, ack) = (report.seq, Ack::default());
                handle(
                    now,
                    AgentEvent::ReportAcked {
                        connection,
                        seq,
                        ack,
                    },
                );
            }
        }
    }
    for now in later(now) {
        handle(now, AgentEvent::Tick);
    }
    starts
}

fn config() -> Arc<Config> {
    let group = Group {
        group: "aba".parse().unwrap(),
        share: 1.0,
        tokens_sha256: Vec::new(),
        services: vec!["desk".parse().unwrap()],
        targets: Vec::new(),
        max_placed: None,
    };
    Arc::new(Config {
        version: ConfigVersion::new(1),
        inventory: Inventory {
            domains: vec!["lagos".parse().unwrap()],
            operators: Vec::new(),
            services: vec![Service {
                service: "desk".parse().unwrap(),
                requires: Resources::default(),
            }],
            groups: vec![group],
            queues: Vec::new(),
            targets: Vec::new(),
        },
        rules: Rules::default(),
    })
}

fn submission(name: &str) -> Submission {
    Submission {
        id: name.parse().unwrap(),
        group: "aba".parse().unwrap(),
        service: "desk".parse().unwrap(),
        tasks: vec![Arc::from(RawValue::from_string("1".to_owned()).unwrap())],
        deadline_ms: Some(Millis::new(60_000)),
        terms: Terms {
            repeatable: true,
            ..Terms::default()
        },
        objective_ms: Some(Millis::new(60)),
        max_failures: Some(1),
        constraints: Constraints::default(),
        job: None,
        queue: None,
    }
}

/// Returns how many messages with tasks the entry has sent.
fn run_entry(items: Vec<AgentItem>) -> usize {
    let now = Moment::from_millis(100_000);
    let identity = Identity {
        entry: "entry".parse().unwrap(),
        domain: "lagos".parse().unwrap(),
        incarnation: Incarnation::new(1),
        lease: LeaseSettings::default(),
        propagation_ms: Millis::new(1_000),
    };
    let mut entry = Entry::new(identity, 7);
    let mut placements = 0;
    let mut handle = |now: Moment, event: EntryEvent| {
        let mut actions = entry.handle(now, event);
        actions.extend(entry.flush(now));
        let places_tasks = |action: &&EntryAction| matches!(action, EntryAction::Send { message, .. } if message.places_tasks());
        placements += actions.iter().filter(places_tasks).count();
    };
    handle(now, EntryEvent::Configured(config()));
    let attach = Attach {
        secret: "secret".to_owned(),
        agent: "agent".parse().unwrap(),
        incarnation: Incarnation::new(2),
        domain: "lagos".parse().unwrap(),
        takeover: None,
    };
    let connection = CONNECTION;
    handle(now, EntryEvent::Attach { connection, attach });
    let opening = r#"{"held":{"tasks":[],"forgotten":false}}"#;
    let opening = decode(opening, &[]).unwrap();
    let target = decode(AGENT_ITEMS[0], &["4"; MAX_NUMBERS]).unwrap();
    let load = decode(AGENT_ITEMS[1], &["100"; MAX_NUMBERS]).unwrap();
    let first = vec![opening, target, load];
    let reports = std::iter::once(first).chain(items.into_iter().map(|item| vec![item]));
    for (seq, items) in (0..).zip(reports) {
        let report = Report {
            session: SessionNumber::new(1),
            seq,
            items,
        };
        handle(now, EntryEvent::Report { connection, report });
        let name = if seq == 0 {
            "s".to_owned()
        } else {
            format!("s-{seq}")
        };
        handle(now, EntryEvent::Submit(submission(&name)));
    }
    for now in later(now) {
        handle(now, EntryEvent::Tick);
    }
    placements
}

#[googletest::test]
fn no_message_of_an_entry_ends_an_agent() {
    for numbers_of in [numbers().boxed(), valid_numbers().boxed()] {
        let fields = (
            valid_numbers(),
            valid_numbers(),
            vec((select(&ENTRY_ITEMS[..]), numbers_of), 1..4),
        );
        let result = runner().run(&fields, |(open, announcement, items)| {
            let items = items.iter();
            let items = items.filter_map(|(template, numbers)| decode(template, numbers));
            if let Some(open) = decode(OPEN, &open) {
                run_agent(open, items.collect(), decode(ANNOUNCEMENT, &announcement));
            }
            Ok(())
        });
        expect_that!(result, ok(anything()));
    }
}

#[googletest::test]
fn no_report_of_an_agent_ends_an_entry() {
    for numbers_of in [numbers().boxed(), valid_numbers().boxed()] {
        let items = vec((select(&AGENT_ITEMS[..]), numbers_of), 1..5);
        let result = runner().run(&items, |items| {
            let items = items.iter();
            let items = items.filter_map(|(template, numbers)| decode(template, numbers));
            run_entry(items.collect());
            Ok(())
        });
        expect_that!(result, ok(anything()));
    }
}

#[googletest::test]
fn usual_messages_lead_to_starts_and_placements() {
    let numbers = ["1000"; MAX_NUMBERS];
    let item = decode(ENTRY_ITEMS[1], &numbers).unwrap();
    let open = decode(OPEN, &numbers).unwrap();
    expect_that!(
        run_agent(open, vec![item], decode(ANNOUNCEMENT, &numbers)),
        eq(1)
    );
    expect_that!(run_entry(Vec::new()), eq(1));
}

#[googletest::test]
fn the_templates_are_messages() {
    let numbers = ["1"; MAX_NUMBERS];
    expect_true!(decode::<Announcement>(ANNOUNCEMENT, &numbers).is_some());
    for template in ENTRY_ITEMS.into_iter().chain([OPEN]) {
        expect_true!(
            decode::<EntryItem>(template, &numbers).is_some(),
            "{template}"
        );
    }
    for template in AGENT_ITEMS {
        expect_true!(
            decode::<AgentItem>(template, &numbers).is_some(),
            "{template}"
        );
    }
}
