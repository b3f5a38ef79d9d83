//! Tests of `inventory`, `rules` and `config`.

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::bench::Run;
use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;
use crate::status::status;

fn inventory(share: f64) -> Value {
    let digest = "ab".repeat(32);
    json!({
        "domains": ["aba", "lagos"],
        "operators": [{"operator": "ada", "token_sha256": digest}],
        "services": [{
            "service": "price-check",
            "requires": {"cpu_millis": 1000, "memory_mib": 64, "accelerators": 0},
        }],
        "groups": [{
            "group": "printers",
            "share": share,
            "tokens_sha256": ["cd".repeat(32)],
            "services": ["price-check"],
            "targets": [],
        }],
        "targets": [],
    })
}

fn config_reply(version: u64) -> Reply {
    let config = json!({"version": version, "inventory": inventory(1.0), "rules": {}});
    Reply::Json(200, config)
}

fn accepted_reply(version: u64) -> Reply {
    Reply::Json(200, json!({"version": version}))
}

fn store_unavailable() -> Reply {
    let error = json!({"reason": "store_unavailable", "message": "no reply"});
    Reply::Json(503, error)
}

fn conflict(winner: u64, change: &str) -> Reply {
    let error = json!({"reason": "conflict", "winner": winner, "winner_change": change});
    Reply::Json(409, error)
}

fn apply(entry: &FakeEntry, options: &str) -> Run {
    let tool = Tool::new("inventory apply").entry(entry);
    let tool = options.split_whitespace().fold(tool, Tool::arg);
    tool.json(&inventory(2.0)).run()
}

/// Change ids of the apply calls, in order.
fn sent_change_ids(entry: &FakeEntry) -> Vec<Value> {
    let posts = entry
        .received()
        .into_iter()
        .filter(|r| r.line.starts_with("POST"));
    posts.map(|r| r.body["change"].clone()).collect()
}

#[googletest::test]
fn apply_is_based_on_the_head_version_and_prints_the_new_one() {
    let entry = FakeEntry::new([config_reply(41), accepted_reply(42)]);
    let run = apply(&entry, "--output json").expect(0);
    let received = entry.received();
    expect_that!(run.json()["version"], eq(42));
    expect_that!(run.json()["change"], eq(&received[1].body["change"]));
    expect_that!(received[1].body["base"], eq(41));
    expect_that!(received[1].body["inventory"], eq(&inventory(2.0)));
    expect_that!(received[1].body.get("rules"), none());
}

#[googletest::test]
fn rules_are_applied_without_an_inventory() {
    let entry = FakeEntry::new([accepted_reply(8)]);
    let tool = Tool::new("rules apply --base 7").entry(&entry);
    tool.file(r#"{"retry":{"max_attempts":2}}"#).run().expect(0);
    let body = &entry.received()[0].body;
    expect_that!(body["rules"]["retry"]["max_attempts"], eq(2));
    expect_that!(body.get("inventory"), none());
}

#[googletest::test]
fn apply_is_retried_with_the_same_change_id_if_its_outcome_is_unknown() {
    let gateway = Reply::Json(502, json!("bad gateway"));
    for reply in [Reply::Disconnect, store_unavailable(), gateway] {
        let entry = FakeEntry::new([config_reply(41), reply, accepted_reply(42)]);
        let run = apply(&entry, "").expect(0);
        let change_ids = sent_change_ids(&entry);
        expect_that!(change_ids.len(), eq(2));
        expect_that!(change_ids[0], eq(&change_ids[1]));
        expect_that!(run.stdout, contains_substring("version 42"));
    }
}

#[googletest::test]
fn conflict_with_its_own_change_id_counts_as_accepted() {
    let entry = FakeEntry::new([Reply::Disconnect, conflict(42, "mine")]);
    let run = apply(&entry, "--base 41 --change mine").expect(0);
    expect_that!(run.stdout, contains_substring("version 42"));
}

#[googletest::test]
fn conflict_names_the_change_that_was_accepted_first() {
    let entry = FakeEntry::new([config_reply(41), conflict(43, "change-of-ada")]);
    let run = apply(&entry, "").expect(20);
    expect_that!(run.stderr, contains_substring("version 43"));
    expect_that!(run.stderr, contains_substring("change-of-ada"));
    expect_that!(sent_change_ids(&entry).len(), eq(1));
}

#[googletest::test]
fn unknown_outcome_is_reported_with_the_options_to_repeat_the_change() {
    let entry = FakeEntry::always(store_unavailable());
    let run = apply(&entry, "--base 41 --change mine --tries 2").expect(22);
    expect_that!(run.stderr, contains_substring("--base 41 --change mine"));
    expect_that!(sent_change_ids(&entry).len(), eq(2));
}

#[googletest::test]
fn outcome_stays_unknown_if_a_lost_reply_is_followed_by_a_refusal() {
    let refused = json!({"outcome": "failed", "failure": {
        "reason": "not_ready", "message": "stopping", "not_run": true,
    }});
    let entry = FakeEntry::new([Reply::Disconnect, Reply::Json(503, refused)]);
    apply(&entry, "--base 41 --tries 2").expect(22);
}

#[googletest::test]
fn entry_without_configuration_needs_base_0() {
    let refused = json!({"outcome": "failed", "failure": {
        "reason": "not_ready", "message": "holds none yet", "not_run": true,
    }});
    let entry = FakeEntry::new([Reply::Json(503, refused), accepted_reply(1)]);
    let run = apply(&entry, "").expect(13);
    expect_that!(run.stderr, contains_substring("--base 0"));
    apply(&entry, "--base 0").expect(0);
    expect_that!(entry.received()[1].body["base"], eq(0));
}

#[googletest::test]
fn all_faults_found_by_the_entry_are_printed() {
    let error = json!({"reason": "invalid", "faults": ["groups[0]: a", "groups[1]: b"]});
    let entry = FakeEntry::new([config_reply(41), Reply::Json(422, error)]);
    let run = apply(&entry, "").expect(21);
    expect_that!(run.stderr, contains_substring("groups[0]: a"));
    expect_that!(run.stderr, contains_substring("groups[1]: b"));
}

#[googletest::test]
fn token_without_operator_rights_is_denied() {
    let forbidden = || Reply::Json(403, json!({"reason": "forbidden"}));
    apply(&FakeEntry::always(forbidden()), "").expect(11);
    apply(&FakeEntry::always(forbidden()), "--base 1").expect(11);
    let entry = FakeEntry::always(forbidden());
    Tool::new("inventory show").entry(&entry).run().expect(11);
    Tool::new("status").entry(&entry).run().expect(11);
    let tool = Tool::new("config wait --version 1 --timeout-ms 60000");
    tool.entry(&entry).run().expect(11);
}

#[googletest::test]
fn invalid_document_is_reported_by_check_and_not_sent_by_apply() {
    let mut faulty = inventory(1.0);
    faulty["groups"][0]["share"] = json!("large");
    let run = Tool::new("inventory check").json(&faulty).run().expect(21);
    expect_that!(run.stderr, contains_substring("groups[0].share"));
    expect_that!(run.stderr, contains_substring("large"));
    let mut contradictory = inventory(-1.0);
    contradictory["groups"][0]["services"] = json!(["price-chekc"]);
    let run = Tool::new("inventory check").json(&contradictory).run();
    let run = run.expect(21);
    expect_that!(run.stderr, contains_substring("groups[0].share"));
    expect_that!(run.stderr, contains_substring("price-chekc"));
    let entry = FakeEntry::new([]);
    let tool = Tool::new("inventory apply").entry(&entry);
    tool.json(&faulty).run().expect(21);
    expect_that!(entry.received().len(), eq(0));
    Tool::new("inventory check")
        .json(&inventory(1.0))
        .run()
        .expect(0);
    Tool::new("rules check").file("{}").run().expect(0);
    Tool::new("rules check")
        .file(r#"{"nap":1}"#)
        .run()
        .expect(21);
}

#[googletest::test]
fn show_prints_a_document_that_can_be_applied_again() {
    let entry = FakeEntry::new([config_reply(41)]);
    let run = Tool::new("inventory show").entry(&entry).run().expect(0);
    expect_that!(run.json(), eq(&inventory(1.0)));
    expect_that!(run.stderr, contains_substring("version 41"));
}

#[googletest::test]
fn diff_matches_rows_by_name() {
    let mut file = inventory(2.0);
    let groups = file["groups"].as_array_mut().unwrap();
    let mut binders = groups[0].clone();
    binders["group"] = json!("binders");
    binders["tokens_sha256"] = json!(["ef".repeat(32)]);
    groups.insert(0, binders);
    let entry = FakeEntry::always(config_reply(41));
    let tool = Tool::new("inventory diff").entry(&entry);
    let run = tool.json(&file).run().expect(24);
    expect_that!(run.stdout, contains_substring("+ groups[binders]: "));
    expect_that!(
        run.stdout,
        contains_substring("~ groups[printers].share: 1.0 -> 2.0")
    );
    expect_that!(run.stdout.lines().count(), eq(2));
    let tool = Tool::new("inventory diff").entry(&entry);
    tool.json(&inventory(1.0)).run().expect(0);
}

#[googletest::test]
fn diff_ignores_omitted_defaults() {
    let mut file = inventory(1.0);
    let group = file["groups"][0].as_object_mut().unwrap();
    group.remove("targets");
    group["share"] = json!(1);
    file.as_object_mut().unwrap().remove("targets");
    let entry = FakeEntry::always(config_reply(41));
    let tool = Tool::new("inventory diff").entry(&entry);
    let run = tool.json(&file).run().expect(0);
    expect_that!(run.stdout, contains_substring("no differences"));
}

#[googletest::test]
fn wait_ends_when_every_entry_and_domain_has_the_version() {
    let lagging = status("e1", 41, 42);
    let up_to_date = status("e1", 42, 42);
    let first = FakeEntry::new([Reply::Json(200, lagging), Reply::Json(200, up_to_date)]);
    let second = FakeEntry::always(Reply::Json(200, status("e2", 43, 42)));
    let tool = Tool::new("config wait --version 42 --timeout-ms 60000");
    tool.entry(&first).entry(&second).run().expect(0);
    expect_that!(first.received().len(), eq(2));
}

#[googletest::test]
fn wait_timeout_names_lagging_entries_and_domains() {
    let entry = FakeEntry::always(Reply::Json(200, status("e1", 42, 41)));
    let tool = Tool::new("config wait --version 42 --timeout-ms 1 --entry 127.0.0.1:1");
    let run = tool.entry(&entry).run().expect(23);
    expect_that!(
        run.stderr,
        contains_substring("failure domain aba holds 41")
    );
    expect_that!(run.stderr, contains_substring("127.0.0.1:1"));
}
