//! Tests of the `load` command.

use std::collections::BTreeMap;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::bench::TOKEN;
use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;
use crate::fake::tasks;

/// A mix of about forty submissions with up to four tasks each.
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

fn run_load(entry: &FakeEntry, mix: &Value, code: i32) -> Value {
    let tool = Tool::new("load --output json").entry(entry);
    tool.json(mix).run().expect(code).json()
}

fn sum_field(rows: &Value, field: &str) -> u64 {
    let rows = rows.as_array().unwrap();
    rows.iter().map(|row| row[field].as_u64().unwrap()).sum()
}

fn submissions_with_outcome(report: &Value, outcome: &str, not_run: bool) -> u64 {
    let rows = report["outcomes"].as_array().unwrap();
    let mut rows = rows.iter();
    let row = rows.find(|r| r["outcome"] == outcome && r["not_run"] == not_run);
    row.map_or(0, |row| row["submissions"].as_u64().unwrap())
}

#[googletest::test]
fn totals_in_the_report_match_the_requests_that_the_entry_received() {
    let entry = FakeEntry::counting(Reply::Echo);
    let report = run_load(&entry, &mix(), 0);
    let requests = entry.received();
    let task_count: usize = requests.iter().map(|r| tasks(&r.body).len()).sum();
    let submissions = requests.len() as u64;
    expect_that!(submissions, gt(6));
    expect_that!(
        submissions_with_outcome(&report, "complete", false),
        eq(submissions)
    );
    expect_that!(report["offered"]["submissions"], eq(submissions));
    expect_that!(report["goodput"]["tasks"], eq(task_count as u64));
    expect_that!(
        sum_field(&report["outcomes"], "tasks"),
        eq(task_count as u64)
    );
    for rows in ["groups", "classes"] {
        expect_that!(sum_field(&report[rows], "submissions"), eq(submissions));
        expect_that!(sum_field(&report[rows], "complete"), eq(submissions));
    }
    let bars = &report["overall"]["ratio_histogram"];
    expect_that!(sum_field(bars, "submissions"), eq(submissions));
    let messages = &report["messages"]["counted"];
    expect_that!(messages["tasks_settled"], eq(task_count as u64));
    expect_that!(messages["per_task"], eq(2.0));
}

#[googletest::test]
fn the_same_seed_sends_the_same_work() {
    let run_times_by_serial = |seed: &str| -> BTreeMap<u64, Vec<Value>> {
        let entry = FakeEntry::always(Reply::Echo);
        let tool = Tool::new("load --seed").arg(seed).entry(&entry);
        tool.json(&mix()).run().expect(0);
        let submissions = entry
            .received()
            .into_iter()
            .filter(|request| request.submission.is_some());
        submissions
            .map(|request| {
                let id = request.submission.unwrap();
                let serial = id.rsplit('-').next().unwrap().parse().unwrap();
                let run_times = tasks(&request.body)
                    .into_iter()
                    .map(|t| t["run_ms"].clone());
                (serial, run_times.collect())
            })
            .collect()
    };
    expect_that!(run_times_by_serial("7"), eq(&run_times_by_serial("7")));
    expect_that!(run_times_by_serial("7"), not(eq(&run_times_by_serial("8"))));
}

#[googletest::test]
fn an_echo_of_another_task_is_a_wrong_answer() {
    let entry = FakeEntry::counting(Reply::WrongEcho);
    let report = run_load(&entry, &mix(), 30);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(
        submissions_with_outcome(&report, "wrong_answer", false),
        eq(submissions)
    );
    expect_that!(report["goodput"]["submissions"], eq(0));
    expect_that!(report["overall"]["ratio"], eq(&Value::Null));
}

#[googletest::test]
fn a_missing_result_is_a_wrong_answer() {
    let answer = json!({"outcome": "complete", "results": []});
    let report = run_load(&FakeEntry::counting(Reply::Json(200, answer)), &mix(), 30);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(
        submissions_with_outcome(&report, "wrong_answer", false),
        eq(submissions)
    );
}

#[googletest::test]
fn failures_are_counted_by_reason_and_by_not_run() {
    for not_run in [true, false] {
        let answer = json!({"outcome": "failed", "failure": {
            "reason": "overloaded", "message": "later", "not_run": not_run,
        }});
        let report = run_load(&FakeEntry::counting(Reply::Json(429, answer)), &mix(), 0);
        let submissions = report["offered"]["submissions"].as_u64().unwrap();
        expect_that!(
            submissions_with_outcome(&report, "overloaded", not_run),
            eq(submissions)
        );
        let expected = if not_run { submissions } else { 0 };
        expect_that!(report["overall"]["not_run"], eq(expected));
    }
}

#[googletest::test]
fn broken_and_lost_replies_are_counted_separately() {
    let broken = Reply::Json(502, json!("bad gateway"));
    for (reply, outcome) in [(broken, "broken_reply"), (Reply::Disconnect, "reply_lost")] {
        let report = run_load(&FakeEntry::counting(reply), &mix(), 0);
        let submissions = report["offered"]["submissions"].as_u64().unwrap();
        expect_that!(
            submissions_with_outcome(&report, outcome, false),
            eq(submissions)
        );
    }
}

#[googletest::test]
fn open_submissions_are_limited_and_the_load_ends_after_the_drain_time() {
    let mut mix = mix();
    mix["max_open"] = json!(4);
    mix["drain_ms"] = json!(1_000);
    let entry = FakeEntry::counting(Reply::Hang);
    let report = run_load(&entry, &mix, 0);
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(
        submissions_with_outcome(&report, "unfinished", false),
        eq(4)
    );
    expect_that!(
        submissions_with_outcome(&report, "not_sent", true),
        eq(submissions - 4)
    );
    expect_that!(entry.received().len(), le(4));
}

#[googletest::test]
fn a_load_that_reaches_no_entry_fails() {
    let tool = Tool::new("load --output json --entry 127.0.0.1:1");
    let report = tool.json(&mix()).run().expect(3).json();
    let submissions = report["offered"]["submissions"].as_u64().unwrap();
    expect_that!(
        submissions_with_outcome(&report, "unreachable", true),
        eq(submissions)
    );
    let reason = report["messages"]["unknown"].as_str().unwrap();
    expect_that!(reason, contains_substring("no operator's token"));
}

#[googletest::test]
fn non_loopback_entries_are_refused_unless_the_mix_allows_them() {
    let tool = Tool::new("load --entry 127.0.0.1:1 --entry 192.0.2.1:80");
    let run = tool.json(&mix()).run().expect(2);
    expect_that!(run.stderr, contains_substring("192.0.2.1:80"));
    expect_that!(run.stderr, contains_substring("allow_remote"));
}

#[googletest::test]
fn an_invalid_mix_is_refused_with_the_path_of_the_value() {
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
    for (path, value, expected_message) in cases {
        let mut invalid_mix = mix();
        invalid_mix["duration_ms"] = json!(3_600_000);
        *invalid_mix.pointer_mut(path).unwrap() = value;
        let tool = Tool::new("load --entry 127.0.0.1:1");
        let run = tool.json(&invalid_mix).run().expect(21);
        expect_that!(run.stderr, contains_substring(expected_message));
    }
}

#[googletest::test]
fn the_shipped_mixes_are_valid() {
    for mix in ["member-desk", "returns-svc"] {
        let path = format!("{}/mixes/{mix}.json", env!("CARGO_MANIFEST_DIR"));
        // The fake entry refuses the tokens in the shipped mixes, hence `broken_reply` below.
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
