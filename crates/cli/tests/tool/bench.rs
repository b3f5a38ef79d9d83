//! Runs the command-line tool as a child process and captures its output.

use std::io::Write;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use googletest::prelude::*;
use serde_json::Value;
use tempfile::TempDir;

use crate::fake::FakeEntry;

/// Token that the fake entry accepts.
pub const TOKEN: &str = "test-token";

/// Builder for one run of the tool.
pub struct Tool {
    command: Command,
    stdin: String,
    temp_dir: TempDir,
}

/// A running child process of the tool.
pub struct Running {
    child: Child,
    /// Deletes the input file when the run is over.
    _temp_dir: TempDir,
}

/// Exit code and captured output of a finished run.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Tool {
    /// Starts a command line from arguments separated by white space.
    pub fn new(line: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflyshed"));
        command
            .args(line.split_whitespace())
            .env_remove("DRAGONFLYSHED_TOKEN");
        Self {
            command,
            stdin: String::new(),
            temp_dir: tempfile::tempdir().unwrap(),
        }
    }

    /// Adds the address of an entry, and sets the token that it accepts.
    pub fn entry(mut self, entry: &FakeEntry) -> Self {
        self.command
            .args(["--entry", &entry.address().to_string()])
            .env("DRAGONFLYSHED_TOKEN", TOKEN);
        self
    }

    /// Adds one argument, which may contain white space.
    pub fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    /// Writes `content` to a file and adds its path as an argument; only one file per run.
    pub fn file(self, content: &str) -> Self {
        let path = self.input_path();
        std::fs::write(&path, content).unwrap();
        self.arg(path.to_str().unwrap())
    }

    /// Like [`Self::file`], with JSON content.
    pub fn json(self, content: &Value) -> Self {
        self.file(&content.to_string())
    }

    /// Sets the content of standard input.
    pub fn stdin(mut self, content: &str) -> Self {
        content.clone_into(&mut self.stdin);
        self
    }

    /// Runs the tool and waits for it to exit.
    pub fn run(self) -> Run {
        self.spawn().wait()
    }

    /// Starts the tool and writes its standard input.
    pub fn spawn(mut self) -> Running {
        let mut child = self
            .command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A tool that exits without reading closes the pipe; the write error is not a test failure.
        let _ = stdin.write_all(self.stdin.as_bytes());
        Running {
            child,
            _temp_dir: self.temp_dir,
        }
    }

    fn input_path(&self) -> PathBuf {
        self.temp_dir.path().join("input.json")
    }
}

impl Running {
    /// Sends SIGINT, as Ctrl-C does.
    pub fn interrupt(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-INT", &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for the tool to exit.
    pub fn wait(self) -> Run {
        let output = self.child.wait_with_output().unwrap();
        Run {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Run {
    /// Checks the exit code; on failure the message includes both output streams.
    pub fn expect(self, code: i32) -> Self {
        expect_that!(self.code, eq(code), "{self:#?}");
        self
    }

    /// Parses standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:#?}"))
    }
}
