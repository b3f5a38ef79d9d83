//! A zone is evacuated while the entry is cut off from the store. No task may start there after the bound.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::http::Outcome;
use crate::http::Request;
use crate::pool::Desired;
use crate::pool::HOST;
use crate::pool::PREFIX;
use crate::pool::Pool;
use crate::pool::ZONES;
use crate::record::Record;

/// Bound of the sheet.
const EVACUATE_MS: u64 = 5_000;
/// How long the entry is cut off.
const CUT: Duration = Duration::from_secs(11);
const CLIENTS: u64 = 6;
/// Time that a client waits for an answer.
const WAIT: Duration = Duration::from_millis(1_500);

pub fn play(root: &Path, folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let desired = Desired {
        version: 7,
        timeout_ms: 1_500,
        slo_ms: 60,
    };
    let pool = Pool::start(root, folder, record, 1, 2, 32_000, &desired)?;
    let entry = pool.entries[0].front();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    submit(&record, entry, client << 32 | number);
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        pool.entries_to_store.cut(true);
        record.line("the entry is cut off from the store");
    }
    std::thread::sleep(Duration::from_millis(200));
    let zone = ZONES[1];
    pool.store.put("op", &format!("evacuate/{zone}"), "{}");
    let acknowledged_at = record.line(&format!("op/evacuate/{zone} is acknowledged"));
    std::thread::sleep(CUT - Duration::from_millis(200));
    let until = record.line("the entry reaches the store again");
    pool.entries_to_store.cut(false);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let lines = record.lines();
    // The second worker is that of the zone.
    let starts = lines
        .iter()
        .filter(|(_, line)| line.starts_with("worker i-2 starts"));
    let (before, after): (Vec<_>, Vec<_>) = starts.partition(|(at, _)| *at <= acknowledged_at);
    let late = after
        .iter()
        .filter(|(at, _)| *at > acknowledged_at + EVACUATE_MS && *at <= until)
        .count();
    record.line(&format!(
        "starts in {zone} before the evacuation: {}; later than {EVACUATE_MS} ms after it: {late}",
        before.len()
    ));
    if before.is_empty() {
        return Err(format!("no task was started in {zone} before"));
    }
    Ok(late == 0)
}

fn submit(record: &Record, entry: std::net::SocketAddr, number: u64) {
    let id = format!("{number:016x}");
    let request = Request {
        method: "POST".to_owned(),
        path: format!("{PREFIX}{id}"),
        headers: vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Dragonflyshed-Deadline-Ms".to_owned(), WAIT.as_millis().to_string()),
        ],
        body: r#"{"spec":"3000 60","bestEffort":true,"steps":[{"count":4,"cpu":3000,"memMb":64,"estimateMs":60}]}"#.to_owned(),
        ..Request::default()
    };
    record.line(&format!("client sends POST {PREFIX}{id}"));
    let outcome = match http::call(entry, &request, WAIT) {
        Outcome::Answer(response) => format!("{} {}", response.status, response.body),
        other => format!("{other:?}"),
    };
    record.line(&format!("client's POST {id} ends: {outcome}"));
}
