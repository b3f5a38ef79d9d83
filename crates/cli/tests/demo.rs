//! `demo` runs a complete pool and completes all tasks of every job.

use std::process::Command;

use googletest::prelude::*;

#[googletest::test]
fn demo_completes_every_job() {
    let output = Command::new(env!("CARGO_BIN_EXE_dragonflyshed"))
        .arg("demo")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(output.status.code(), some(eq(0)));
    for count in ["320 of 320", "40 of 40", "1 of 1", "8 of 8"] {
        expect_that!(text, contains_substring(format!("{count} tasks complete")));
    }
}
