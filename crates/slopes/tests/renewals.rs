//! Idle renewals must stay within their bandwidth from the first session after a restart of an
//! entry, and must not arrive in bursts.
//!
//! A session keeps the interval with which it was opened. If an entry computed it from the sessions
//! open so far, the first ones would renew far too often once all agents are attached.

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
/// Traffic limit of the control plane on one node.
const LIMIT_BYTES_PER_S: f64 = 4_096.0;
/// Approximate bytes of a renewal that carries nothing else, with its reply.
const RENEWAL_BYTES: f64 = 360.0;
const CONNECTION: ConnectionId = ConnectionId(1);

fn configured_entry() -> Entry {
    let identity = Identity {
        entry: "entry".parse().unwrap(),
        domain: "domain".parse().unwrap(),
        incarnation: Incarnation::new(1),
        lease: LeaseSettings::default(),
        propagation_ms: Millis::new(1_000),
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

fn attach_agent(entry: &mut Entry, n: u64) -> SessionParams {
    let attach = Attach {
        secret: String::new(),
        agent: format!("agent-{n}").parse().unwrap(),
        incarnation: Incarnation::new(n),
        domain: "domain".parse().unwrap(),
        takeover: None,
    };
    let connection = ConnectionId(n);
    let actions = entry.handle(Moment::default(), EntryEvent::Attach { connection, attach });
    let opened = |action| match action {
        EntryAction::Send { message, .. } => match message.items.into_iter().next() {
            Some(EntryItem::Open(params)) => Some(params),
            _ => None,
        },
        _ => None,
    };
    actions.into_iter().find_map(opened).unwrap()
}

#[gtest]
fn sessions_opened_one_by_one_stay_within_the_renewal_bandwidth() {
    let mut entry = configured_entry();
    let renewals_per_s = (0..SESSIONS).map(|n| {
        let interval_s = std::time::Duration::from(attach_agent(&mut entry, n).idle_renew_ms);
        // Agents renew at the earliest after half of the interval.
        2.0 / interval_s.as_secs_f64()
    });
    expect_that!(
        renewals_per_s.sum::<f64>() * RENEWAL_BYTES,
        le(LIMIT_BYTES_PER_S)
    );
}

/// Returns when the agent sends its first idle renewal after attaching, in steps of 100 ms.
fn first_renewal_step(params: &SessionParams, incarnation: u64) -> u64 {
    const STEP_US: u64 = 100_000;
    let start = Moment::default();
    let mut agent = Agent::new(Incarnation::new(incarnation), Millis::new(1_000));
    let message = EntryMessage {
        session: SessionNumber::default().next(),
        seq: 0,
        items: vec![EntryItem::Open(params.clone())],
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
fn agents_that_attach_together_spread_their_first_renewals() {
    const AGENTS: u64 = 200;
    let mut params = attach_agent(&mut configured_entry(), 0);
    params.idle_renew_ms = Millis::new(8_000);
    let mut renewals_by_second = [0; 9];
    for incarnation in 0..AGENTS {
        let step = first_renewal_step(&params, incarnation);
        expect_that!(step, all!(ge(40), le(80)));
        renewals_by_second[usize::try_from(step / 10).unwrap()] += 1;
    }
    expect_that!(renewals_by_second, each(le(80)));
}
