//! Runs the binary and keeps what it wrote.

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

/// Builder of one run of the tool.
pub struct Tool {
    command: Command,
    stdin: String,
    files: TempDir,
}

/// The tool while it runs.
pub struct Running {
    child: Child,
    _files: TempDir,
}

/// What a run left behind.
#[derive(Debug)]
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Tool {
    /// The tool with a command line of words without blanks.
    pub fn new(line: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflyshed"));
        command
            .args(line.split_whitespace())
            .env_remove("DRAGONFLYSHED_TOKEN");
        Self {
            command,
            stdin: String::new(),
            files: tempfile::tempdir().unwrap(),
        }
    }

    /// Adds an entry and its token.
    pub fn entry(mut self, entry: &FakeEntry) -> Self {
        self.command
            .args(["--entry", &entry.address().to_string()])
            .env("DRAGONFLYSHED_TOKEN", TOKEN);
        self
    }

    /// Adds one argument.
    pub fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    /// Adds a file with this content as an argument.
    pub fn file(self, content: &str) -> Self {
        let path = self.path();
        std::fs::write(&path, content).unwrap();
        self.arg(path.to_str().unwrap())
    }

    /// Adds a file with this JSON content as an argument.
    pub fn json(self, content: &Value) -> Self {
        self.file(&content.to_string())
    }

    /// What standard input holds.
    pub fn stdin(mut self, content: &str) -> Self {
        content.clone_into(&mut self.stdin);
        self
    }

    /// Runs to the end.
    pub fn run(self) -> Run {
        self.spawn().wait()
    }

    /// Starts the tool.
    pub fn spawn(mut self) -> Running {
        let mut child = self
            .command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A tool that ends before it reads closes the pipe, which is no fault here.
        let _ = stdin.write_all(self.stdin.as_bytes());
        Running {
            child,
            _files: self.files,
        }
    }

    fn path(&self) -> PathBuf {
        self.files.path().join("input.json")
    }
}

impl Running {
    /// Sends the signal of Ctrl-C.
    pub fn interrupt(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-INT", &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for the end.
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
    /// Checks the exit code; shows both streams if it differs.
    pub fn expect(self, code: i32) -> Self {
        expect_that!(self.code, eq(code), "{self:#?}");
        self
    }

    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:#?}"))
    }
}
