//! Checks the answers that callers got against the start logs of the targets.

use std::collections::BTreeMap;

use dfs_standin::StartLog;
use dfs_wire::api::Answer;
use dfs_wire::api::Outcome;
use serde_json::Value;
use serde_json::json;

use super::CallError;
use super::Record;
use super::load::SubmissionKind;

/// Number of starts by task id and attempt.
type Starts = BTreeMap<(String, u64), usize>;

/// Counts the starts of the load's tasks; starts of other tasks are ignored.
fn count_starts(start_logs: &[StartLog]) -> Starts {
    let mut starts = Starts::new();
    for start in start_logs.iter().flat_map(StartLog::all) {
        let echo = &start.body["echo"];
        if let (Some(id), Some(attempt)) = (echo["id"].as_str(), echo["try"].as_u64()) {
            *starts.entry((id.to_owned(), attempt)).or_default() += 1;
        }
    }
    starts
}

/// Describes every violated guarantee. A connection may break only if `may_lose_answers` holds for
/// its entry.
pub fn find_violations(
    records: &[Record],
    start_logs: &[StartLog],
    may_lose_answers: impl Fn(usize) -> bool,
) -> Vec<String> {
    let starts = count_starts(start_logs);
    let mut violations = Vec::new();
    for record in records {
        match &record.answer {
            Ok(answer) if answer.outcome == Outcome::Complete => {
                check_complete(record, answer, &starts, &mut violations);
            }
            Ok(answer) => check_failed(record, answer, &starts, &mut violations),
            Err(CallError::NotConnected) => {
                check_not_run("no connection", record, &starts, &mut violations);
            }
            Err(CallError::Broken(_)) if may_lose_answers(record.entry) => {}
            Err(error) => violations.push(format!("no final answer ({error:?}): {record:?}")),
        }
        if record.kind != SubmissionKind::RepeatableRequest {
            check_at_most_one_start(record, &starts, &mut violations);
        }
    }
    violations
}

fn start_count(id: &str, attempt: u32, starts: &Starts) -> usize {
    let key = (id.to_owned(), u64::from(attempt));
    starts.get(&key).copied().unwrap_or_default()
}

fn check_complete(record: &Record, answer: &Answer, starts: &Starts, violations: &mut Vec<String>) {
    let echo = |id| json!({ "ok": true, "echo": { "id": id, "try": record.attempt } });
    let expected: Vec<Value> = record.ids.iter().map(echo).collect();
    let results = answer.results.iter().map(|result| result.get());
    let parsed: Result<Vec<Value>, _> = results.map(serde_json::from_str).collect();
    if !parsed.is_ok_and(|results| results == expected) {
        violations.push(format!(
            "results do not match the submitted tasks: {record:?}"
        ));
    }
    let ran = |id: &String| start_count(id, record.attempt, starts) > 0;
    if !record.ids.iter().all(ran) {
        violations.push(format!("complete without a start: {record:?}"));
    }
}

fn check_failed(record: &Record, answer: &Answer, starts: &Starts, violations: &mut Vec<String>) {
    let Some(failure) = &answer.failure else {
        violations.push(format!("failed without a reason: {record:?}"));
        return;
    };
    if failure.not_run {
        check_not_run("not_run", record, starts, violations);
        return;
    }
    for (task, id) in record.ids.iter().enumerate() {
        let is_listed = failure
            .may_have_run
            .iter()
            .any(|listed| listed.to_string() == task.to_string());
        if start_count(id, record.attempt, starts) > 0 && !is_listed {
            violations.push(format!("{id} ran and is not listed: {record:?}"));
        }
    }
}

fn check_not_run(cause: &str, record: &Record, starts: &Starts, violations: &mut Vec<String>) {
    let ran = |id: &&String| start_count(id, record.attempt, starts) > 0;
    for id in record.ids.iter().filter(ran) {
        violations.push(format!("{cause}, but {id} started: {record:?}"));
    }
}

/// Checks that each task started at most once over all attempts.
fn check_at_most_one_start(record: &Record, starts: &Starts, violations: &mut Vec<String>) {
    for id in &record.ids {
        let first_key = (id.clone(), 0);
        let total: usize = starts
            .range(first_key..)
            .take_while(|((other_id, _), _)| other_id == id)
            .map(|(_, count)| count)
            .sum();
        if total > 1 {
            violations.push(format!("{id} started {total} times: {record:?}"));
        }
    }
}
