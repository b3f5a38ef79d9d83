//! The verdict from outside: callers' answers against the targets' start logs.

use std::collections::BTreeMap;

use dfs_standin::StartLog;
use dfs_wire::api::Answer;
use dfs_wire::api::Outcome;
use serde_json::Value;
use serde_json::json;

use super::CallError;
use super::Record;
use super::load::Kind;

/// Starts by task and try.
type Starts = BTreeMap<(String, u64), usize>;

/// Counts the starts of every task of the load.
fn starts(logs: &[StartLog]) -> Starts {
    let mut starts = Starts::new();
    for start in logs.iter().flat_map(StartLog::all) {
        let echo = &start.body["echo"];
        if let (Some(id), Some(attempt)) = (echo["id"].as_str(), echo["try"].as_u64()) {
            *starts.entry((id.to_owned(), attempt)).or_default() += 1;
        }
    }
    starts
}

/// Every broken promise. An answer may be missing only where `may_lose` allows it for the entry.
pub fn violations(
    records: &[Record],
    logs: &[StartLog],
    may_lose: impl Fn(usize) -> bool,
) -> Vec<String> {
    let starts = starts(logs);
    let mut found = Vec::new();
    for record in records {
        match &record.answer {
            Ok(answer) if answer.outcome == Outcome::Complete => {
                check_complete(record, answer, &starts, &mut found);
            }
            Ok(answer) => check_failed(record, answer, &starts, &mut found),
            Err(CallError::NotConnected) => {
                check_not_run("no connection", record, &starts, &mut found);
            }
            Err(CallError::Broken(_)) if may_lose(record.entry) => {}
            Err(error) => found.push(format!("no final answer ({error:?}): {record:?}")),
        }
        if record.kind != Kind::RepeatableRequest {
            check_once(record, &starts, &mut found);
        }
    }
    found
}

fn started(id: &str, attempt: u32, starts: &Starts) -> usize {
    let key = (id.to_owned(), u64::from(attempt));
    starts.get(&key).copied().unwrap_or_default()
}

fn check_complete(record: &Record, answer: &Answer, starts: &Starts, found: &mut Vec<String>) {
    let echo = |id| json!({ "ok": true, "echo": { "id": id, "try": record.attempt } });
    let own: Vec<Value> = record.ids.iter().map(echo).collect();
    let results = answer.results.iter().map(|result| result.get());
    let got: Result<Vec<Value>, _> = results.map(serde_json::from_str).collect();
    if !got.is_ok_and(|got| got == own) {
        found.push(format!(
            "not the whole answer to this submission: {record:?}"
        ));
    }
    let ran = |id: &String| started(id, record.attempt, starts) > 0;
    if !record.ids.iter().all(ran) {
        found.push(format!("complete without a start: {record:?}"));
    }
}

fn check_failed(record: &Record, answer: &Answer, starts: &Starts, found: &mut Vec<String>) {
    let Some(failure) = &answer.failure else {
        found.push(format!("failed without a reason: {record:?}"));
        return;
    };
    if failure.not_run {
        check_not_run("not_run", record, starts, found);
        return;
    }
    for (task, id) in record.ids.iter().enumerate() {
        let is_listed = failure
            .may_have_run
            .iter()
            .any(|listed| listed.to_string() == task.to_string());
        if started(id, record.attempt, starts) > 0 && !is_listed {
            found.push(format!("{id} ran and is not listed: {record:?}"));
        }
    }
}

fn check_not_run(what: &str, record: &Record, starts: &Starts, found: &mut Vec<String>) {
    let ran = |id: &&String| started(id, record.attempt, starts) > 0;
    for id in record.ids.iter().filter(ran) {
        found.push(format!("{what}, but {id} started: {record:?}"));
    }
}

/// Over all tries together.
fn check_once(record: &Record, starts: &Starts, found: &mut Vec<String>) {
    for id in &record.ids {
        let first = (id.clone(), 0);
        let all: usize = starts
            .range(first..)
            .take_while(|((other, _), _)| other == id)
            .map(|(_, count)| count)
            .sum();
        if all > 1 {
            found.push(format!("{id} started {all} times: {record:?}"));
        }
    }
}
