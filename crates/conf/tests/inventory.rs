//! Validation of inventories: all errors are reported, each with its path, and also warnings.

use dfs_conf::Inventory;
use dfs_conf::ValidationErrors;
use dfs_conf::check_inventory;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const DIGEST_A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const DIGEST_B: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

fn valid_inventory() -> Value {
    let target = |name: &str, cores: u32| {
        json!({
            "target": name, "domain": "aba", "rack": "r1", "services": ["desk"],
            "slots": 8, "connections": 64, "resources": {"cpu_millis": cores * 1000, "memory_mib": 65_536},
        })
    };
    json!({
        "domains": ["aba"],
        "operators": [{"operator": "ada", "token_sha256": DIGEST_A}],
        "services": [{"service": "desk", "requires": {"cpu_millis": 8000}}],
        "groups": [
            {"group": "printers", "share": 2.5, "tokens_sha256": [DIGEST_B], "services": ["desk"]},
        ],
        "targets": [target("t1", 16), target("t2", 4)],
    })
}

/// The valid inventory with the value at a JSON pointer replaced.
fn inventory_with(pointer: &str, value: Value) -> Value {
    let mut document = valid_inventory();
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(elements) => elements[name.parse::<usize>().unwrap()] = value,
        _ => parent[name] = value,
    }
    document
}

fn validation_errors(document: &Value) -> Vec<String> {
    let result = check_inventory(document);
    let text = result.err().map(|e| e.to_string()).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

fn warnings(document: &Value) -> Vec<String> {
    let inventory: Inventory = check_inventory(document).unwrap();
    inventory
        .warnings()
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[googletest::test]
fn a_valid_inventory_has_no_errors_or_warnings() {
    expect_that!(validation_errors(&valid_inventory()), is_empty());
    expect_that!(warnings(&valid_inventory()), is_empty());
}

/// Replaced values, each with the start of the only error that it must cause.
fn invalid_reference_cases() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        (
            "/groups/0/services",
            json!(["desk", "dusk"]),
            "groups[0].services[1]: dusk is not a known service; known: desk",
        ),
        (
            "/groups/0/targets",
            json!(["t3"]),
            "groups[0].targets[0]: t3 is not a known target; known: t1, t2",
        ),
        (
            "/targets/1/domain",
            json!("lagos"),
            "targets[1].domain: lagos is not a known failure domain; known: aba",
        ),
        (
            "/targets/1/services",
            json!(["dusk"]),
            "targets[1].services[0]: dusk is not a known service",
        ),
        (
            "/targets/1/target",
            json!("t1"),
            "targets[1].target: t1 is already used by targets[0].target",
        ),
        (
            "/domains",
            json!(["aba", "aba"]),
            "domains[1]: aba is already used by domains[0]",
        ),
        (
            "/groups/0/services",
            json!(["desk", "desk"]),
            "groups[0].services[1]: desk is already used by groups[0].services[0]",
        ),
        (
            "/groups/0/tokens_sha256",
            json!([DIGEST_A]),
            "groups[0].tokens_sha256[0]: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\
             aaaaaaaaaaaa is already used by operators[0].token_sha256",
        ),
    ]
}

/// Replaced values, each with the start of the only error that it must cause.
fn invalid_value_cases() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        (
            "/groups/0/share",
            json!(0),
            "groups[0].share: 0 is out of range; allowed: 0.000001 to 1000000",
        ),
        (
            "/groups/0/share",
            json!(-1),
            "groups[0].share: -1 is out of",
        ),
        (
            "/groups/0/share",
            json!("much"),
            "groups[0].share: \"much\" is not valid",
        ),
        (
            "/groups/0/tokens_sha256",
            json!(["abc"]),
            "groups[0].tokens_sha256[0]: \"abc\" is not valid: a SHA-256 digest has 64",
        ),
        (
            "/groups/0/tokens_sha256",
            json!([]),
            "groups[0].tokens_sha256: empty; at least one token digest is needed",
        ),
        (
            "/groups/0/max_placed",
            json!(0),
            "groups[0].max_placed: 0 is out of range",
        ),
        (
            "/operators",
            json!([]),
            "operators: empty; at least one operator is needed",
        ),
        (
            "/operators/0/operator",
            json!(""),
            "operators[0].operator: empty",
        ),
        ("/targets/0/slots", json!(0), "targets[0].slots: 0 is out"),
        (
            "/targets/0/connections",
            json!(0),
            "targets[0].connections: 0 is out of range",
        ),
        ("/targets/0/rack", json!(""), "targets[0].rack: empty"),
        (
            "/targets/0/resources/memory_gb",
            json!(64),
            "targets[0].resources.memory_gb: unknown unit; write it as memory_mib",
        ),
        (
            "/targets/0/zone",
            json!("z"),
            "targets[0].zone: unknown field; allowed: ",
        ),
    ]
}

#[googletest::test]
fn each_error_names_path_and_value() {
    for (pointer, value, expected) in invalid_reference_cases()
        .into_iter()
        .chain(invalid_value_cases())
    {
        let errors = validation_errors(&inventory_with(pointer, value));
        expect_that!(errors, elements_are![starts_with(expected)]);
    }
}

#[googletest::test]
fn a_queue_without_a_limit_of_failed_runs_differs_from_one_that_does_not_name_it() {
    let read = |max_failures: Option<Value>| {
        let mut queue = json!({
            "queue": "quotes", "host": "desk.example", "prefix": "/quotes/", "group": "printers",
            "service": "desk",
        });
        if let Some(max_failures) = max_failures {
            queue["max_failures"] = max_failures;
        }
        let inventory = check_inventory(&inventory_with("/queues", json!([queue])))?;
        Ok::<_, ValidationErrors>(inventory.queues[0].clone())
    };
    expect_that!(read(None).unwrap().max_failures, some(eq(1)));
    let limited = read(Some(json!(2))).unwrap();
    expect_that!(limited.max_failures, some(eq(2)));
    expect_that!(json!(limited)["max_failures"], eq(&json!(2)));
    let unlimited = read(Some(Value::Null)).unwrap();
    expect_that!(unlimited.max_failures, none());
    expect_that!(json!(unlimited)["max_failures"], eq(&Value::Null));
    let error = read(Some(json!(0))).unwrap_err().to_string();
    expect_that!(
        error,
        starts_with("queues[0].max_failures: 0 is out of range")
    );
}

#[googletest::test]
fn an_error_lists_at_most_eight_known_names() {
    let domains: Vec<String> = (0..20).map(|n| format!("d{n}")).collect();
    let errors = validation_errors(&inventory_with("/domains", json!(domains)));
    let expected = "aba is not a known failure domain; known: d0, d1, d2, d3, d4, d5, d6, d7 and \
                    12 more";
    expect_that!(errors, each(ends_with(expected)));
}

#[googletest::test]
fn a_share_that_is_not_finite_is_rejected() {
    let mut inventory = check_inventory(&valid_inventory()).unwrap();
    for share in [f64::NAN, f64::INFINITY] {
        inventory.groups[0].share = share;
        expect_that!(inventory.check(), err(anything()));
    }
}

#[googletest::test]
fn errors_of_all_sections_are_reported_together() {
    let mut document = inventory_with("/groups/0/share", json!(0));
    document["targets"][0]["slots"] = json!(0);
    document["targets"][1]["domain"] = json!("lagos");
    document["operators"] = json!([]);
    expect_that!(validation_errors(&document), len(eq(4)));
}

#[googletest::test]
fn a_value_that_cannot_be_deserialized_causes_only_one_error() {
    let document = inventory_with("/targets/0/target", json!("a b"));
    expect_that!(validation_errors(&document), len(eq(1)));
    let document = inventory_with("/groups/0", json!(7));
    expect_that!(
        validation_errors(&document),
        elements_are![starts_with("groups[0]: 7 is not valid")]
    );
}

#[googletest::test]
fn a_group_may_name_any_target_if_the_inventory_lists_none() {
    let mut document = inventory_with("/targets", json!([]));
    document["groups"][0]["targets"] = json!(["t9"]);
    expect_that!(validation_errors(&document), is_empty());
    expect_that!(warnings(&document), is_empty());
}

#[googletest::test]
fn services_and_slots_that_cannot_be_used_cause_warnings() {
    let cases = [
        (
            "/services/0/requires/cpu_millis",
            json!(32_000),
            "service desk: no target that runs it has 32000 millicores, 0 MiB of memory and 0 acc",
        ),
        (
            "/groups/0/targets",
            json!(["t2"]),
            "group printers: none of its targets can run service desk",
        ),
        (
            "/targets/1/connections",
            json!(7),
            "target t2: 7 connections do not serve 8 slots at once",
        ),
        (
            "/services",
            json!([{"service": "desk"}, {"service": "dusk"}]),
            "service dusk: no target of the inventory runs it",
        ),
    ];
    for (pointer, value, expected) in cases {
        let warnings = warnings(&inventory_with(pointer, value));
        expect_that!(warnings, elements_are![starts_with(expected)]);
    }
}
