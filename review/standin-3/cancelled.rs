//! A client cancels its job while the job runs.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::cell::Cell;
use crate::cell::HOST;
use crate::cell::PREFIX;
use crate::cell::Size;
use crate::http::Client;
use crate::record::Record;

/// `cancel_ms` and `stopMs` of the deployment.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(50);
const JOB: &str = "5c0e7a21d94b36f8";
/// Work of each task: as long as the longest of `diary-quote` and `staff-return`.
const WORK_MS: u64 = 3_600;
/// How long the client waits.
const WAIT_MS: u64 = 4_850;
const CANCEL_AFTER: Duration = Duration::from_millis(200);

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let cell = Cell::start(record.clone(), &Size { workers: 2, worker_cpu: 16_000, entry_memory_mb: 260 })?;
    let path = format!("{PREFIX}{JOB}");
    let job = format!(
        "{{\"spec\":\"ms={WORK_MS};cpu=1600;\",\"steps\":[{{\"count\":4,\"cpu\":1600,\"memMb\":256,\"estimateMs\":900}}],\"bestEffort\":true}}"
    );
    let host = ("Host", HOST.to_owned());
    let (front, sender, waits) = (cell.front, record.clone(), host.clone());
    let (job_path, job_host) = (path.clone(), waits);
    let submitter = thread::spawn(move || {
        let headers = [job_host, ("Dragonflyshed-Deadline-Ms", WAIT_MS.to_string())];
        sender.line(&format!("client POST {job_path} {job}"));
        let answer = Client::new(front).call("POST", &job_path, &headers, &job, Duration::from_millis(WAIT_MS));
        sender.line(&format!("client POST {job_path} answered {answer:?}"));
        answer
    });
    thread::sleep(CANCEL_AFTER);
    let mut cancelled_at = None;
    if has_trouble {
        record.line(&format!("client DELETE {path}"));
        let answer = Client::new(front).call("DELETE", &path, &[host], "", Duration::from_secs(2));
        record.line(&format!("client DELETE {path} answered {answer:?}"));
        match answer {
            Some((200..=299 | 410, _)) => cancelled_at = Some(Instant::now()),
            other => return Err(format!("the cancelling was not acknowledged: {other:?}")),
        }
    }
    let answer = submitter.join().map_err(|_| "the client failed")?;
    thread::sleep(Duration::from_millis(500));
    let runs = cell.ledger.lock().unwrap().clone();
    if runs.is_empty() {
        return Err("no task has started".to_owned());
    }
    let Some(cancelled_at) = cancelled_at else {
        // Without the cancelling the job has to be served.
        return match answer {
            Some((200, _)) => Ok(Outcome::Held),
            other => Err(format!("the job was not served in calm: {other:?}")),
        };
    };
    let bound = cancelled_at + CANCEL;
    let mut is_broken = false;
    for run in &runs {
        let late_ms = |at: Instant| at.saturating_duration_since(cancelled_at).as_millis();
        if run.started > bound {
            record.line(&format!("UNASKED: task {} run {} starts {} ms after the ack of the cancelling", run.task, run.run, late_ms(run.started)));
            is_broken = true;
        }
        let ended = run.ended.map_or_else(Instant::now, |(at, _)| at);
        if ended > bound + STOP {
            record.line(&format!("UNASKED: task {} run {} runs on until {} ms after the ack of the cancelling", run.task, run.run, late_ms(ended)));
            is_broken = true;
        }
    }
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
