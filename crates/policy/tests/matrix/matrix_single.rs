//! Injects every fault before every step.

use std::collections::BTreeMap;

use googletest::prelude::*;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::run::NEAR_DEADLINE_MS;
use crate::run::SMALL;
use crate::run::Workload;
use crate::run::run;

/// Runs every case and describes the failed ones: for each combination of kinds, their number and the first
/// one.
pub fn failing_cases(
    workload: &Workload,
    cases: impl Iterator<Item = Vec<(usize, Fault)>>,
) -> Vec<String> {
    let mut count = 0;
    let mut failures: BTreeMap<String, (usize, String)> = BTreeMap::new();
    for case in cases {
        count += 1;
        if let Err(failure) = run(workload, &case) {
            let kinds: Vec<_> = case.iter().map(|(_, fault)| fault.kind).collect();
            let example = format!("{failure} in {case:?}");
            failures
                .entry(format!("{kinds:?}"))
                .or_insert((0, example))
                .0 += 1;
        }
    }
    let total: usize = failures.values().map(|(n, _)| n).sum();
    println!("{count} cases, {total} failed");
    failures
        .into_iter()
        .map(|(kinds, (n, example))| format!("{kinds}: {n} failed, first: {example}"))
        .collect()
}

fn single_faults(workload: &Workload, kinds: &[Kind]) -> Vec<String> {
    let steps = workload.steps();
    let faults = workload.faults(kinds);
    let mut cases_by_step = BTreeMap::<_, usize>::new();
    for step in &steps {
        *cases_by_step.entry(step).or_default() += faults.len();
    }
    println!("cases by the step that follows the fault: {cases_by_step:?}");
    let cases =
        (0..steps.len()).flat_map(|step| faults.iter().map(move |fault| vec![(step, *fault)]));
    failing_cases(workload, cases)
}

#[googletest::test]
fn a_workload_without_faults_passes() {
    expect_that!(
        failing_cases(&SMALL, std::iter::once(Vec::new())),
        is_empty()
    );
}

#[googletest::test]
fn every_fault_at_every_step() {
    expect_that!(single_faults(&SMALL, &Kind::ALL), is_empty());
}

#[googletest::test]
fn every_fault_at_every_step_with_a_near_deadline() {
    let workload = Workload {
        deadline_ms: NEAR_DEADLINE_MS,
        ..SMALL
    };
    let kinds = Kind::ALL.into_iter().filter(|kind| !kind.is_harmless());
    let kinds: Vec<_> = kinds.collect();
    expect_that!(single_faults(&workload, &kinds), is_empty());
}

#[googletest::test]
fn every_fault_at_every_step_with_one_agent() {
    let workload = Workload { agents: 1, ..SMALL };
    expect_that!(single_faults(&workload, &Kind::ALL), is_empty());
}
