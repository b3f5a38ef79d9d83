//! Injects random schedules of faults into larger workloads, from fixed seeds.

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::sample::select;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::run::FAR_DEADLINE_MS;
use crate::run::NEAR_DEADLINE_MS;
use crate::run::Workload;
use crate::run::run;

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const MAX_SUBMISSIONS: usize = 9;
const MAX_WIDTH: usize = 7;
const MAX_FAULTS: usize = 6;
/// Steps over which faults are spread; a workload without faults takes about this many.
const STEPS: usize = 120;
const CASES: u32 = 500;

fn fault() -> impl Strategy<Value = (usize, Fault)> {
    let at = (0..STEPS, select(&Kind::ALL[..]));
    let place = (0..ENTRIES, 0..AGENTS, 0..MAX_SUBMISSIONS);
    (at, place).prop_map(|((step, kind), (entry, agent, caller))| {
        let fault = Fault {
            kind,
            entry,
            agent,
            caller,
        };
        (step, fault)
    })
}

fn workload() -> impl Strategy<Value = Workload> {
    let deadline_ms = select(&[NEAR_DEADLINE_MS, FAR_DEADLINE_MS][..]);
    let size = (2..=MAX_SUBMISSIONS, 2..=MAX_WIDTH);
    (size, deadline_ms, 0..2).prop_map(|((submissions, width), deadline_ms, warm)| Workload {
        entries: ENTRIES,
        agents: AGENTS,
        deadline_ms,
        submissions,
        width,
        is_warm: warm == 1,
    })
}

/// Smallest failing case that is found from this seed, if any.
fn failing_case(seed: u8) -> Option<String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let schedule = (workload(), vec(fault(), 1..=MAX_FAULTS));
    let result = runner.run(&schedule, |(workload, mut faults)| {
        faults.sort_by_key(|(step, _)| *step);
        for (_, fault) in &mut faults {
            fault.caller %= workload.submissions;
        }
        run(&workload, &faults).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(message, case)) => Some(format!("{message} in {case:?}")),
        Err(TestError::Abort(message)) => Some(message.to_string()),
    }
}

macro_rules! seeds {
    ($($name:ident: $seed:literal;)+) => {
        $(
            #[googletest::test]
            fn $name() {
                expect_that!(failing_case($seed), none());
            }
        )+
    };
}

seeds! {
    random_schedules_of_seed_1: 1;
    random_schedules_of_seed_2: 2;
    random_schedules_of_seed_3: 3;
    random_schedules_of_seed_4: 4;
}
