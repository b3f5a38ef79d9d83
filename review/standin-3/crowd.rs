//! A crowd of clients that the users don't control: many bodies of legal size at once, most stopping just short of their
//! end and staying open.

use std::fs;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::caller::Job;
use crate::cell::Cell;
use crate::cell::HOST;
use crate::cell::PREFIX;
use crate::cell::Size;
use crate::record::Record;

/// Memory of the entry's machine. The platform kills a process that exceeds it; bytes that have been received and not
/// yet read count.
const MEMORY_MB: u64 = 160;
const PLAY: Duration = Duration::from_secs(40);
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// Fewer than the entry's `max_connections`, and than the descriptors of its machine.
const CROWD: usize = 2_900;
const THREADS: usize = 20;
/// Inside `maxBodyBytes`, 262,144.
const BODY_BYTES: usize = 262_000;
/// What is left out at the end of a body.
const MISSING_BYTES: usize = 16;
const PIECE_BYTES: usize = 64 << 10;
/// An ordinary caller, with a job as in the users' sheets, each second.
const CALLER: Job = Job { tasks: 8, cpu: 1_600, work_ms: 60, spec_bytes: 600, wait_ms: 1_500 };
const CALL_EVERY: Duration = Duration::from_secs(1);

pub fn play(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let mut cell = Cell::start(record.clone(), &Size { workers: 4, worker_cpu: 16_000, entry_memory_mb: MEMORY_MB })?;
    let until = Instant::now() + PLAY;
    let (front, calls) = (cell.front, record.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let is_caller_over = Arc::clone(&is_over);
    let caller = thread::spawn(move || {
        let (mut served, mut id) = (0, 0);
        while !is_caller_over.load(Ordering::Relaxed) {
            id += 1;
            served += u64::from(CALLER.hand_in(front, &calls, id) == Some(200));
            thread::sleep(CALL_EVERY);
        }
        (served, id)
    });
    if has_trouble {
        for part in 0..THREADS {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || press(front, part, &is_over));
        }
        record.line(&format!("{CROWD} clients send bodies of {BODY_BYTES} bytes, all but the last {MISSING_BYTES}, and stay"));
    }
    let outcome = watch(&mut cell, record, until);
    is_over.store(true, Ordering::Relaxed);
    let (served, sent) = caller.join().map_err(|_| "the caller failed")?;
    record.line(&format!("{served} of {sent} ordinary jobs were served"));
    if !has_trouble && served < sent {
        return Err(format!("{served} of {sent} jobs were served in calm"));
    }
    Ok(outcome)
}

/// Compares the entry's memory with that of its machine.
fn watch(cell: &mut Cell, record: &Record, until: Instant) -> Outcome {
    let mut outcome = Outcome::Held;
    let mut worst_mb = 0;
    while Instant::now() < until {
        thread::sleep(SAMPLE_EVERY);
        let Some((now_mb, _)) = cell.entry_memory_mb() else {
            record.line("the entry has ended by itself");
            return Outcome::Broken;
        };
        let unread_mb = unread_bytes(cell.front) >> 20;
        let sum_mb = now_mb + unread_mb;
        if sum_mb > worst_mb {
            worst_mb = sum_mb;
            let descriptors = cell.entry_descriptors();
            record.line(&format!("entry: {now_mb} MB and {unread_mb} MB unread, {descriptors} descriptors"));
        }
        if sum_mb > MEMORY_MB && matches!(outcome, Outcome::Held) {
            record.line(&format!("the entry has taken {sum_mb} MB, its machine has {MEMORY_MB}: the platform kills it"));
            outcome = Outcome::Broken;
        }
    }
    record.line(&format!("worst sum: {worst_mb} MB"));
    outcome
}

/// Bytes that the system has received on channels of an address and the process has not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let port = format!(":{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let of_port = rows.filter(|row| row.get(1).is_some_and(|local| local.ends_with(&port)));
    let unread = of_port.filter_map(|row| u64::from_str_radix(row.get(4)?.split_once(':')?.1, 16).ok());
    unread.sum()
}

/// Keeps a part of the crowd connected: a client that the entry has cut off comes again.
fn press(front: SocketAddr, part: usize, is_over: &AtomicBool) {
    let head = format!("POST {PREFIX}{part:016x} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let text = format!("{head}{{\"spec\":\"{}", "x".repeat(BODY_BYTES - MISSING_BYTES - 9));
    let text = text.as_bytes();
    let open = || {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((stream, 0_usize))
    };
    let mut held: Vec<_> = (0..CROWD / THREADS).map(|_| open()).collect();
    while !is_over.load(Ordering::Relaxed) {
        for slot in &mut held {
            let Some((stream, sent)) = slot else {
                *slot = open();
                continue;
            };
            let outcome = if *sent < text.len() {
                let end = text.len().min(*sent + PIECE_BYTES);
                stream.write(&text[*sent..end])
            } else {
                // Any answer, or the end of the channel: this client is done.
                stream.peek(&mut [0]).and(Err(ErrorKind::ConnectionReset.into()))
            };
            match outcome {
                Ok(bytes) => *sent += bytes,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}
