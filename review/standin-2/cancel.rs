//! A client cancels a job whose answer is still awaited. No task of it may start or run much later.

use std::path::Path;
use std::time::Duration;

use crate::http;
use crate::http::Outcome;
use crate::http::Request;
use crate::pool::Desired;
use crate::pool::Pool;
use crate::pool::HOST;
use crate::pool::PREFIX;
use crate::record::Record;
use crate::Verdict;

const JOB: &str = "5c0e7a21d94b36f8";
/// Bounds of the sheet.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
/// Time that the client waits for the answer to its job.
const WAIT: Duration = Duration::from_secs(30);

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let desired = Desired {
        version: 7,
        timeout_ms: 30_000,
        slo_ms: 30_000,
    };
    let pool = Pool::start(root, folder, record, 1, 2, 16_000, &desired)?;
    let entry = pool.entries[0].front();
    // Each worker has room for one task at a time.
    let job = r#"{"spec":"9000 2000","bestEffort":true,"steps":[{"count":12,"cpu":9000,"memMb":64,"estimateMs":2000}]}"#;
    let submit = Request {
        method: "POST".to_owned(),
        path: format!("{PREFIX}{JOB}"),
        headers: vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Dragonflyshed-Deadline-Ms".to_owned(), WAIT.as_millis().to_string()),
        ],
        body: job.to_owned(),
        ..Request::default()
    };
    record.line(&format!("client sends POST {PREFIX}{JOB}: {job}"));
    let submitted = std::thread::spawn({
        let record = record.clone();
        move || {
            let outcome = http::call(entry, &submit, WAIT);
            record.line(&format!("client's POST ends: {outcome:?}"));
            outcome
        }
    });
    std::thread::sleep(Duration::from_millis(1_000));
    let mut acknowledged_at = None;
    if has_trouble {
        let cancel = Request {
            method: "DELETE".to_owned(),
            path: format!("{PREFIX}{JOB}"),
            headers: vec![("Host".to_owned(), HOST.to_owned())],
            ..Request::default()
        };
        record.line(&format!("client sends DELETE {PREFIX}{JOB}"));
        let outcome = http::call(entry, &cancel, Duration::from_secs(4));
        let at = record.line(&format!("client's DELETE ends: {outcome:?}"));
        match outcome {
            Outcome::Answer(response) if matches!(response.status, 200..=299 | 410) => {
                acknowledged_at = Some(at);
            }
            other => return Err(format!("the cancelling was not acknowledged: {other:?}")),
        }
    }
    let outcome = submitted.join().map_err(|_| "the client failed".to_owned())?;
    let lines = record.lines();
    if !lines.iter().any(|(_, line)| line.contains(" starts ")) {
        return Err("no task was started".to_owned());
    }
    let Some(acknowledged_at) = acknowledged_at else {
        return match outcome {
            Outcome::Answer(response) if response.status == 200 => Ok(true),
            other => Err(format!("the job was not served: {other:?}")),
        };
    };
    let is_late_start =
        |(at, line): &&(u64, String)| line.contains(" starts ") && *at > acknowledged_at + CANCEL_MS;
    let is_late_end = |(at, line): &&(u64, String)| {
        line.contains(" ends ") && line.contains("worker") && *at > acknowledged_at + CANCEL_MS + STOP_MS
    };
    let starts = lines.iter().filter(is_late_start).count();
    let runs = lines.iter().filter(is_late_end).count();
    record.line(&format!(
        "cancelled at {acknowledged_at} ms; starts later than {CANCEL_MS} ms after it: {starts}; \
         runs that went on {STOP_MS} ms beyond that: {runs}"
    ));
    Ok(starts == 0 && runs == 0)
}
