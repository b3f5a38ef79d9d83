//! Tests of `job` and `request`.

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;

/// Page with the table of failure reasons, HTTP statuses and exit codes.
const API_PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");
const JOB: &str = r#"{"service":"returns","tasks":[{"school":17},{"school":18}]}"#;

fn failure(reason: &str, not_run: bool, retry_after_ms: Option<u64>) -> Value {
    json!({
        "outcome": "failed",
        "failure": {
            "reason": reason,
            "message": "what to do",
            "not_run": not_run,
            "retry_after_ms": retry_after_ms,
        },
    })
}

#[googletest::test]
fn complete_answer_is_printed_and_exits_with_0() {
    let entry = FakeEntry::always(Reply::Echo);
    let run = Tool::new("job submit").entry(&entry).file(JOB).run();
    let run = run.expect(0);
    expect_that!(run.stdout, contains_substring(r#"{"school":18}"#));
    expect_that!(run.stderr, eq(""), "no progress without a terminal");
    let received = entry.received();
    expect_that!(received.len(), eq(1));
    expect_that!(received[0].line, eq("POST /v1/jobs"));
}

#[googletest::test]
fn job_from_standard_input_keeps_its_order_and_name_in_json_output() {
    let entry = FakeEntry::always(Reply::Echo);
    let line = "job submit --output json --submission desk-17 --deadline-ms 900 -";
    let run = Tool::new(line).entry(&entry).stdin(JOB).run().expect(0);
    let answer = run.json();
    expect_that!(answer["submission"], eq("desk-17"));
    expect_that!(
        answer["results"],
        eq(&json!([{"school": 17}, {"school": 18}]))
    );
    expect_that!(entry.received()[0].body["deadline_ms"], eq(900));
}

#[googletest::test]
fn each_failure_reason_has_its_exit_code() {
    let codes = [
        ("bad_request", 400, 10),
        ("too_large", 413, 10),
        ("body_timeout", 408, 10),
        ("impossible", 422, 10),
        ("unknown_token", 401, 11),
        ("forbidden", 403, 11),
        ("unknown_submission", 404, 12),
        ("key_unavailable", 503, 13),
        ("overloaded", 429, 13),
        ("deadline_unreachable", 503, 13),
        ("no_target", 503, 13),
        ("not_ready", 503, 13),
        ("retries_exhausted", 503, 13),
        ("key_conflict", 409, 14),
        ("cancelled", 409, 15),
        ("deadline_exceeded", 504, 16),
        ("task_failed", 502, 17),
        ("outcome_unknown", 502, 18),
    ];
    let page = std::fs::read_to_string(API_PAGE).unwrap();
    for (reason, status, code) in codes {
        let mut rows = page.lines();
        let start = format!("| `{reason}` | {status} | ");
        let row = rows.find(|row| row.starts_with(&start)).unwrap_or_default();
        expect_that!(
            row,
            ends_with(format!("| {code} |")),
            "{reason} in docs/API.md"
        );
        let entry = FakeEntry::new([Reply::Json(status, failure(reason, false, None))]);
        let run = Tool::new("job submit").entry(&entry).file(JOB).run();
        let run = run.expect(code);
        expect_that!(run.stdout, contains_substring(reason));
        expect_that!(run.stdout, contains_substring("what to do"));
    }
}

#[googletest::test]
fn tasks_that_may_have_run_are_listed() {
    let mut answer = failure("outcome_unknown", false, None);
    answer["failure"]["may_have_run"] = json!([0, 1, 2, 5]);
    answer["failure"]["faults"] = json!([{"task": 1, "message": "status 500"}]);
    let entry = FakeEntry::new([Reply::Json(502, answer)]);
    let run = Tool::new("job submit").entry(&entry).file(JOB).run();
    let run = run.expect(18);
    expect_that!(run.stdout, contains_substring("0-2 5 "));
    expect_that!(run.stdout, contains_substring("status 500"));
}

#[googletest::test]
fn submission_without_request_key_is_never_retried() {
    let refused = Reply::Json(429, failure("overloaded", true, Some(1)));
    for (reply, code) in [(refused, 13), (Reply::Disconnect, 4)] {
        let entry = FakeEntry::always(reply);
        let run = Tool::new("job submit").entry(&entry).file(JOB).run();
        run.expect(code);
        expect_that!(entry.received().len(), eq(1));
    }
}

#[googletest::test]
fn submission_with_request_key_is_retried_if_no_task_ran() {
    let refused = Reply::Json(429, failure("overloaded", true, Some(1)));
    let entry = FakeEntry::new([refused.clone(), refused, Reply::Echo]);
    let tool = Tool::new("job submit --request-key census-17").entry(&entry);
    tool.file(JOB).run().expect(0);
    let received = entry.received();
    expect_that!(received.len(), eq(3));
    expect_that!(received[2].body["request_key"], eq("census-17"));
}

#[googletest::test]
fn submission_with_request_key_is_retried_only_if_the_answer_allows_it() {
    let may_have_run = Reply::Json(504, failure("deadline_exceeded", false, Some(1)));
    let no_retry = Reply::Json(409, failure("key_conflict", true, None));
    for (reply, code) in [(may_have_run, 16), (no_retry, 14), (Reply::Disconnect, 4)] {
        let entry = FakeEntry::always(reply);
        let tool = Tool::new("job submit --request-key census-17").entry(&entry);
        tool.file(JOB).run().expect(code);
        expect_that!(entry.received().len(), eq(1));
    }
}

#[googletest::test]
fn retries_are_limited_by_the_option() {
    let refused = Reply::Json(429, failure("overloaded", true, Some(1)));
    let entry = FakeEntry::always(refused);
    let tool = Tool::new("job submit --request-key k --retries 2").entry(&entry);
    tool.file(JOB).run().expect(13);
    expect_that!(entry.received().len(), eq(3));
}

#[googletest::test]
fn partial_answers_and_answers_to_other_submissions_are_errors() {
    let partial = json!({"outcome": "complete", "results": [1]});
    let results_and_failed = json!({"outcome": "failed", "results": [1, 2]});
    let other_submission = json!({"submission": "x", "outcome": "complete", "results": [1, 2]});
    for answer in [
        partial,
        results_and_failed,
        other_submission,
        json!({"results": []}),
    ] {
        let entry = FakeEntry::new([Reply::Json(200, answer)]);
        let run = Tool::new("job submit").entry(&entry).file(JOB).run();
        let run = run.expect(5);
        expect_that!(run.stdout, eq(""));
    }
}

#[googletest::test]
fn entry_that_refuses_the_connection_is_skipped() {
    let live = FakeEntry::always(Reply::Echo);
    let tool = Tool::new("job submit --entry 127.0.0.1:1").entry(&live);
    tool.file(JOB).run().expect(0);
    let tool = Tool::new("job submit --token t --entry 127.0.0.1:1");
    let run = tool.file(JOB).run().expect(3);
    expect_that!(run.stderr, contains_substring("nothing was sent"));
}

#[googletest::test]
fn request_is_sent_with_its_body_and_the_repeatable_flag() {
    let entry = FakeEntry::always(Reply::Echo);
    let line = "request send --service price-check --repeatable -";
    let tool = Tool::new(line).entry(&entry);
    let run = tool.stdin(r#"{"item":"diary-a5"}"#).run().expect(0);
    expect_that!(run.stdout, contains_substring("diary-a5"));
    let request = &entry.received()[0];
    expect_that!(request.line, eq("POST /v1/requests"));
    expect_that!(request.body["repeatable"], eq(true));
    expect_that!(request.body["body"]["item"], eq("diary-a5"));
}

#[googletest::test]
fn cancel_asks_each_entry_until_one_has_the_submission() {
    let unknown = Reply::Json(404, failure("unknown_submission", false, None));
    let other = FakeEntry::always(unknown);
    let holder = FakeEntry::always(Reply::Json(204, Value::Null));
    let tool = Tool::new("job cancel desk-17").entry(&other).entry(&holder);
    tool.run().expect(0);
    expect_that!(holder.received()[0].line, eq("DELETE /v1/jobs/desk-17"));
    let tool = Tool::new("job cancel desk-17").entry(&other).entry(&other);
    tool.run().expect(12);
}

#[googletest::test]
fn cancel_reports_the_failure_of_an_entry_that_may_have_the_submission() {
    let unknown = Reply::Json(404, failure("unknown_submission", false, None));
    let other = FakeEntry::always(unknown);
    let tool = Tool::new("job cancel desk-17 --entry 127.0.0.1:1").entry(&other);
    tool.run().expect(3);
}

#[googletest::test]
fn first_interrupt_cancels_and_second_stops_waiting() {
    let entry = FakeEntry::new([Reply::Hang, Reply::Json(204, Value::Null)]);
    let tool = Tool::new("job submit --submission desk-17").entry(&entry);
    let running = tool.file(JOB).spawn();
    entry.await_received(1);
    running.interrupt();
    entry.await_received(2);
    expect_that!(entry.received()[1].line, eq("DELETE /v1/jobs/desk-17"));
    running.interrupt();
    let run = running.wait().expect(4);
    expect_that!(run.stderr, contains_substring("desk-17"));
}
