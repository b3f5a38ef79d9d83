//! Timeout for the responses of a target.

use dfs_ids::Millis;
use dfs_policy::response::ResponseTimer;
use googletest::prelude::*;

const MIN_MS: Millis = Millis::new(20);
const MAX_MS: Millis = Millis::new(100);

fn timer_after(responses_ms: &[u64]) -> ResponseTimer {
    let mut timer = ResponseTimer::new(MIN_MS, MAX_MS);
    for elapsed_ms in responses_ms {
        timer.record_response(Millis::new(*elapsed_ms));
    }
    timer
}

#[googletest::test]
fn the_first_response_may_take_the_longest_time() {
    expect_that!(timer_after(&[]).timeout_ms(), eq(MAX_MS));
}

#[googletest::test]
fn a_fast_target_gets_the_shortest_timeout() {
    expect_that!(timer_after(&[2; 20]).timeout_ms(), eq(MIN_MS));
}

#[googletest::test]
fn a_target_that_slows_down_gets_more_time_before_its_answers_count_as_lost() {
    let mut timer = timer_after(&[2; 20]);
    for _ in 0..20 {
        timer.record_response(Millis::new(15));
        expect_that!(timer.timeout_ms(), gt(Millis::new(15)));
    }
    expect_that!(
        timer_after(&[5, 40, 5, 40, 5, 40]).timeout_ms(),
        ge(Millis::new(70))
    );
}

#[googletest::test]
fn lost_answers_double_the_timeout_until_one_arrives() {
    let mut timer = timer_after(&[2; 20]);
    timer.record_timeout();
    expect_that!(timer.timeout_ms(), eq(Millis::new(40)));
    timer.record_timeout();
    timer.record_timeout();
    timer.record_timeout();
    expect_that!(timer.timeout_ms(), eq(MAX_MS));
    timer.record_response(Millis::new(2));
    expect_that!(timer.timeout_ms(), eq(MIN_MS));
}
