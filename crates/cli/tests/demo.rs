//! The demo runs a whole pool and answers every job whole.

use std::process::Command;

use googletest::prelude::*;

#[googletest::test]
fn the_demo_answers_every_job_whole() {
    let output = Command::new(env!("CARGO_BIN_EXE_dragonflyshed"))
        .arg("demo")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    expect_that!(output.status.code(), some(eq(0)));
    for whole in ["320 of 320", "40 of 40", "1 of 1", "8 of 8"] {
        expect_that!(text, contains_substring(format!("{whole} tasks complete")));
    }
}
