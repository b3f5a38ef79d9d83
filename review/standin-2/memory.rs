//! A few clients submit large jobs at once, each inside the published limits. The platform ends each process that
//! exceeds the memory of its machine.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::http::Outcome;
use crate::http::Request;
use crate::pool::Desired;
use crate::pool::ENTRY_MEMORY_MB;
use crate::pool::HOST;
use crate::pool::PREFIX;
use crate::pool::Pool;
use crate::record::Record;

const ENTRIES: usize = 3;
const CLIENTS_PER_ENTRY: u64 = 6;
const LENGTH: Duration = Duration::from_secs(90);
/// Time that a client waits for an answer, and pause before it submits a job again that got none.
const WAIT: Duration = Duration::from_millis(10_000);
const RESUBMIT: Duration = Duration::from_millis(1_300);
/// Delay with which the platform starts an ended process again.
const RESTART: Duration = Duration::from_millis(500);
/// Ends of the processes of one machine, and number of such machines, that are a fault.
const ENDS: usize = 3;
const MACHINES: usize = 2;

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let desired = Desired {
        version: 7,
        timeout_ms: 10_000,
        slo_ms: 60,
    };
    let mut pool = Pool::start(root, folder, record, ENTRIES, 2, 64_000, &desired)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, entry) in pool.entries.iter().enumerate() {
        for client in 0..CLIENTS_PER_ENTRY {
            let (record, is_over, front) = (record.clone(), Arc::clone(&is_over), entry.front());
            let first_id = (index as u64 * CLIENTS_PER_ENTRY + client) << 32;
            clients.push(std::thread::spawn(move || {
                submit_jobs(&record, front, first_id, has_trouble, &is_over);
            }));
        }
    }
    let mut ends = [0; ENTRIES];
    let mut most_kb = [0; ENTRIES];
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(2));
        for index in 0..ENTRIES {
            let used_kb = pool.entries[index].anonymous_memory_kb();
            most_kb[index] = used_kb.max(most_kb[index]);
            if used_kb <= ENTRY_MEMORY_MB * 1_024 {
                continue;
            }
            let name = &pool.entries[index].name;
            record.line(&format!(
                "{name} uses {used_kb} kB, and the platform ends it"
            ));
            ends[index] += 1;
            pool.entries[index].kill();
            std::thread::sleep(RESTART);
            pool.restart_entry(index);
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    record.line(&format!(
        "limit {} kB; most memory {most_kb:?} kB; ends for memory {ends:?}",
        ENTRY_MEMORY_MB * 1_024
    ));
    let lines = record.lines();
    let served = lines.iter().filter(|(_, line)| line.contains(" ends: 200"));
    let served = served.count();
    record.line(&format!("jobs answered 200: {served}"));
    if !has_trouble && served == 0 {
        return Err("no job was served".to_owned());
    }
    Ok(ends.iter().filter(|ends| **ends >= ENDS).count() < MACHINES)
}

fn submit_jobs(
    record: &Record,
    entry: SocketAddr,
    first_id: u64,
    is_large: bool,
    is_over: &AtomicBool,
) {
    // 4,000 bytes as the platform counts a string: a control character is one of them.
    let (spec, tasks) = match is_large {
        true => (format!("1 100 {}", "\\u0001".repeat(3_994)), 320),
        false => ("1 100".to_owned(), 8),
    };
    let body = format!(
        r#"{{"spec":"{spec}","bestEffort":true,"steps":[{{"count":{tasks},"cpu":1,"memMb":1,"estimateMs":100}}]}}"#
    );
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{:016x}", first_id + number);
        let request = Request {
            method: "POST".to_owned(),
            path: format!("{PREFIX}{id}"),
            headers: vec![
                ("Host".to_owned(), HOST.to_owned()),
                (
                    "Dragonflyshed-Deadline-Ms".to_owned(),
                    WAIT.as_millis().to_string(),
                ),
            ],
            body: body.clone(),
            ..Request::default()
        };
        record.line(&format!(
            "client sends POST {PREFIX}{id}: {tasks} tasks, a body of {} bytes",
            body.len()
        ));
        let outcome = http::call(entry, &request, WAIT);
        let (text, is_final) = match &outcome {
            Outcome::Answer(response) => (
                format!("{} {}", response.status, response.body),
                !matches!(response.status, 502 | 504),
            ),
            other => (format!("{other:?}"), false),
        };
        record.line(&format!("client's POST {id} ends: {text}"));
        if is_final {
            number += 1;
            std::thread::sleep(Duration::from_millis(200));
        } else {
            std::thread::sleep(RESUBMIT);
        }
    }
}
