//! A reader of the log that stands still.

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

const CHILD: &str = "DFS_LOG_UNREAD_CHILD";
const NAME: &str = "a_reader_that_stands_still_costs_lines_and_no_time";
const DONE: &str = "all lines are given";
/// Lines of 150 bytes; a pipe holds 64 KiB.
const ROUNDS: usize = 20_000;

#[googletest::test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    if env::var_os(CHILD).is_some() {
        return emit_many();
    }
    let mut child = Command::new(env::current_exe().unwrap())
        .args([NAME, "--exact", "--nocapture"])
        .env(CHILD, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Nobody reads standard output until the child has given all lines.
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let done = lines.find(|line| line.as_ref().is_ok_and(|line| line == DONE));
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

fn emit_many() {
    let process = ProcessName::Entry("e-1".parse().unwrap());
    init(&LogSettings::default(), &process).unwrap();
    for n in 0..ROUNDS {
        dfs_log::emit(RequestEvent::Late {
            submission: format!("submission-{n:0>100}").parse().unwrap(),
            age_ms: Millis::new(1),
        });
    }
    eprintln!("{DONE}");
}
