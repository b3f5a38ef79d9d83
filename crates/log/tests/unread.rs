//! Standard output that is not read.
//!
//! The writer thread then blocks on the full pipe. If [`dfs_log::emit`] waited for it, a stalled log
//! collector would stop the whole process.

use std::env;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::process::Command;
use std::process::Stdio;

use dfs_conf::LogSettings;
use dfs_ids::Millis;
use dfs_log::ProcessName;
use dfs_log::RequestEvent;
use dfs_log::init;
use googletest::prelude::*;

/// Set in the child process, which runs the same test again to emit the lines.
const CHILD_ENV: &str = "DFS_LOG_UNREAD_CHILD";
const TEST_NAME: &str = "emit_does_not_block_while_standard_output_is_not_read";
/// Printed by the child on standard error once every `emit` has returned.
const DONE: &str = "all events are emitted";
/// Far more lines, of 150 bytes, than fit into a pipe, which holds 64 KiB.
const LINES: usize = 20_000;

#[googletest::test]
fn emit_does_not_block_while_standard_output_is_not_read() {
    if env::var_os(CHILD_ENV).is_some() {
        return emit_events();
    }
    let mut child = Command::new(env::current_exe().unwrap())
        .args([TEST_NAME, "--exact", "--nocapture"])
        .env(CHILD_ENV, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Standard output is not read until the child has emitted all events.
    let mut error_lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let done = error_lines.find(|line| line.as_ref().is_ok_and(|line| line == DONE));
    expect_that!(done.is_some(), eq(true));
    let mut text = String::new();
    child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    child.wait().unwrap();
    expect_that!(text, contains_substring("311 late"));
}

fn emit_events() {
    let process = ProcessName::Entry("e-1".parse().unwrap());
    init(&LogSettings::default(), &process).unwrap();
    for n in 0..LINES {
        dfs_log::emit(RequestEvent::Late {
            submission: format!("submission-{n:0>100}").parse().unwrap(),
            age_ms: Millis::new(1),
        });
    }
    eprintln!("{DONE}");
}
