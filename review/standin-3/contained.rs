//! After the last fault, two workers are lost for good, one after the other, under the same task.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::caller::Job;
use crate::cell::Cell;
use crate::cell::Size;
use crate::record::Record;

const WORKERS: usize = 8;
/// `recoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(12);
const CALM: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(750);
/// How long the task has run on a worker when that is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
const TASK_LIMIT: Duration = Duration::from_secs(5);
/// Ordinary traffic: a job as in the users' sheets, five a second.
const JOB: Job = Job { tasks: 2, cpu: 1_600, work_ms: 60, spec_bytes: 600, wait_ms: 1_500 };
const JOB_EVERY: Duration = Duration::from_millis(200);
/// The job under which the workers are lost: one task of 3 s.
const LONG_JOB: Job = Job { tasks: 1, cpu: 1_600, work_ms: 3_000, spec_bytes: 600, wait_ms: 9_000 };
const LONG_JOB_ID: u64 = 0xabcd_0000_0000_0001;

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let mut cell = Cell::start(record.clone(), &Size { workers: WORKERS, worker_cpu: 16_000, entry_memory_mb: 260 })?;
    let (is_over, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (front, calls, over, kept) = (cell.front, record.clone(), Arc::clone(&is_over), Arc::clone(&answers));
    let traffic = thread::spawn(move || {
        for id in 1.. {
            if over.load(Ordering::Relaxed) {
                return;
            }
            let (calls, kept) = (calls.clone(), Arc::clone(&kept));
            thread::spawn(move || {
                let sent = Instant::now();
                let status = JOB.hand_in(front, &calls, id);
                kept.lock().unwrap().push((sent, status));
            });
            thread::sleep(JOB_EVERY);
        }
    });
    thread::sleep(CALM);
    let killed = Instant::now();
    record.line("the last fault: all processes are killed");
    cell.kill_all(DOWN)?;
    let back = Instant::now();
    record.line("all processes are back");
    thread::sleep(Duration::from_secs(4));
    let long_job = record.clone();
    let long = thread::spawn(move || LONG_JOB.hand_in(front, &long_job, LONG_JOB_ID));
    if has_trouble {
        for _ in 0..2 {
            lose_worker_of_task(&cell)?;
        }
    }
    let judged_from = back + RECOVERY;
    thread::sleep((judged_from + JUDGED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    let _ = (traffic.join(), long.join());
    thread::sleep(Duration::from_secs(2));
    let answers = answers.lock().unwrap();
    let share = |from: Instant, until: Instant| {
        let sent = answers.iter().filter(|(sent, _)| (from..until).contains(sent));
        let (sent, served) = sent.fold((0, 0), |(sent, served), (_, status)| (sent + 1, served + u32::from(*status == Some(200))));
        (served, sent)
    };
    let (before, sent_before) = share(killed - CALM, killed);
    let (after, sent_after) = share(judged_from, judged_from + JUDGED);
    record.line(&format!("before the last fault {before} of {sent_before} jobs were served; later than 12 s after all were back, {after} of {sent_after}"));
    if sent_after == 0 || before * 4 < sent_before {
        return Err("no service before the fault, or no traffic after it".to_owned());
    }
    Ok(if after * 4 < sent_after { Outcome::Broken } else { Outcome::Held })
}

/// Loses the worker that runs the task of the long job.
fn lose_worker_of_task(cell: &Cell) -> Result<(), String> {
    let until = Instant::now() + TASK_LIMIT;
    let job = format!("{LONG_JOB_ID:016x}");
    while Instant::now() < until {
        if let Some(worker) = cell.workers.iter().find(|worker| worker.runs(&job)) {
            thread::sleep(LOST_AFTER);
            worker.lose();
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err("the task did not run".to_owned())
}
