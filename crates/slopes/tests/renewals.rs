//! Idle renewals keep to their bytes from the first session after a restart on.

use std::sync::Arc;

use dfs_conf::Config;
use dfs_conf::LeaseSettings;
use dfs_ids::ConfigVersion;
use dfs_ids::Incarnation;
use dfs_ids::Millis;
use dfs_ids::Moment;
use dfs_ids::SessionNumber;
use dfs_policy::ConnectionId;
use dfs_policy::agent::Agent;
use dfs_policy::agent::AgentAction;
use dfs_policy::agent::AgentEvent;
use dfs_policy::entry::Entry;
use dfs_policy::entry::EntryAction;
use dfs_policy::entry::EntryEvent;
use dfs_policy::entry::Identity;
use dfs_wire::session::Ack;
use dfs_wire::session::Attach;
use dfs_wire::session::EntryItem;
use dfs_wire::session::EntryMessage;
use dfs_wire::session::SessionParams;
use googletest::prelude::*;
use serde_json::json;

const TARGETS: u64 = 3_900;
const SESSIONS: u64 = 1_300;
/// What a node may spend on control.
const LIMIT_BYTES_PER_S: f64 = 4_096.0;
const RENEWAL_BYTES: f64 = 360.0;
const CONNECTION: ConnectionId = ConnectionId(1);

fn entry() -> Entry {
    let identity = Identity {
        entry: "entry".parse().unwrap(),
        domain: "domain".parse().unwrap(),
        incarnation: Incarnation::new(1),
        lease: LeaseSettings::default(),
    };
    let target = |n| {
        json!({
            "target": format!("target-{n}"), "domain": "domain", "rack": "rack",
            "services": ["desk"], "slots": 8, "connections": 64,
            "resources": { "cpu_millis": 1000, "memory_mib": 1, "accelerators": 0 },
        })
    };
    let inventory = json!({
        "domains": ["domain"], "operators": [], "services": [], "groups": [],
        "targets": (0..TARGETS).map(target).collect::<Vec<_>>(),
    });
    let config = Config {
        version: ConfigVersion::new(1),
        inventory: serde_json::from_value(inventory).unwrap(),
        rules: dfs_conf::Rules::default(),
    };
    let mut entry = Entry::new(identity, 1);
    entry.handle(Moment::default(), EntryEvent::Configured(Arc::new(config)));
    entry
}

fn attach(entry: &mut Entry, n: u64) -> SessionParams {
    let attach = Attach {
        secret: String::new(),
        agent: format!("agent-{n}").parse().unwrap(),
        incarnation: Incarnation::new(n),
        domain: "domain".parse().unwrap(),
    };
    let connection = ConnectionId(n);
    let actions = entry.handle(Moment::default(), EntryEvent::Attach { connection, attach });
    let open = |action| match action {
        EntryAction::Send { message, .. } => match message.items.into_iter().next() {
            Some(EntryItem::Open(open)) => Some(open),
            _ => None,
        },
        _ => None,
    };
    actions.into_iter().find_map(open).unwrap()
}

#[gtest]
fn sessions_opened_one_by_one_keep_to_their_bytes_together() {
    let mut entry = entry();
    let renewals_per_s = (0..SESSIONS).map(|n| {
        let interval_s = std::time::Duration::from(attach(&mut entry, n).idle_renew_ms);
        // Half of the interval is the soonest.
        2.0 / interval_s.as_secs_f64()
    });
    expect_that!(
        renewals_per_s.sum::<f64>() * RENEWAL_BYTES,
        le(LIMIT_BYTES_PER_S)
    );
}

/// When the agent sends its first idle renewal, in steps of 100 ms.
fn first_renewal(open: &SessionParams, incarnation: u64) -> u64 {
    const STEP_US: u64 = 100_000;
    let start = Moment::default();
    let mut agent = Agent::new(Incarnation::new(incarnation), Millis::new(1_000));
    let message = EntryMessage {
        session: SessionNumber::default().next(),
        seq: 0,
        items: vec![EntryItem::Open(open.clone())],
    };
    let connection = CONNECTION;
    agent.handle(
        start,
        AgentEvent::Message {
            connection,
            message,
        },
    );
    agent.flush(start);
    let ack = Ack::default();
    agent.handle(
        start,
        AgentEvent::ReportAcked {
            connection,
            seq: 0,
            ack,
        },
    );
    let mut reports = (0..).map(|step| {
        let now = Moment::from_micros(step * STEP_US);
        agent.handle(now, AgentEvent::Tick);
        let actions = agent.flush(now);
        let is_report = |action: &AgentAction| matches!(action, AgentAction::SendReport { .. });
        (step, actions.iter().any(is_report))
    });
    reports
        .find_map(|(step, reported)| reported.then_some(step))
        .unwrap()
}

#[gtest]
fn agents_that_attach_together_do_not_renew_together() {
    const AGENTS: u64 = 200;
    let mut open = attach(&mut entry(), 0);
    open.idle_renew_ms = Millis::new(8_000);
    let mut by_second = [0; 9];
    for incarnation in 0..AGENTS {
        let step = first_renewal(&open, incarnation);
        expect_that!(step, all!(ge(40), le(80)));
        by_second[usize::try_from(step / 10).unwrap()] += 1;
    }
    expect_that!(by_second, each(le(80)));
}
