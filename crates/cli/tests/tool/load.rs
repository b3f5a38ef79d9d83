//! `load`.

use std::collections::BTreeMap;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::bench::TOKEN;
use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;
use crate::fake::tasks;

/// About forty submissions of up to four tasks.
fn mix() -> Value {
    json!({
        "seed": 5,
        "rate_per_s": 200.0,
        "duration_ms": 200,
        "drain_ms": 60_000,
        "max_open": 100,
        "burst": {"every_ms": 90, "submissions": 3},
        "declared": {"min": 0.5, "max": 2.0},
        "groups": [
            {"group": "printers", "token": TOKEN, "service": "desk", "weight": 2.0},
            {"group": "binders", "token": TOKEN, "service": "desk", "weight": 1.0},
        ],
        "classes": [
            {"class": "one", "weight": 1.0, "submit": {"request": {"repeatable": true}}},
            {"class": "some", "weight": 1.0, "deadline_ms": 9000,
             "submit": {"job": {"min_tasks": 2, "max_tasks": 4}}},
        ],
        "run_times": [{"weight": 1.0, "min_ms": 50, "max_ms": 1000}],
    })
}

fn load(entry: &FakeEntry, mix: &Value, code: i32) -> Value {
    let tool = Tool::new("load --output json").entry(entry);
    tool.json(mix).run().expect(code).json()
}

fn sum(rows: &Value, field: &str) -> u64 {
    let rows = rows.as_array().unwrap();
    rows.iter().map(|row| row[field].as_u64().unwrap()).sum()
}

fn count(report: &Value, outcome: &str, not_run: bool) -> u64 {
    let rows = report["outcomes"].as_array().unwrap();
    let mut rows = rows.iter();
    let row = rows.find(|r| r["outcome"] == outcome && r["not_run"] == not_run);
    row.map_or(0, |row| row["submissions"].as_u64().unwrap())
}

#[googletest::test]
fn the_sums_of_the_report_agree_with_what_the_entry_received() {
    let entry = FakeEntry::counting(Reply::Echo);
    let report = load(&entry, &mix(), 0);
    let seen = entry.received();
    let received: usize = seen.iter().map(|s| tasks(&s.body).len()).sum();
    let submissions = seen.len() as u64;
    expect_that!(submissions, gt(6));
    expect_that!(count(&report, "complete", false), eq(submissions));
    expect_that!(report["offered"]["submissions"], eq(submissions));
    expect_that!(report["goodput"]["tasks"], eq(received as u64));
    expect_that!(sum(&report["outcomes"], "tasks"), eq(received as u64));
    for rows in ["groups", "classes"] {
        expect_that!(sum(&report[rows], "submissions"), eq(submissions));
        expect_that!(sum(&report[rows], "complete"), eq(submissions));
    }
    let bars = &report["overall"]["ratio_histogram"];
    expect_that!(sum(bars, "submissions"), eq(submissions));
    let messages = &report["messages"]["counted"];
    expect_that!(messages["tasks_settled"], eq(received as u64));
    expect_that!(messages["per_task"], eq(2.0));
}

#[googletest::test]
fn the_same_seed_sends_the_same_work() {
    let work = |seed: &str| -> BTreeMap<u64, Vec<Value>> {
        let entry = FakeEntry::always(Reply::Echo);
        let tool = Tool::new("load --seed").arg(seed).entry(&entry);
        tool.json(&mix()).run().expect(0);
        let seen = entry
            .received()
            .into_iter()
            .filter(|s| s.submission.is_some());
        seen.map(|s| {
            let name = s.submission.unwrap();
            let serial = name.rsplit('-').next().unwrap().parse().unwrap();
            let runs = tasks(&s.body).into_iter().map(|t| t["run_ms"].clone());
            (serial, runs.collect())
        })
        .collect()
    };
    expect_that!(work("7"), eq(&work("7")));
    expect_that!(work("7"), not(eq(&work("8"))));
}

#[googletest::test]
fn an_echo_of_another_task_is_a_wrong_answer() {
    let entry = FakeEntry::counting(Reply::WrongEcho);
    let report = load(&entry, &mix(), 30);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(count(&report, "wrong_answer", false), eq(submissions));
    expect_that!(report["goodput"]["submissions"], eq(0));
    expect_that!(report["overall"]["ratio"], eq(&Value::Null));
}

#[googletest::test]
fn a_missing_result_is_a_wrong_answer() {
    let answer = json!({"outcome": "complete", "results": []});
    let report = load(&FakeEntry::counting(Reply::Json(200, answer)), &mix(), 30);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(count(&report, "wrong_answer", false), eq(submissions));
}

#[googletest::test]
fn failures_are_counted_by_reason_and_not_run_apart() {
    for not_run in [true, false] {
        let answer = json!({"outcome": "failed", "failure": {
            "reason": "overloaded", "message": "later", "not_run": not_run,
        }});
        let report = load(&FakeEntry::counting(Reply::Json(429, answer)), &mix(), 0);
        let submissions = report["offered"]["submissions"].as_u64().unwrap();
        expect_that!(count(&report, "overloaded", not_run), eq(submissions));
        let expected = if not_run { submissions } else { 0 };
        expect_that!(report["overall"]["not_run"], eq(expected));
    }
}

#[googletest::test]
fn broken_and_lost_replies_are_counted_apart() {
    let broken = Reply::Json(502, json!("bad gateway"));
    for (reply, outcome) in [(broken, "broken_reply"), (Reply::Disconnect, "reply_lost")] {
        let report = load(&FakeEntry::counting(reply), &mix(), 0);
        let submissions = report["offered"]["submissions"].as_u64().unwrap();
        expect_that!(count(&report, outcome, false), eq(submissions));
    }
}

#[googletest::test]
fn open_submissions_are_bounded_and_the_load_stops_by_itself() {
    let mut mix = mix();
    mix["max_open"] = json!(4);
    mix["drain_ms"] = json!(1_000);
    let entry = FakeEntry::counting(Reply::Hang);
    let report = load(&entry, &mix, 0);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(count(&report, "unfinished", false), eq(4));
    expect_that!(count(&report, "not_sent", true), eq(submissions - 4));
    expect_that!(entry.received().len(), le(4));
}

#[googletest::test]
fn a_load_that_reaches_no_entry_fails() {
    let tool = Tool::new("load --output json --entry 127.0.0.1:1");
    let report = tool.json(&mix()).run().expect(3).json();
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(count(&report, "unreachable", true), eq(submissions));
    let why = report["messages"]["unknown"].as_str().unwrap();
    expect_that!(why, contains_substring("no operator's token"));
}

#[googletest::test]
fn only_loopback_entries_are_loaded_unless_the_mix_allows_others() {
    let tool = Tool::new("load --entry 127.0.0.1:1 --entry 192.0.2.1:80");
    let run = tool.json(&mix()).run().expect(2);
    expect_that!(run.stderr, contains_substring("192.0.2.1:80"));
    expect_that!(run.stderr, contains_substring("allow_remote"));
}

#[googletest::test]
fn faulty_mixes_are_named() {
    let cases = [
        ("/rate_per_s", json!(0), "rate_per_s is 0"),
        ("/rate_per_s", json!(20_000.0), "20000"),
        ("/duration_ms", json!(3_600_001), "duration_ms"),
        ("/max_open", json!(0), "max_open"),
        ("/groups", json!([]), "groups is empty"),
        ("/groups/0/weight", json!(-1.0), "groups[0].weight"),
        (
            "/classes/1/submit/job/max_tasks",
            json!(1),
            "max_tasks is 1",
        ),
        ("/run_times/0/max_ms", json!(49), "run_times[0].max_ms"),
        ("/run_times/0/weight", json!(0.0), "weights of run_times"),
        ("/burst/every_ms", json!(0), "burst.every_ms"),
        ("/declared/max", json!(0.1), "declared.max"),
    ];
    for (path, value, said) in cases {
        let mut faulty = mix();
        faulty["duration_ms"] = json!(3_600_000);
        *faulty.pointer_mut(path).unwrap() = value;
        let tool = Tool::new("load --entry 127.0.0.1:1");
        let run = tool.json(&faulty).run().expect(21);
        expect_that!(run.stderr, contains_substring(said));
    }
}

#[googletest::test]
fn the_mixes_that_are_shipped_can_be_sent() {
    for mix in ["member-desk", "returns-svc"] {
        let path = format!("{}/mixes/{mix}.json", env!("CARGO_MANIFEST_DIR"));
        // The fake entry refuses the tokens of the mixes.
        let entry = FakeEntry::counting(Reply::Echo);
        let tool = Tool::new("load --rate-per-s 50 --duration-ms 100").entry(&entry);
        let run = tool.arg(&path).run().expect(0);
        for text in [
            "goodput",
            "class ",
            "group ",
            "broken_reply",
            "messages per task",
        ] {
            expect_that!(run.stdout, contains_substring(text));
        }
    }
}
