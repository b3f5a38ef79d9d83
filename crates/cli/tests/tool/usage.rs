//! Tests of options, input documents and help.

use googletest::prelude::*;

use crate::bench::Tool;
use crate::fake::FakeEntry;
use crate::fake::Reply;

#[googletest::test]
fn invalid_input_is_reported_and_not_sent() {
    let cases = [
        ("{", "EOF"),
        (r#"{"service":"s","tasks":[]}"#, "tasks is empty"),
        (
            r#"{"service":"s","tasks":[1],"nap":2}"#,
            "unknown field `nap`",
        ),
        (r#"{"service":"a b","tasks":[1]}"#, "service"),
        (
            r#"{"service":"s","tasks":[1],"deadline_ms":"2s"}"#,
            "deadline_ms",
        ),
        (r#"{"service":"s","tasks":[1]} x"#, "trailing"),
    ];
    let entry = FakeEntry::always(Reply::Echo);
    for (job, message) in cases {
        let run = Tool::new("job submit").entry(&entry).file(job).run();
        let run = run.expect(2);
        expect_that!(run.stderr, contains_substring(message));
    }
    expect_that!(entry.received().len(), eq(0));
}

#[googletest::test]
fn invalid_options_exit_with_2() {
    let lines = [
        "job submit --token t --entry localhost:80 -",
        "job submit --token t -",
        "job submit --entry 127.0.0.1:1 -",
        "job submit --token t --entry 127.0.0.1:1 --deadline-ms 2s -",
        "job submit --token t --entry 127.0.0.1:1 --retries 2 -",
        "job submit --token t --token-file f --entry 127.0.0.1:1 -",
        "job cancel --token t --entry 127.0.0.1:1 a/b",
        "inventory apply --token t --entry 127.0.0.1:1 --change c -",
        "config wait --token t --entry 127.0.0.1:1",
        "nonsense",
    ];
    for line in lines {
        let run = Tool::new(line)
            .stdin(r#"{"service":"s","tasks":[1]}"#)
            .run();
        let run = run.expect(2);
        expect_that!(run.stderr, contains_substring("error: "));
    }
}

#[googletest::test]
fn missing_input_file_is_named() {
    let tool = Tool::new("job submit --token t --entry 127.0.0.1:1 /nonexistent/job.json");
    let run = tool.run().expect(1);
    expect_that!(run.stderr, contains_substring("/nonexistent/job.json"));
}

#[googletest::test]
fn token_is_not_printed_on_failure() {
    let entry = FakeEntry::always(Reply::Echo);
    let tool = Tool::new("job submit --token secret-17 -").entry(&entry);
    let run = tool.stdin(r#"{"service":"s","tasks":[1]}"#).run();
    // The fake entry expects another token and answers 401 without a body.
    let run = run.expect(5);
    expect_that!(run.stderr, not(contains_substring("secret-17")));
}

#[googletest::test]
fn every_command_has_help_with_an_example() {
    let commands = [
        "",
        "job submit",
        "job cancel",
        "request send",
        "inventory check",
        "inventory apply",
        "inventory show",
        "inventory diff",
        "rules check",
        "rules apply",
        "rules show",
        "config wait",
        "status",
        "load",
        "completions",
    ];
    for command in commands {
        let run = Tool::new(command).arg("--help").run().expect(0);
        expect_that!(run.stdout, contains_substring("Example"));
        expect_that!(
            run.stdout,
            contains_substring(format!("dragonflyshed {command}"))
        );
    }
}

#[googletest::test]
fn every_shell_has_a_completion_script() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let run = Tool::new("completions").arg(shell).run().expect(0);
        expect_that!(run.stdout, contains_substring("inventory"));
    }
}
