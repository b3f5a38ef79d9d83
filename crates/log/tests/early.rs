//! Events emitted before the settings are read.

use std::env;
use std::io;
use std::process::Command;

use dfs_log::ErrorText;
use dfs_log::ProcessEvent;
use dfs_log::RequestEvent;
use dfs_log::emit;
use googletest::prelude::*;

/// Set in the child process, which runs the same test again to emit the events.
const CHILD_ENV: &str = "DFS_LOG_TEST_CHILD";
const TEST_NAME: &str = "an_event_before_init_has_the_usual_format";

#[googletest::test]
fn an_event_before_init_has_the_usual_format() {
    if env::var_os(CHILD_ENV).is_some() {
        return emit_before_init();
    }
    let output = Command::new(env::current_exe().unwrap())
        .args([TEST_NAME, "--exact", "--nocapture"])
        .env(CHILD_ENV, "1")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    // The test harness prints lines of its own; those of events start with the year.
    let lines_without_time: Vec<_> = text
        .lines()
        .filter(|line| line.starts_with("20"))
        .filter_map(|line| line.split_once(' '))
        .collect();
    let expected = r#"error 102 settings_rejected error="entry is missing""#;
    expect_that!(
        lines_without_time,
        elements_are![(anything(), eq(&expected))]
    );
}

fn emit_before_init() {
    let error = ErrorText::new(&io::Error::other("entry is missing"));
    emit(RequestEvent::KeyClaimed {
        submission: "submission".parse().unwrap(),
        group: "group".parse().unwrap(),
    });
    emit(ProcessEvent::SettingsRejected { error });
}
