//! Runs the daemon as a child process and reads its resource usage from `/proc`.

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
use crate::error::SetupSnafu;

const PROGRAM: &str = "dragonflyshedd";
/// Index of `utime` among the fields of `/proc/PID/stat` after the process name; `stime` follows.
const USER_TIME_FIELD: usize = 11;
const TIME_FIELDS: usize = 2;
/// Linux reports CPU times in ticks of 1/100 s.
const MICROS_PER_TICK: u64 = 10_000;
const BYTES_PER_KIB: u64 = 1_024;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;

/// Running daemon process, killed on drop.
#[derive(Debug)]
pub(super) struct Daemon {
    child: Child,
    log: PathBuf,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    /// CPU time of all threads since the start of the process, in user and kernel mode.
    pub cpu_us: u64,
    /// Resident anonymous memory (`RssAnon`).
    pub memory_bytes: u64,
}

impl Daemon {
    /// Starts the daemon binary from the directory of this executable. Its standard error goes to a
    /// file in `work_dir`, from which [`Self::listener_address`] reads.
    pub fn spawn(
        role: &str,
        name: &str,
        settings: &Value,
        work_dir: &Path,
    ) -> Result<Self, SlopesError> {
        let path = work_dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).context(FileSnafu { path: &path })?;
        let log = work_dir.join(format!("{name}.log"));
        let stderr = File::create(&log).context(FileSnafu { path: &log })?;
        let executable = std::env::current_exe().context(SetupSnafu)?;
        let child = Command::new(executable.with_file_name(PROGRAM))
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .context(SetupSnafu)?;
        Ok(Self { child, log })
    }

    /// Waits until the daemon has logged the address of a listener.
    pub async fn listener_address(&self, listener: &str) -> Result<SocketAddr, SlopesError> {
        let prefix = format!("listening listener={listener} address=");
        for _ in 0..MAX_POLLS {
            let path = &self.log;
            let log = std::fs::read_to_string(path).context(FileSnafu { path })?;
            let found = log.lines().find_map(|line| {
                let (_, address) = line.split_once(&prefix)?;
                address.trim().parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(SlopesError::NotReady { expected: 0 })
    }

    /// Usage so far. CPU time has the resolution of the clock tick and includes threads that have
    /// ended.
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
            cpu_us: ticks * MICROS_PER_TICK,
            memory_bytes: memory_kib * BYTES_PER_KIB,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // `kill` fails only if the child has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Splits off the process name, which is in parentheses and may contain spaces and parentheses.
fn fields_after_name(stat: &str) -> impl Iterator<Item = &str> {
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    rest.split_whitespace()
}

fn first_number(text: &str) -> u64 {
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or_default()
}
