//! One process of the product.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use serde_json::Value;

use super::until;

/// Lines of the log that a failed test shows.
const SHOWN_LINES: usize = 40;

/// Subcommand of the daemon.
#[derive(Debug, Clone, Copy)]
pub enum Role {
    Entry,
    Agent,
}

impl Role {
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

/// Signals that tests send.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Stop,
    Continue,
    Terminate,
    Hangup,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
            Self::Hangup => "-HUP",
        }
    }
}

/// A running daemon; it is killed on drop.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    log: PathBuf,
}

impl Daemon {
    /// Starts the daemon; `life` names its files.
    pub fn spawn(role: Role, life: &str, settings: &Value, files: &Path) -> Self {
        Self::spawn_with(role, life, settings, files, "")
    }

    /// Starts the daemon with fail points.
    pub fn spawn_with(
        role: Role,
        life: &str,
        settings: &Value,
        files: &Path,
        fail_points: &str,
    ) -> Self {
        let path = files.join(format!("{life}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = files.join(format!("{life}.log"));
        let output = File::create(&log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_dragonflyshedd"))
            .arg(role.name())
            .arg("--settings")
            .arg(&path)
            .env("FAILPOINTS", fail_points)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// The address of a listener, once it is open.
    pub async fn listening(&self, listener: &str) -> SocketAddr {
        let mark = format!("listening listener={listener} address=");
        let mut address = None;
        until(&mark, async || {
            address = self.log_text().lines().find_map(|line| {
                let (_, address) = line.split_once(&mark)?;
                address.trim().parse().ok()
            });
            address.is_some()
        })
        .await;
        address.unwrap()
    }

    /// The settings file.
    pub fn settings(&self) -> String {
        std::fs::read_to_string(self.log.with_extension("json")).unwrap()
    }

    /// Writes other settings where the process reads its own.
    pub fn change_settings(&self, settings: &str) {
        std::fs::write(self.log.with_extension("json"), settings).unwrap();
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.flag(), &pid]).status();
        assert!(sent.unwrap().success());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // A process that has ended already needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("the process ends", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let text = self.log_text();
            let lines: Vec<_> = text.lines().collect();
            let first = lines.len().saturating_sub(SHOWN_LINES);
            eprintln!("{}:\n{}", self.log.display(), lines[first..].join("\n"));
        }
    }
}
