//! Tests of `explain`.

use std::path::PathBuf;

use googletest::prelude::*;
use tempfile::TempDir;

use crate::bench::Tool;

/// Log of an entry with three requests: `r-lost`, whose task was lost with its agent and ran again;
/// `r-load`, refused because its deadline could not be met; and `r-old`, refused before it had a
/// submission.
const ENTRY: &str = r#"
2026-05-15T10:59:14.000+00:00 info 501 version_adopted version=8 domain=lagos source=store
2026-05-15T10:59:14.100+00:00 info 301 submitted submission=e-1 request=r-lost job=j-1 group=members service=desk tasks=1 priority=1 version=8
2026-05-15T10:59:14.101+00:00 info 309 placed submission=e-1 agent=side-1 tasks=0.0 load_permille=400 hint_age_ms=12 age_ms=1
2026-05-15T10:59:15.900+00:00 info 203 session_lost peer=agent:side-1
2026-05-15T10:59:16.500+00:00 info 310 queued_again submission=e-1 task=0 attempt=0 agent=side-1 cause="the agent was lost"
2026-05-15T10:59:16.501+00:00 info 309 placed submission=e-1 agent=side-2 tasks=0.1 load_permille=300 hint_age_ms=3 age_ms=2401
2026-05-15T10:59:16.800+00:00 info 303 answered_complete submission=e-1 group=members response_ms=2700
2026-05-15T10:59:30.000+00:00 info 302 refused submission=e-2 request=r-load job=j-2 group=members reason=deadline_unreachable cause="the tasks before it need about 118 ms, it can wait for 90 ms" retry_after_ms=100 version=8
2026-05-15T10:59:40.000+00:00 info 302 refused request=r-old job=j-3 reason=impossible cause="no such queue" version=8
not a line
"#;
/// Log of an agent as a collector writes it, with the process before the time.
const AGENT: &str = r"
  0.1 side-2 2026-05-15T10:59:16.503+00:00 info 413 run_started submission=e-1 task=0 attempt=1 wait_ms=0 load_permille=300
  0.1 side-2 2026-05-15T10:59:16.790+00:00 info 414 run_ended submission=e-1 task=0 attempt=1 outcome=done run_ms=287
";

fn write_logs(files: &TempDir) -> (PathBuf, PathBuf) {
    let (entry, agent) = (files.path().join("entry-1"), files.path().join("agents"));
    std::fs::write(&entry, ENTRY).unwrap();
    std::fs::write(&agent, AGENT).unwrap();
    (entry, agent)
}

fn explain(id: &str) -> crate::bench::Run {
    let files = TempDir::new().unwrap();
    let (entry, agent) = write_logs(&files);
    let line = format!(
        "explain --log {} --log {} -- {id}",
        entry.display(),
        agent.display()
    );
    Tool::new(&line).run()
}

#[googletest::test]
fn timeline_covers_a_retried_task_across_processes() {
    let run = explain("r-lost");
    expect_that!(run.code, eq(0));
    let events: Vec<_> = run
        .stdout
        .lines()
        .filter_map(|line| line.split(" ms ").nth(1))
        .map(|line| {
            line.trim_start_matches("  | ")
                .split(' ')
                .nth(1)
                .unwrap()
                .to_owned()
        })
        .collect();
    let expected = [
        "version_adopted",
        "submitted",
        "placed",
        "session_lost",
        "queued_again",
        "placed",
        "run_started",
        "run_ended",
        "answered_complete",
    ];
    expect_that!(events, eq(&expected.map(ToOwned::to_owned)));
    expect_that!(run.stdout, contains_substring("the agent was lost"));
    expect_that!(
        run.stderr,
        contains_substring("entry-1: skipped 1 lines that are not log lines")
    );
}

#[googletest::test]
fn request_job_and_submission_ids_give_the_same_timeline() {
    let timeline = explain("r-lost").stdout;
    expect_that!(explain("j-1").stdout, eq(&timeline));
    expect_that!(explain("e-1").stdout, eq(&timeline));
}

#[googletest::test]
fn refusal_is_printed_with_its_cause() {
    let run = explain("r-load");
    let end = "ended as refused at entry-1: the tasks before it need about 118 ms";
    expect_that!(run.stdout, contains_substring(end));
}

#[googletest::test]
fn refusal_without_a_submission_is_found_by_its_request_id() {
    let run = explain("r-old");
    expect_that!(run.stdout, contains_substring("no such queue"));
    expect_that!(run.stdout, contains_substring("version=\"8\""));
}

#[googletest::test]
fn unknown_id_is_an_error() {
    let run = explain("r-none");
    expect_that!(run.code, not(eq(0)));
    expect_that!(run.stderr, contains_substring("names \"r-none\""));
}
