//! Tests of `status`.

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;

/// Status of an entry with one group and one target; `lowest` is the lowest version in its failure
/// domain.
pub fn status(entry: &str, version: u64, lowest: u64) -> Value {
    json!({
        "entry": entry,
        "domain": "aba",
        "version": version,
        "config_age_ms": 20,
        "ready": true,
        "open_submissions": 1,
        "session_messages": 30,
        "tasks_settled": 10,
        "domains": [
            {"domain": "aba", "lowest": lowest, "highest": version, "processes": 3},
        ],
        "groups": [
            {"group": "printers", "share": 1.5, "queued": 2, "placed": 3, "busy_ms": 400},
        ],
        "targets": [{
            "target": "desk-1",
            "agent": "agent-1",
            "domain": "aba",
            "services": ["price-check"],
            "slots": 8,
            "placed": 3,
            "ejected": false,
            "version": version,
            "silent_ms": 12,
        }],
    })
}

#[googletest::test]
fn statuses_of_several_entries_are_merged() {
    let first = FakeEntry::always(Reply::Json(200, status("e1", 42, 42)));
    let mut second_status = status("e2", 41, 40);
    second_status["targets"][0]["silent_ms"] = json!(5);
    second_status["targets"][0]["ejected"] = json!(true);
    let second = FakeEntry::always(Reply::Json(200, second_status));
    let tool = Tool::new("status --output json").entry(&first);
    let view = tool.entry(&second).run().expect(0).json();
    expect_that!(view["entries"].as_array().unwrap().len(), eq(2));
    let domains = json!([{"domain": "aba", "lowest": 40, "highest": 42, "processes": 3}]);
    expect_that!(view["domains"], eq(&domains));
    expect_that!(view["groups"][0]["queued"], eq(4));
    expect_that!(view["groups"][0]["busy_ms"], eq(800));
    expect_that!(view["targets"].as_array().unwrap().len(), eq(1));
    expect_that!(view["targets"][0]["placed"], eq(6));
    expect_that!(view["targets"][0]["silent_ms"], eq(5));
    expect_that!(view["targets"][0]["ejected_by"], eq(1));
    expect_that!(view["missing"], eq(&json!([])));
}

#[googletest::test]
fn the_table_shows_groups_targets_and_versions() {
    let entry = FakeEntry::always(Reply::Json(200, status("e1", 42, 42)));
    let run = Tool::new("status").entry(&entry).run().expect(0);
    for text in [
        "e1",
        "aba",
        "42",
        "printers",
        "desk-1",
        "price-check",
        "20 ms",
    ] {
        expect_that!(run.stdout, contains_substring(text));
    }
}

#[googletest::test]
fn unreachable_entry_is_listed_as_missing() {
    let entry = FakeEntry::always(Reply::Json(200, status("e1", 42, 42)));
    let tool = Tool::new("status --entry 127.0.0.1:1").entry(&entry);
    let run = tool.run().expect(3);
    expect_that!(run.stdout, contains_substring("missing: "));
    expect_that!(run.stdout, contains_substring("printers"));
}
