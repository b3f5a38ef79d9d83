//! Open channels between entry and agents go silent for good, while new ones work; then a few large jobs come at once.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::caller::Job;
use crate::cell::Cell;
use crate::cell::Size;
use crate::record::Record;

/// Memory of the entry's machine. The platform kills a process that exceeds it.
const MEMORY_MB: u64 = 160;
const ROUNDS: u64 = 12;
const ROUND: Duration = Duration::from_secs(8);
const SAMPLE_EVERY: Duration = Duration::from_millis(250);
/// Clients that hand in one job each, at the same time.
const CLIENTS: u64 = 18;
/// As many tasks as the largest job of the users' letter, and the largest `spec`.
const JOB: Job = Job { tasks: 320, cpu: 20, work_ms: 300, spec_bytes: 4_000, wait_ms: 1_500 };

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let mut cell = Cell::start(record.clone(), &Size { workers: 8, worker_cpu: 16_000, entry_memory_mb: MEMORY_MB })?;
    let mut served = 0;
    for round in 0..ROUNDS {
        let ends_at = Instant::now() + ROUND;
        if has_trouble {
            let silenced = cell.proxy.silence();
            record.line(&format!("network: {silenced} open channels between entry and agents go silent, new ones work"));
        }
        let clients = (0..CLIENTS).map(|client| {
            let (front, record) = (cell.front, record.clone());
            thread::spawn(move || JOB.hand_in(front, &record, round << 32 | client))
        });
        let clients: Vec<_> = clients.collect();
        while Instant::now() < ends_at {
            thread::sleep(SAMPLE_EVERY);
            let Some((now_mb, peak_mb)) = cell.entry_memory_mb() else {
                record.line("the entry has ended by itself");
                return Ok(Outcome::Broken);
            };
            let descriptors = cell.entry_descriptors();
            record.line(&format!("entry: {now_mb} MB, peak {peak_mb} MB, {descriptors} descriptors"));
            if peak_mb > MEMORY_MB {
                record.line(&format!("the entry has taken {peak_mb} MB, its machine has {MEMORY_MB}: the platform kills it"));
                return Ok(Outcome::Broken);
            }
        }
        for client in clients {
            served += u64::from(client.join().map_err(|_| "a client failed")? == Some(200));
        }
    }
    record.line(&format!("{served} of {} jobs were served", ROUNDS * CLIENTS));
    if !has_trouble && served == 0 {
        return Err("no job was served in calm".to_owned());
    }
    Ok(Outcome::Held)
}
