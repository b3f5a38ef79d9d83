//! A built daemon as a child process, and what the kernel says of it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use snafu::ResultExt;

use crate::SlopesError;
use crate::error::FileSnafu;
use crate::error::StartSnafu;

const PROGRAM: &str = "dragonflyshedd";
/// Position of the user time among the fields after the name; the system time follows.
const USER_TIME_FIELD: usize = 11;
const TIME_FIELDS: usize = 2;
const MICROS_PER_TICK: u64 = 10_000;
const BYTES_PER_KIB: u64 = 1_024;
const LOOK: Duration = Duration::from_millis(20);
const LOOKS: u32 = 500;

/// A running daemon; it is killed on drop.
#[derive(Debug)]
pub(super) struct Daemon {
    child: Child,
    log: PathBuf,
}

/// Processor time and memory.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    /// Time on a processor, of all threads, in user and kernel mode.
    pub processor_us: u64,
    /// Anonymous memory that is resident.
    pub memory_bytes: u64,
}

impl Daemon {
    /// Starts the daemon that was built beside this program.
    pub fn spawn(
        role: &str,
        name: &str,
        settings: &Value,
        files: &Path,
    ) -> Result<Self, SlopesError> {
        let path = files.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).context(FileSnafu { path: &path })?;
        let log = files.join(format!("{name}.log"));
        let stderr = File::create(&log).context(FileSnafu { path: &log })?;
        let own = std::env::current_exe().context(StartSnafu)?;
        let child = Command::new(own.with_file_name(PROGRAM))
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .context(StartSnafu)?;
        Ok(Self { child, log })
    }

    /// The address of a listener, once it is open.
    pub async fn listening(&self, listener: &str) -> Result<SocketAddr, SlopesError> {
        let mark = format!("listening listener={listener} address=");
        for _ in 0..LOOKS {
            let path = &self.log;
            let log = std::fs::read_to_string(path).context(FileSnafu { path })?;
            let found = log.lines().find_map(|line| {
                let (_, address) = line.split_once(&mark)?;
                address.trim().parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(SlopesError::NotReady { expected: 0 })
    }

    /// What it has used so far, in steps of the system's clock tick; threads that have ended count.
    pub fn usage(&self) -> Result<Usage, SlopesError> {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        let path = process.join("stat");
        let stat = std::fs::read_to_string(&path).context(FileSnafu { path })?;
        let ticks: u64 = fields_after_name(&stat)
            .skip(USER_TIME_FIELD)
            .take(TIME_FIELDS)
            .map(first_number)
            .sum();
        let path = process.join("status");
        let status = std::fs::read_to_string(&path).context(FileSnafu { path })?;
        let memory_kib = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))
            .map_or(0, first_number);
        Ok(Usage {
            processor_us: ticks * MICROS_PER_TICK,
            memory_bytes: memory_kib * BYTES_PER_KIB,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // A child that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The name stands in parentheses and may hold spaces.
fn fields_after_name(stat: &str) -> impl Iterator<Item = &str> {
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    rest.split_whitespace()
}

fn first_number(text: &str) -> u64 {
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}
